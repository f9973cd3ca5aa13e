// Package history runs several real instances on simulated time, over small
// in-memory fakes of the network, the store and the targets, under a seeded
// schedule of faults, and checks the history of what callers were told and what
// targets ran.
package history
