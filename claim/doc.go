// Package claim makes sure that a call that may not be repeated runs at most
// once, whichever instances its caller tries. Before dispatch an instance
// inserts a claim row; only a confirmed row allows a dispatch, and a claim never
// lapses by time, so a holder that was paused can do no harm.
package claim
