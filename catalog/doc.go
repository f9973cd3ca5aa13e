// Package catalog holds an instance's copy of the configuration and of the target list, each with the
// time at which it was last known to be current.
//
// The data comes from the source, by long polling, and from other instances. Its age counts from the
// start of the read that confirmed it, on the monotonic clock, and not from the arrival of the response:
// a response may have been delayed for any time on the network or in a suspended process.
package catalog
