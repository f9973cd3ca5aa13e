// Package cli holds what the programs share: the command line, settings and
// logging. Each command has a file of its own and a row in its program's table.
package cli
