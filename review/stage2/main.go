// Command stage2 plays the cases of the second review: it starts processes of the deploy file before stand-ins of the
// platform's store, servers and clients, disturbs them, and compares what clients, servers and the store saw with one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*stage) error{
	"leaders": leaders,
	"silence": silence,
	"popular": popular,
	"term":    term,
	"crash":   crash,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// mostTime bounds a case.
	mostTime = 110 * time.Second
	// serveArguments is how many arguments a server in a process of its own has.
	serveArguments = 5
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) == serveArguments && os.Args[1] == "serve" {
		work, err := time.ParseDuration(os.Args[3])
		var unframed float64
		if err == nil {
			unframed, err = strconv.ParseFloat(os.Args[4], 64)
		}
		if err == nil {
			err = serve(os.Args[2], work, unframed)
		}
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD")
		return exitFailed
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	s := &stage{record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer s.close()
	watchdog := time.AfterFunc(mostTime, func() {
		s.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitFailed)
	}()
	if err := cases[os.Args[1]](s); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	if err := s.failure(); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	if s.broken > 0 {
		return exitBroken
	}
	return exitHeld
}
