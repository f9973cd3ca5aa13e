// Package decay keeps counts that fade with time, so that what happened lately weighs
// most.
package decay
