// Package overload tells whether an instance has more work than its processor does.
//
// A Meter measures how long work that is ready waits for the processor. It does so when connections arrive,
// and goes on while work is late; an idle instance measures nothing.
package overload
