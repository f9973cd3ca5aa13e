// Package elapsed is the clock of instances: it counts the time for which their machine was
// suspended, which Go's own steady clock leaves out.
package elapsed
