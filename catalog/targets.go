package catalog

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// expiryCheckInterval is how often retained targets and suspects are checked for expiry. They may stay up to
// that much longer.
const expiryCheckInterval = 100 * time.Millisecond

func (c *Catalog) pollTargets(ctx context.Context) error {
	backoff := &readBackoff{catalog: c, name: "targets"}
	var cursor uint64
	var reads targetReads
	for c.waitUntilDue(ctx, c.targetsDue) {
		start := c.Clock.Now()
		var update shelfshelf.TargetsUpdate
		err := c.readWhileNeeded(ctx, cursor, c.targetsDue, func(ctx context.Context) (err error) {
			update, err = c.readTargets(ctx, cursor)
			return err
		})
		if errors.Is(err, errReadNotNeeded) {
			continue
		}
		if !backoff.handleResult(ctx, err) {
			cursor, reads = 0, targetReads{}
			continue
		}
		cursor = update.Cursor
		end := c.Clock.Now()
		offer := Snapshot{ValidAt: start, changedSince: reads.changedSince(start, end)}
		reads.answeredAt = end
		c.applyTargets(update, offer, FromSource, c.outageGraceEnd)
	}
	return nil
}

func (c *Catalog) readTargets(ctx context.Context, cursor uint64) (shelfshelf.TargetsUpdate, error) {
	if cursor > 0 {
		return c.Source.AwaitTargets(ctx, cursor, targetsPollTimeout)
	}
	return c.Source.ReadTargets(ctx)
}

// outageGraceEnd returns until when a target that is missing from a full list is retained. Right after
// an outage it may only have been unable to renew its entry; a target whose entry is removed while the
// source can be read has left. The caller must hold c.mu.
func (c *Catalog) outageGraceEnd(name shelfshelf.TargetName) time.Time {
	if until, retained := c.retainedUntil[name]; retained {
		return until
	}
	if c.targets[name].Leaving {
		return time.Time{}
	}
	return c.outageEnded.Add(missingTargetGrace)
}

// applyTargets applies an update, with what else is known of it. For a target that is missing from a full list, retainUntil returns until
// when it is retained all the same.
func (c *Catalog) applyTargets(update shelfshelf.TargetsUpdate, offer Snapshot, from string, retainUntil func(shelfshelf.TargetName) time.Time) {
	validAt := offer.ValidAt
	c.mu.Lock()
	c.recordUnreadable(update)
	if c.targets == nil {
		c.targets = make(map[shelfshelf.TargetName]shelfshelf.Target)
		c.retainedUntil = make(map[shelfshelf.TargetName]time.Time)
	}
	candidates := update.Removed
	if update.Full {
		candidates = missingTargets(c.targets, update.Changed)
	}
	now := c.Clock.Now()
	restored := c.detectRestore(update.Version, now)
	previousVersion := c.targetsVersion
	var removed []shelfshelf.TargetName
	for _, name := range candidates {
		until := time.Time{}
		if update.Full {
			until = shelfshelf.Later(retainUntil(name), c.restoreGraceEnd(name))
		}
		if c.removeTarget(name, until, now) {
			removed = append(removed, name)
		}
	}
	var changed []shelfshelf.TargetName
	var reappeared []shelfshelf.TargetName
	for _, target := range update.Changed {
		if old, known := c.targets[target.Name]; !known || old != target {
			changed = append(changed, target.Name)
		}
		if _, retained := c.retainedUntil[target.Name]; retained {
			reappeared = append(reappeared, target.Name)
		}
		c.noteLeaving(target, offer.changedSince, offer.LeavingSince[target.Name])
		c.targets[target.Name] = target
		delete(c.retainedUntil, target.Name)
	}
	c.targetsVersion = max(c.targetsVersion, update.Version)
	c.recordChange(previousVersion, slices.Concat(removed, changed, reappeared))
	if validAt.After(c.targetsValidAt) {
		c.targetsValidAt = validAt
	}
	count := len(c.targets)
	c.mu.Unlock()
	if restored && c.OnRestore != nil {
		c.OnRestore()
	}
	if len(removed)+len(changed) == 0 {
		return
	}
	c.Log.Info("Targets have changed.", "changed", changed, "removed", removed, "whole", update.Full,
		"known", count, "version", update.Version, "age", c.Clock.Now().Sub(validAt))
	c.notify(from)
}

// recordUnreadable records the entries that don't decode to a usable target. It logs each one when it
// becomes unreadable or its reason changes, not at every read. The caller must hold c.mu.
func (c *Catalog) recordUnreadable(update shelfshelf.TargetsUpdate) {
	previous := c.unreadable
	if update.Full || previous == nil {
		c.unreadable = make(map[shelfshelf.TargetName]string)
	}
	for _, target := range update.Changed {
		delete(c.unreadable, target.Name)
	}
	for _, name := range update.Removed {
		delete(c.unreadable, name)
	}
	for _, entry := range update.Invalid {
		reason := entry.Reason.Error()
		c.unreadable[entry.Name] = reason
		if previous[entry.Name] != reason {
			c.Log.Warn("An entry of the target list can't be decoded.", "entry", entry.Name, "reason", reason)
		}
	}
}

// UnreadableCount returns how many entries of the list don't decode to a usable target.
func (c *Catalog) UnreadableCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unreadable)
}

// removeTarget removes a target, or retains it if until is in the future. It reports whether that
// changed the state of the target. The caller must hold c.mu.
func (c *Catalog) removeTarget(name shelfshelf.TargetName, until, now time.Time) bool {
	if _, known := c.targets[name]; !known {
		return false
	}
	if now.Before(until) {
		_, alreadyRetained := c.retainedUntil[name]
		c.retainTarget(name, until)
		return !alreadyRetained
	}
	c.recordDeparture(c.targets[name], now)
	delete(c.targets, name)
	delete(c.retainedUntil, name)
	delete(c.leavingSince, name)
	return true
}

// runExpiry removes retained targets and clears suspects when their time is over, because the source doesn't
// report them again. It sleeps while there are none.
func (c *Catalog) runExpiry(ctx context.Context) error {
	for {
		c.mu.Lock()
		wake := c.expiryWakeChannel()
		var next <-chan time.Time
		if len(c.retainedUntil)+len(c.suspects) > 0 {
			next = c.Clock.After(expiryCheckInterval)
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
			continue
		case <-next:
		}
		c.expireTargets()
	}
}

// expireTargets removes the expired retained targets, clears the suspects whose time is over, and calls
// OnChange if there were any.
func (c *Catalog) expireTargets() {
	dropped := c.dropExpired()
	if len(dropped) > 0 {
		c.Log.Info("Removed retained targets that did not reappear.", "dropped", dropped)
	}
	c.mu.Lock()
	cleared := c.clearSuspects(c.Clock.Now())
	c.mu.Unlock()
	if cleared || len(dropped) > 0 {
		c.notify(FromSource)
	}
}

// expiryWakeChannel returns the channel that wakes runExpiry. The caller must hold c.mu.
func (c *Catalog) expiryWakeChannel() chan struct{} {
	if c.expiryWake == nil {
		c.expiryWake = make(chan struct{}, 1)
	}
	return c.expiryWake
}

// retainTarget keeps a target that is missing from the source's list until the given time. The caller
// must hold c.mu.
func (c *Catalog) retainTarget(name shelfshelf.TargetName, until time.Time) {
	c.retainedUntil[name] = until
	c.wakeExpiry()
}

// wakeExpiry wakes runExpiry. The caller must hold c.mu.
func (c *Catalog) wakeExpiry() {
	select {
	case c.expiryWakeChannel() <- struct{}{}:
	default:
	}
}

func (c *Catalog) dropExpired() []shelfshelf.TargetName {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	var dropped []shelfshelf.TargetName
	for name, until := range c.retainedUntil {
		if !now.Before(until) {
			c.recordDeparture(c.targets[name], now)
			delete(c.targets, name)
			delete(c.retainedUntil, name)
			delete(c.leavingSince, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

// OfferTargets applies a snapshot from another instance if it is newer.
func (c *Catalog) OfferTargets(snapshot Snapshot, from string) {
	c.mu.Lock()
	newer := snapshot.Version > c.targetsVersion || snapshot.Version == c.targetsVersion && snapshot.ValidAt.After(c.targetsValidAt)
	c.mu.Unlock()
	if !newer {
		return
	}
	c.applyOffer(shelfshelf.TargetsUpdate{Full: true, Changed: snapshot.Targets, Version: snapshot.Version}, snapshot, from)
}

// applyOffer applies an update from another instance, with the expiry times of its retained targets.
func (c *Catalog) applyOffer(update shelfshelf.TargetsUpdate, snapshot Snapshot, from string) {
	c.Log.Debug("Received targets from another instance.", "from", from, "version", snapshot.Version, "whole", update.Full)
	c.applyTargets(update, snapshot, from, func(shelfshelf.TargetName) time.Time { return time.Time{} })
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, until := range snapshot.RetainedUntil {
		c.retainTarget(name, until)
	}
}

func missingTargets(known map[shelfshelf.TargetName]shelfshelf.Target, listed []shelfshelf.Target) []shelfshelf.TargetName {
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
