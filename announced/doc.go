// Package announced records what targets announce about themselves in their responses: a rate limit, in
// requests per second from all instances together, which applies for as long as their responses carry
// it; that the target is shutting down, which holds until its process ends; and a backoff, the time for
// which it wants no further requests from this instance after it rejected one.
//
// Every response that this instance reads is passed to the Tracker, whichever component sent the request.
// Instances share all announcements except backoffs, in their statuses and in each slot request. A TokenBucket
// is a token bucket that limits the rate of sends. The owner of a target's slots keeps one for each
// target with a limit (see package slots).
package announced
