// Command cases runs the scripted cases of the review: it starts shelfnode processes and stand-ins of targets on
// loopback addresses, sends requests, disturbs one part and checks one rule by what callers and targets see.
//
//	cases server ...            is the stand-in of one target; the other commands start it
//	cases mixed|term|upload|silent DIR runs a case and writes DIR/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the
// environment it leaves the disturbance out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the time of one case.
const caseLimit = 115 * time.Second

// errNothingServed means that a run shows nothing, neither that the rule holds nor that it was broken.
var errNothingServed = errors.New("no request was served whole")

// scenario plays a case and returns whether the rule was broken.
type scenario func(w *world) (broken bool, err error)

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	scenarios := map[string]scenario{"mixed": playMixed, "term": playTerm, "upload": playUpload, "silent": playSilent}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases mixed|term|upload|silent DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

// run plays a scenario and returns the exit code.
func run(play scenario, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	overtime := time.AfterFunc(caseLimit, func() {
		w.note("the case took too long")
		w.close()
		os.Exit(exitNotRun)
	})
	defer overtime.Stop()
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.note("the case was interrupted")
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}
