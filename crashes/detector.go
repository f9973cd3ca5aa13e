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
	// confirmTimeout limits the time until other instances have said whether they reach the target.
	confirmTimeout = 500 * time.Millisecond
	// recheckDelay is the delay before a target that didn't refuse the connection is checked again. One that
	// restarted at once has announced its new process by then.
	recheckDelay = time.Second
)

// Detector finds out whether a target crashed after one of its responses broke off. Responses also break
// off while the target keeps running, which says nothing about the request. Set the exported fields
// before use. It is safe for concurrent use.
type Detector struct {
	Clock   shelfshelf.Clock
	Log     *log.Logger
	Tracker *Tracker
	// Dial opens a connection to the target at an address.
	Dial func(ctx context.Context, address string) error
	// ConfirmRefused reports whether nothing listens at a target's address, as seen over links that are known
	// to work; refused says that this instance's own connection was refused. If nil, that alone counts.
	ConfirmRefused func(ctx context.Context, target shelfshelf.Target, refused bool) bool
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

// ResponseBroken records that a target's response to a request broke off and starts a check; parts are those of
// the request's prompt. It doesn't block.
func (d *Detector) ResponseBroken(target shelfshelf.Target, request shelfshelf.Fingerprint, parts ...shelfshelf.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.checks[target.Name]; c != nil {
		c.requests = append(append(c.requests, request), parts...)
		return
	}
	if d.checks == nil {
		d.checks = make(map[shelfshelf.TargetName]*check)
	}
	c := &check{target: target, at: d.Clock.Now(), requests: append([]shelfshelf.Fingerprint{request}, parts...)}
	d.checks[target.Name] = c
	go d.investigate(c)
}

// investigate checks one target and records its crash if it has crashed.
func (d *Detector) investigate(c *check) {
	crashed := d.refusesConnections(c.target)
	if !crashed {
		<-d.Clock.After(recheckDelay)
		crashed = d.restarted(c.target)
	}
	d.mu.Lock()
	delete(d.checks, c.target.Name)
	requests := c.requests
	d.mu.Unlock()
	if !crashed {
		d.Log.Debug("A response broke off, but its target didn't crash.", "target", c.target.Name, "requests", requests)
		return
	}
	if listed, found := d.Lookup(c.target.Name); !found || listed.Leaving {
		d.Log.Info("A target that was leaving has ended under requests.", "target", c.target.Name, "requests", requests)
		return
	}
	id := d.Tracker.RecordCrash(c.target, requests, c.at)
	d.Log.Warn("A target has ended under requests.", "target", c.target.Name, "address", c.target.Address,
		"crash", uint64(id), "requests", requests)
}

// refusesConnections reports whether nothing listens at a target's address. A target that doesn't answer
// at all may only be unreachable from this instance, and one that refuses may be so too: a link that is cut
// may refuse connections on behalf of a target that is well.
func (d *Detector) refusesConnections(target shelfshelf.Target) bool {
	err := d.dial(target)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if err == nil || d.ConfirmRefused == nil {
		return refused
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	confirmed := d.ConfirmRefused(ctx, target, refused)
	d.Log.Info("A target was not reached after a response had broken off.", "target", target.Name, "refused", refused, "confirmed", confirmed)
	return confirmed
}

// dial opens a connection to a target.
func (d *Detector) dial(target shelfshelf.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return d.Dial(ctx, target.Address)
}

// restarted reports whether another process of a target is listed under its name.
func (d *Detector) restarted(target shelfshelf.Target) bool {
	listed, found := d.Lookup(target.Name)
	return found && !listed.SameIncarnation(target)
}
