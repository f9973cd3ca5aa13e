// Package program is the frame of every binary: its table of commands, flags, help
// at every level, log set-up, signals and exit codes.
package program
