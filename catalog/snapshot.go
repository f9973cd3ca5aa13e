package catalog

import (
	"iter"
	"maps"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// Snapshot is the state of the target list at one moment.
type Snapshot struct {
	Targets []shelfshelf.Target
	// RetainedUntil holds the expiry times of those targets that are missing from the source's list after an
	// outage and are still used for a short time.
	RetainedUntil map[shelfshelf.TargetName]time.Time
	// LeavingSince holds moments after which targets that are leaving have said so, where one is known.
	LeavingSince map[shelfshelf.TargetName]time.Time
	// Version orders snapshots: a greater one is newer.
	Version uint64
	// ValidAt is the latest time at which the snapshot is known to have been current; zero if there is no data.
	ValidAt time.Time

	// changedSince is a moment after which all changes were made; zero if none is known.
	changedSince time.Time
}

// TargetsVersion returns the version of the target list and the latest time at which it is known to have been
// current, which is zero if there is no data. It doesn't copy the list itself.
func (c *Catalog) TargetsVersion() (version uint64, validAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targetsVersion, c.targetsValidAt
}

// Targets returns all targets, including those that are leaving or retained.
func (c *Catalog) Targets() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot(maps.Keys(c.targets))
}

// snapshot returns a snapshot of the named targets without the expired ones. The caller must hold c.mu.
func (c *Catalog) snapshot(names iter.Seq[shelfshelf.TargetName]) Snapshot {
	snapshot := Snapshot{Version: c.targetsVersion, ValidAt: c.targetsValidAt, RetainedUntil: make(map[shelfshelf.TargetName]time.Time), LeavingSince: make(map[shelfshelf.TargetName]time.Time)}
	now := c.Clock.Now()
	for name := range names {
		target, listed := c.targets[name]
		expiry, retained := c.retainedUntil[name]
		if !listed || retained && !now.Before(expiry) {
			continue
		}
		if retained {
			snapshot.RetainedUntil[name] = expiry
		}
		if since, leaving := c.leavingSince[name]; leaving {
			snapshot.LeavingSince[name] = since
		}
		snapshot.Targets = append(snapshot.Targets, target)
	}
	return snapshot
}

// Target returns a target that the source currently lists, but not a retained one.
func (c *Catalog) Target(name shelfshelf.TargetName) (shelfshelf.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, listed := c.targets[name]
	_, retained := c.retainedUntil[name]
	return target, listed && !retained
}
