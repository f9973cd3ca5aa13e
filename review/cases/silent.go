package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// stallTime is how long a part of the streams are silent once, after stallEvent of their events. Clients of these
	// routes wait for 4.8 s: four times the objective, or eight times the pause that keeps an answer in time.
	stallTime  = 2200 * time.Millisecond
	stallEvent = 8
	stallPart  = 0.5
)

// playSilent stops one node with SIGTERM while its streams run, half of which are silent once for a while and then go
// on. It looks for streams that the node broke off. Without trouble no stream is silent.
func playSilent(w *world) (bool, error) {
	err := w.configure(map[string][]string{"lehu": {"key-1"}})
	if err != nil {
		return false, err
	}
	err = w.addTargets(func(pool string, _ int) []string {
		if pool == plainPool {
			return nil
		}
		options := []string{"-events", fmt.Sprint(streamEvents), "-gap", "30ms", "-work", "20ms"}
		if w.trouble {
			options = append(options, "-stall-after", fmt.Sprint(stallEvent), "-stall", stallTime.String(), "-stall-part", fmt.Sprint(stallPart))
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
		paths: []string{"/dossier/1"}, deadline: 12 * time.Second, every: 47 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(ctx)
	}()
	time.Sleep(12 * time.Second)
	stopped := w.nodes[0]
	firstAt := time.Now()
	w.note("SIGTERM to %s", stopped.name)
	err = stopped.command.Process.Signal(syscall.SIGTERM)
	time.Sleep(9 * time.Second)
	cancel()
	<-done
	if err != nil {
		return false, err
	}
	return w.judgeTerm(c.all(), stopped, firstAt)
}
