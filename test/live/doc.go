// Package live runs the programs as real processes over loopback and kills and
// stops them with signals.
package live
