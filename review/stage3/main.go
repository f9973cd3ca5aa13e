package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the case's rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(*world) error{
	"ranks":    playRanks,
	"unsigned": playUnsigned,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go w.endAtSignal()
	err = cases[args[0]](w)
	w.end()
	switch {
	case errors.Is(err, errBroken):
		w.note("BROKEN: %v", err)
		return exitBroken
	case err != nil:
		w.note("NOT RUN: %v", err)
		return exitNotRun
	}
	w.note("HELD")
	return exitHeld
}

// endAtSignal ends the processes and the case if the script is interrupted.
func (w *world) endAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	w.note("NOT RUN: %v", <-signals)
	w.end()
	os.Exit(exitNotRun)
}
