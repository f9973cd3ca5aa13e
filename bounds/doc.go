// Package bounds names the limits on what an instance reads from targets, the store and other instances,
// and the error for a peer that exceeds one.
package bounds
