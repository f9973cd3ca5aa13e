package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// streamEvents is how many events a whole stream has.
	streamEvents = 42
	// unframedPart of the answers have no length at unframedTargets of the engines, and crashTime is how long the
	// crashed targets are down.
	unframedPart    = 0.05
	unframedTargets = 0.6
	crashTime       = 4500 * time.Millisecond
	crashes         = 3
)

// playMixed crashes all engines of a service at once while they stream, and looks for streams that ended early and
// reached their clients as complete successes.
func playMixed(w *world) (bool, error) {
	err := w.configure(map[string][]string{"lehu": {"key-1"}})
	if err != nil {
		return false, err
	}
	err = w.addTargets(func(pool string, number int) []string {
		if pool == plainPool {
			return nil
		}
		options := []string{"-events", fmt.Sprint(streamEvents), "-gap", "60ms", "-work", "20ms"}
		if float64(number) < unframedTargets*engineCount {
			options = append(options, "-unframed", fmt.Sprint(unframedPart))
		}
		return options
	})
	if err == nil {
		err = w.addNodes()
	}
	if err != nil {
		return false, err
	}
	c := &clients{
		world: w, transport: &http.Transport{MaxIdleConnsPerHost: 100}, key: "key-1",
		paths: []string{"/dossier/1", "/annonce/1"}, deadline: 10 * time.Second, every: 25 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(ctx)
	}()
	time.Sleep(6 * time.Second)
	for range crashes {
		if err := w.crashEngines(); err != nil {
			cancel()
			return false, err
		}
		time.Sleep(9 * time.Second)
	}
	cancel()
	<-done
	return w.judgeMixed(c.all())
}

// crashEngines kills all engines at once and starts others in their place later. Without trouble it only waits.
func (w *world) crashEngines() error {
	if !w.trouble {
		time.Sleep(crashTime)
		return nil
	}
	w.note("all engines crash")
	for _, t := range w.targets {
		if t.pool == enginePool {
			_ = t.command.Process.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(entryLapse)
	for _, t := range w.targets {
		if t.pool == enginePool {
			_ = t.command.Wait()
			w.store.Drop("servers", t.id)
		}
	}
	time.Sleep(crashTime - entryLapse)
	w.note("the engines are started again")
	for _, t := range w.targets {
		if t.pool != enginePool {
			continue
		}
		if err := w.startTarget(t); err != nil {
			return err
		}
	}
	return nil
}

// judgeMixed looks for complete successes whose body is not the whole one.
func (w *world) judgeMixed(replies []*reply) (bool, error) {
	whole, failed, cut := 0, 0, 0
	for _, r := range replies {
		switch {
		case r.status != http.StatusOK || r.err != nil:
			failed++
		case r.events() == streamEvents:
			whole++
		default:
			cut++
			w.note("BROKEN: %s on %s: a complete 200 with %d of %d events, signature %q", r.id, r.path, r.events(), streamEvents, r.signature)
		}
	}
	w.note("%d whole answers, %d failures or broken connections, %d cut answers that look complete", whole, failed, cut)
	if whole == 0 {
		return false, errNothingServed
	}
	return cut > 0, nil
}
