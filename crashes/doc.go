// Package crashes tracks crashes of targets, shared between all instances, and the requests that were
// running at the time. It quarantines requests that crash every target that runs them. A retried request
// is recognized by a fingerprint of its content, not by its ID.
package crashes
