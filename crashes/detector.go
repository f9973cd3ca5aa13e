package crashes

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// dialTimeout limits the connection attempt that checks whether a target's process is running.
	dialTimeout = 200 * time.Millisecond
	// recheckDelay is the delay before a target that didn't refuse the connection is checked again. One that
	// restarted at once has announced its new process by then.
	recheckDelay = time.Second
)

// Detector finds out whether a target crashed after one of its responses broke off. Responses also break
// off while the target keeps running, which says nothing about the request. Set the exported fields
// before use. It is safe for concurrent use.
type Detector struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Record *Tracker
	// Dial opens a connection to the target at an address.
	Dial func(ctx context.Context, address string) error
	// Lookup returns the current list entry of a target.
	Lookup func(shelfshelf.TargetName) (shelfshelf.Target, bool)

	mu     sync.Mutex
	checks map[shelfshelf.TargetName]*check
}

// check is a pending check of a target, with the requests whose responses broke off there.
type check struct {
	target   shelfshelf.Target
	at       time.Time
	requests []shelfshelf.Fingerprint
}

// ResponseBroken records that a target's response to a request broke off and starts a check. It doesn't block.
func (w *Detector) ResponseBroken(target shelfshelf.Target, request shelfshelf.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.checks[target.Name]; c != nil {
		c.requests = append(c.requests, request)
		return
	}
	if w.checks == nil {
		w.checks = make(map[shelfshelf.TargetName]*check)
	}
	c := &check{target: target, at: w.Clock.Now(), requests: []shelfshelf.Fingerprint{request}}
	w.checks[target.Name] = c
	go w.investigate(c)
}

// investigate checks one target and records its crash if it has crashed.
func (w *Detector) investigate(c *check) {
	crashed := w.refusesConnections(c.target)
	if !crashed {
		<-w.Clock.After(recheckDelay)
		crashed = w.restarted(c.target)
	}
	w.mu.Lock()
	delete(w.checks, c.target.Name)
	requests := c.requests
	w.mu.Unlock()
	if !crashed {
		w.Log.Debug("A response broke off, but its target didn't crash.", "target", c.target.Name, "requests", requests)
		return
	}
	if listed, found := w.Lookup(c.target.Name); !found || listed.Leaving {
		w.Log.Info("A target that was leaving has ended under requests.", "target", c.target.Name, "requests", requests)
		return
	}
	id := w.Record.RecordCrash(c.target, requests, c.at)
	w.Log.Warn("A target has ended under requests.", "target", c.target.Name, "address", c.target.Address,
		"crash", uint64(id), "requests", requests)
}

// refusesConnections reports whether nothing listens at a target's address. A target that doesn't answer
// at all may only be unreachable from this instance.
func (w *Detector) refusesConnections(target shelfshelf.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return errors.Is(w.Dial(ctx, target.Address), syscall.ECONNREFUSED)
}

// restarted reports whether another process of a target is listed under its name.
func (w *Detector) restarted(target shelfshelf.Target) bool {
	listed, found := w.Lookup(target.Name)
	return found && !listed.SameIncarnation(target)
}
