// Package rollout moves a pool's requests to targets of another version when an operator orders it.
// At first a small fraction of the requests tries the new version, more at the start and while there
// is doubt about it, and all instances count the results of both versions. Sequential tests roll the
// new version back as soon as the counts show that it is worse. Otherwise it takes over near the end
// of the rollout's period, and the rollout is completed once the new version has proven itself under
// the full load. Shares, verdicts and times are computed by pure functions; Record holds the state of
// one instance, and Keeper does the work that one instance does for all.
package rollout
