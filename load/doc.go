// Package load makes the workloads of the deployments: which customer asks for
// what and when, how long its prompt is and what of it others have sent too.
// The same seed makes the same requests, for the bench and for real callers.
package load
