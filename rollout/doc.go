// Package rollout moves a pool's requests to targets of another version when an operator orders it.
// At first a small fraction of the requests (trials) goes to the new version, and all instances count
// the results of both versions. Trials are more frequent at the start and while the version is in
// doubt: there is evidence against it, but not enough for a rollback. Sequential tests roll the new
// version back as soon as the counts show that it is worse. Otherwise it takes over near the end of the
// rollout's period (the move), and the rollout is completed once the new version has proven itself
// under the full load. Shares, verdicts and times are computed by pure functions; Tracker holds the
// state of one instance, and Controller does the work that one instance does for all.
//
// An answer in this package is the result of one request at a target, also if it failed. A bad answer is
// one that failed or, by the criteria based on times, was slow.
package rollout
