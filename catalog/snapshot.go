package catalog

import (
	"iter"
	"maps"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// Snapshot is what is known of the targets at one moment.
type Snapshot struct {
	Targets []shelfshelf.Target
	// KeptUntil names those of them that the source has lost in an outage and that are
	// used for a moment longer.
	KeptUntil map[shelfshelf.TargetName]time.Time
	// Version orders snapshots: a greater one is newer.
	Version uint64
	// At is up to when the snapshot is known to hold; zero if nothing is known.
	At time.Time
}

// TargetsKnown returns the version of the list of targets and up to when it is known
// to hold, zero if nothing is known, without the list itself.
func (c *Catalog) TargetsKnown() (version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targetsVersion, c.targetsAt
}

// Targets returns the targets that may be used or are leaving.
func (c *Catalog) Targets() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot(maps.Keys(c.targets))
}

// snapshot returns those of some targets that may be used or are leaving; the lock is held.
func (c *Catalog) snapshot(names iter.Seq[shelfshelf.TargetName]) Snapshot {
	snapshot := Snapshot{Version: c.targetsVersion, At: c.targetsAt, KeptUntil: make(map[shelfshelf.TargetName]time.Time)}
	now := c.Clock.Now()
	for name := range names {
		target, listed := c.targets[name]
		until, vanished := c.vanished[name]
		if !listed || vanished && !now.Before(until) {
			continue
		}
		if vanished {
			snapshot.KeptUntil[name] = until
		}
		snapshot.Targets = append(snapshot.Targets, target)
	}
	return snapshot
}

// Target returns a target that is listed now; one that the source has lost is not.
func (c *Catalog) Target(name shelfshelf.TargetName) (shelfshelf.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, listed := c.targets[name]
	_, vanished := c.vanished[name]
	return target, listed && !vanished
}
