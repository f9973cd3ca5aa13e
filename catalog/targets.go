package catalog

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// expiryPeriod is how often kept targets are looked at; it adds to the time that they
// are kept.
const expiryPeriod = 100 * time.Millisecond

func (c *Catalog) loopTargets(ctx context.Context) error {
	follower := &follower{catalog: c, name: "targets"}
	var cursor uint64
	for c.due(ctx, c.targetsKnown, targetsSlack) {
		began := c.Clock.Now()
		var update shelfshelf.TargetsUpdate
		err := c.whileNeeded(ctx, cursor, c.targetsKnown, targetsSlack, func(ctx context.Context) (err error) {
			update, err = c.readTargets(ctx, cursor)
			return err
		})
		if errors.Is(err, errNotNeeded) {
			continue
		}
		if !follower.settle(ctx, err) {
			cursor = 0
			continue
		}
		cursor = update.Cursor
		c.applyTargets(update, began, FromSource, c.lapsedInOutage)
	}
	return nil
}

func (c *Catalog) readTargets(ctx context.Context, cursor uint64) (shelfshelf.TargetsUpdate, error) {
	if cursor > 0 {
		return c.Source.AwaitTargets(ctx, cursor, targetsPeriod)
	}
	return c.Source.ReadTargets(ctx)
}

// lapsedInOutage returns until when a target that the whole list lacks is kept. Right
// after an outage it may only have been unable to renew its entry; one whose entry
// is removed before our eyes has left. The lock is held.
func (c *Catalog) lapsedInOutage(name shelfshelf.TargetName) time.Time {
	if until, marked := c.vanished[name]; marked {
		return until
	}
	if c.targets[name].Leaving {
		return time.Time{}
	}
	return c.outageEnded.Add(returnGrace)
}

// applyTargets takes an update. Keep tells until when a target that a whole list
// lacks is kept all the same.
func (c *Catalog) applyTargets(update shelfshelf.TargetsUpdate, at time.Time, from string, keep func(shelfshelf.TargetName) time.Time) {
	c.mu.Lock()
	c.noteUnreadable(update)
	if c.targets == nil {
		c.targets = make(map[shelfshelf.TargetName]shelfshelf.Target)
		c.vanished = make(map[shelfshelf.TargetName]time.Time)
	}
	candidates := update.Removed
	if update.Whole {
		candidates = missing(c.targets, update.Changed)
	}
	now := c.Clock.Now()
	returned := c.noteEra(update.Version, now)
	before := c.targetsVersion
	var removed []shelfshelf.TargetName
	for _, name := range candidates {
		until := time.Time{}
		if update.Whole {
			until = shelfshelf.Later(keep(name), c.keptAfterReturn(name))
		}
		if c.remove(name, until, now) {
			removed = append(removed, name)
		}
	}
	var changed []shelfshelf.TargetName
	var back []shelfshelf.TargetName
	for _, target := range update.Changed {
		if old, known := c.targets[target.Name]; !known || old != target {
			changed = append(changed, target.Name)
		}
		if _, vanished := c.vanished[target.Name]; vanished {
			back = append(back, target.Name)
		}
		c.targets[target.Name] = target
		delete(c.vanished, target.Name)
	}
	c.targetsVersion = max(c.targetsVersion, update.Version)
	c.remember(before, slices.Concat(removed, changed, back))
	if at.After(c.targetsAt) {
		c.targetsAt = at
	}
	count := len(c.targets)
	c.mu.Unlock()
	if returned && c.Returned != nil {
		c.Returned()
	}
	if len(removed)+len(changed) == 0 {
		return
	}
	c.Log.Info("Targets have changed.", "changed", changed, "removed", removed, "whole", update.Whole,
		"known", count, "version", update.Version, "age", c.Clock.Now().Sub(at))
	c.notify(from)
}

// noteUnreadable keeps which entries name no target, and logs each when it becomes so, not
// at each read. The lock is held.
func (c *Catalog) noteUnreadable(update shelfshelf.TargetsUpdate) {
	before := c.unreadable
	if update.Whole || before == nil {
		c.unreadable = make(map[shelfshelf.TargetName]string)
	}
	for _, target := range update.Changed {
		delete(c.unreadable, target.Name)
	}
	for _, name := range update.Removed {
		delete(c.unreadable, name)
	}
	for _, entry := range update.Unreadable {
		reason := entry.Reason.Error()
		c.unreadable[entry.Name] = reason
		if before[entry.Name] != reason {
			c.Log.Warn("An entry names no target to use.", "entry", entry.Name, "reason", reason)
		}
	}
}

// Unreadable returns how many entries of the list name no target to use.
func (c *Catalog) Unreadable() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unreadable)
}

// remove drops a target, or marks it as vanished if it is kept for a moment. It
// reports whether that is news; the lock is held.
func (c *Catalog) remove(name shelfshelf.TargetName, until, now time.Time) bool {
	if _, known := c.targets[name]; !known {
		return false
	}
	if now.Before(until) {
		_, marked := c.vanished[name]
		c.keepVanished(name, until)
		return !marked
	}
	c.noteLeft(c.targets[name], now)
	delete(c.targets, name)
	delete(c.vanished, name)
	return true
}

// loopExpiry drops vanished targets when their time is over: the source says nothing
// more of them. It sleeps while there are none.
func (c *Catalog) loopExpiry(ctx context.Context) error {
	for {
		c.mu.Lock()
		changed := c.vanishing()
		var next <-chan time.Time
		if len(c.vanished)+len(c.doubted) > 0 {
			next = c.Clock.After(expiryPeriod)
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			continue
		case <-next:
		}
		c.expire()
	}
}

// expire drops kept targets and ends doubts whose time is over.
func (c *Catalog) expire() {
	dropped := c.dropExpired()
	if len(dropped) > 0 {
		c.Log.Info("Targets that vanished in an outage have not come back.", "dropped", dropped)
	}
	c.mu.Lock()
	trusted := c.endDoubts(c.Clock.Now())
	c.mu.Unlock()
	if trusted || len(dropped) > 0 {
		c.notify(FromSource)
	}
}

// vanishing returns the channel that tells of vanished targets; the lock is held.
func (c *Catalog) vanishing() chan struct{} {
	if c.vanishes == nil {
		c.vanishes = make(chan struct{}, 1)
	}
	return c.vanishes
}

// keepVanished keeps a target for a moment that the source has lost; the lock is held.
func (c *Catalog) keepVanished(name shelfshelf.TargetName, until time.Time) {
	c.vanished[name] = until
	c.wakeExpiry()
}

// wakeExpiry wakes the loop that drops kept targets and ends doubts; the lock is held.
func (c *Catalog) wakeExpiry() {
	select {
	case c.vanishing() <- struct{}{}:
	default:
	}
}

func (c *Catalog) dropExpired() []shelfshelf.TargetName {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	var dropped []shelfshelf.TargetName
	for name, until := range c.vanished {
		if !now.Before(until) {
			c.noteLeft(c.targets[name], now)
			delete(c.targets, name)
			delete(c.vanished, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

// OfferTargets takes another instance's snapshot if it is newer.
func (c *Catalog) OfferTargets(snapshot Snapshot, from string) {
	c.mu.Lock()
	fresh := snapshot.Version > c.targetsVersion || snapshot.Version == c.targetsVersion && snapshot.At.After(c.targetsAt)
	c.mu.Unlock()
	if !fresh {
		return
	}
	c.offer(shelfshelf.TargetsUpdate{Whole: true, Changed: snapshot.Targets, Version: snapshot.Version}, snapshot, from)
}

// offer applies what another instance has told.
func (c *Catalog) offer(update shelfshelf.TargetsUpdate, snapshot Snapshot, from string) {
	c.Log.Debug("Targets come from another instance.", "from", from, "version", snapshot.Version, "whole", update.Whole)
	c.applyTargets(update, snapshot.At, from, func(shelfshelf.TargetName) time.Time { return time.Time{} })
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, until := range snapshot.KeptUntil {
		c.keepVanished(name, until)
	}
}

func missing(known map[shelfshelf.TargetName]shelfshelf.Target, listed []shelfshelf.Target) []shelfshelf.TargetName {
	present := make(map[shelfshelf.TargetName]bool, len(listed))
	for _, target := range listed {
		present[target.Name] = true
	}
	var absent []shelfshelf.TargetName
	for name := range known {
		if !present[name] {
			absent = append(absent, name)
		}
	}
	return absent
}
