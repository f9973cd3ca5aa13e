// Package limits tests that customers' limits hold over all instances through faults: instances with their
// gossip, ledgers and savers run in simulated time, and all requests that run are counted.
package limits
