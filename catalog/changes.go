package catalog

import (
	"maps"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// changesKept bounds how many changes of the list are remembered, for instances that know an earlier
// one: where many change at once, that is some seconds.
const changesKept = 512

// listChange is what has changed between two versions of the list.
type listChange struct {
	before, version uint64
	names           []shelfshelf.TargetName
}

// Delta is what has changed in the list since a version of it; the whole where that is not known.
type Delta struct {
	// Snapshot has the targets that have changed, or all.
	Snapshot
	Whole   bool
	After   uint64
	Removed []shelfshelf.TargetName
}

// remember keeps which targets a change concerns; the lock is held. What changes without a new version,
// as by the word of another instance on the same one, can't be told by versions.
func (c *Catalog) remember(before uint64, names []shelfshelf.TargetName) {
	switch {
	case c.targetsVersion > before && before > 0 && shelfshelf.EraOf(before) == shelfshelf.EraOf(c.targetsVersion):
		c.changes = append(c.changes, listChange{before: before, version: c.targetsVersion, names: names})
		if len(c.changes) > changesKept {
			c.changes = slices.Delete(c.changes, 0, len(c.changes)-changesKept)
		}
	case len(names) > 0 || c.targetsVersion > before:
		c.changes = nil
	}
}

// TargetsSince returns what has changed in the list after a version of it.
func (c *Catalog) TargetsSince(after uint64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.changedSince(after)
	if !known {
		return Delta{Snapshot: c.snapshot(maps.Keys(c.targets)), Whole: true}
	}
	delta := Delta{Snapshot: c.snapshot(maps.Keys(names)), After: after}
	for _, target := range delta.Targets {
		delete(names, target.Name)
	}
	delta.Removed = slices.Collect(maps.Keys(names))
	return delta
}

// changedSince returns the targets that have changed after a version of the list, and whether all are
// known; the lock is held.
func (c *Catalog) changedSince(after uint64) (names map[shelfshelf.TargetName]bool, known bool) {
	if after == 0 || len(c.changes) == 0 || after < c.changes[0].before {
		return nil, false
	}
	names = make(map[shelfshelf.TargetName]bool)
	for _, change := range c.changes {
		if change.version <= after {
			continue
		}
		for _, name := range change.names {
			names[name] = true
		}
	}
	// Those that are kept for a moment are told as such, with how long.
	for name := range c.vanished {
		names[name] = true
	}
	return names, true
}

// OfferDelta takes what has changed by another instance's word, if it is newer and goes on from what is
// known here.
func (c *Catalog) OfferDelta(delta Delta, from string) {
	if delta.Whole {
		c.OfferTargets(delta.Snapshot, from)
		return
	}
	c.mu.Lock()
	goesOn := c.targetsVersion >= delta.After && delta.Version > c.targetsVersion
	c.mu.Unlock()
	if !goesOn {
		return
	}
	update := shelfshelf.TargetsUpdate{Changed: delta.Targets, Removed: delta.Removed, Version: delta.Version}
	c.offer(update, delta.Snapshot, from)
}
