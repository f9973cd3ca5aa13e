// Package waitreport summarizes the request log of instances: who was served in time, late or not at all, and how
// long those that were refused had waited.
package waitreport
