// Package cases runs the regression cases: each folder holds a command, or a
// request to a running instance, with its expected output, error and exit code.
package cases
