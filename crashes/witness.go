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
	// reachTime bounds a look at whether a target's process is there.
	reachTime = 200 * time.Millisecond
	// lookAgain is when a target that was reached is looked at once more: one that started
	// again at once has announced its new life by then.
	lookAgain = time.Second
)

// Witness finds out whether a target's process has ended where an answer of it broke off.
// Answers also break off under targets that go on, which says nothing of the request.
// Fields are set before use. It is safe for concurrent use.
type Witness struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Record *Record
	// Reach opens a connection to a target.
	Reach func(ctx context.Context, address string) error
	// Target returns a listed target as it stands.
	Target func(shelfshelf.TargetName) (shelfshelf.Target, bool)

	mu     sync.Mutex
	checks map[shelfshelf.TargetName]*check
}

// check is one target being looked at, with the requests whose answers broke off there.
type check struct {
	target   shelfshelf.Target
	at       time.Time
	requests []shelfshelf.Fingerprint
}

// Broken notes that a target's answer to a request broke off. It returns at once.
func (w *Witness) Broken(target shelfshelf.Target, request shelfshelf.Fingerprint) {
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
	go w.run(c)
}

// run looks at one target.
func (w *Witness) run(c *check) {
	ended := w.refuses(c.target)
	if !ended {
		<-w.Clock.After(lookAgain)
		ended = w.bornAgain(c.target)
	}
	w.mu.Lock()
	delete(w.checks, c.target.Name)
	requests := c.requests
	w.mu.Unlock()
	if !ended {
		w.Log.Debug("A target goes on whose answer broke off.", "target", c.target.Name, "requests", requests)
		return
	}
	if listed, found := w.Target(c.target.Name); !found || listed.Leaving {
		w.Log.Info("A target that was leaving has ended under requests.", "target", c.target.Name, "requests", requests)
		return
	}
	id := w.Record.Ended(c.target, requests, c.at)
	w.Log.Warn("A target has ended under requests.", "target", c.target.Name, "address", c.target.Address,
		"crash", uint64(id), "requests", requests)
}

// refuses reports that nothing listens at a target's address. One that gives no answer at
// all may be cut off from this instance alone.
func (w *Witness) refuses(target shelfshelf.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTime)
	defer cancel()
	return errors.Is(w.Reach(ctx, target.Address), syscall.ECONNREFUSED)
}

// bornAgain reports that another life of a target is listed under its name.
func (w *Witness) bornAgain(target shelfshelf.Target) bool {
	listed, found := w.Target(target.Name)
	return found && !listed.SameLife(target)
}
