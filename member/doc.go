// Package member finds out which instances are live: from the platform's list,
// which lags, from settings, and from heartbeats, which settle it.
package member
