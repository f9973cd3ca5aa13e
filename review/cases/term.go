package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// termPause is the time between the two signals, well inside the grace time of 8 s.
const termPause = time.Second

// playTerm stops one node with SIGTERM, and sends a second SIGTERM while it still serves what is in flight. It looks
// for requests that the node had passed on to a target and whose connections ended without a complete answer.
func playTerm(w *world) (bool, error) {
	err := w.configure(map[string][]string{"lehu": {"key-1"}})
	if err != nil {
		return false, err
	}
	err = w.addTargets(func(pool string, _ int) []string {
		if pool == plainPool {
			return nil
		}
		return []string{"-events", fmt.Sprint(streamEvents), "-gap", "60ms", "-work", "20ms"}
	})
	if err == nil {
		err = w.addNodes()
	}
	if err != nil {
		return false, err
	}
	c := &clients{
		world: w, transport: &http.Transport{MaxIdleConnsPerHost: 100}, key: "key-1",
		paths: []string{"/dossier/1", "/annonce/1"}, deadline: 10 * time.Second, every: 30 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(ctx)
	}()
	time.Sleep(6 * time.Second)
	stopped := w.nodes[0]
	w.note("SIGTERM to %s", stopped.name)
	firstAt := time.Now()
	err = stopped.command.Process.Signal(syscall.SIGTERM)
	time.Sleep(termPause)
	if err == nil && w.trouble {
		w.note("SIGTERM to %s again", stopped.name)
		err = stopped.command.Process.Signal(syscall.SIGTERM)
	}
	if err != nil {
		cancel()
		return false, err
	}
	_ = stopped.command.Wait()
	w.note("%s has ended: %v", stopped.name, stopped.command.ProcessState)
	cancel()
	<-done
	return w.judgeTerm(c.all(), stopped, firstAt)
}

// judgeTerm looks for requests to the stopped node that targets began to run and that got no complete answer. Those
// that were sent later than 3 s after the signal, or that a target still worked on in the last sixth of the grace
// time, don't count.
func (w *world) judgeTerm(replies []*reply, stopped *node, firstAt time.Time) (bool, error) {
	lost, served := 0, 0
	for _, r := range replies {
		if r.node != stopped || r.sentAt.After(firstAt.Add(3*time.Second)) {
			continue
		}
		switch {
		case r.err == nil:
			served++
		case len(w.runsOf(r.id)) > 0 && r.endedAt.After(firstAt) && r.endedAt.Before(firstAt.Add(graceTime*5/6)):
			lost++
			w.note("BROKEN: %s was run by %s, and its connection ended %.3f s after the signal without a complete answer: %v",
				r.id, w.runsOf(r.id)[0].Target, r.endedAt.Sub(firstAt).Seconds(), r.err)
		}
	}
	w.note("%d answered, %d lost at %s", served, lost, stopped.name)
	if served == 0 {
		return false, errNothingServed
	}
	return lost > 0, nil
}
