// Package bench measures policies: it drives the schedule package against the
// small fake engines on a simulated clock, with a deployment's workload and
// faults, and counts what came of each request. The same seed gives the same
// figures on every machine.
package bench
