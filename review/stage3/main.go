package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the case's rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. The second result is false without the case's disruption.
var cases = map[string]func(w *world, trouble bool) error{
	"silence":  playSilence,
	"unsigned": playUnsigned,
	"ranks":    playRanks,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = cases[args[0]](w, os.Getenv("TROUBLE") != "0")
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
