package catalog

import (
	"maps"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// maxChanges bounds the changes that are kept for instances with an earlier version of the list. When many
// targets change at once, this covers a few seconds.
const maxChanges = 512

// listChange is the set of targets that changed between two versions of the list.
type listChange struct {
	previousVersion, version uint64
	names                    []shelfshelf.TargetName
}

// Delta holds the changes of the list since an earlier version, or the full list if they are not known.
type Delta struct {
	// Snapshot holds the changed targets, or all targets if Full is set.
	Snapshot
	// Full means that these are all targets and not only the changes after version Since.
	Full    bool
	Since   uint64
	Removed []shelfshelf.TargetName
}

// recordChange records the targets that a change of the list affected. The caller must hold c.mu. A
// change that leaves the version as it is, such as another instance's snapshot of the same version,
// can't be found by version, so it clears the recorded changes.
func (c *Catalog) recordChange(previousVersion uint64, names []shelfshelf.TargetName) {
	switch {
	case c.targetsVersion > previousVersion && previousVersion > 0 && shelfshelf.EpochOf(previousVersion) == shelfshelf.EpochOf(c.targetsVersion):
		c.changes = append(c.changes, listChange{previousVersion: previousVersion, version: c.targetsVersion, names: names})
		if len(c.changes) > maxChanges {
			c.changes = slices.Delete(c.changes, 0, len(c.changes)-maxChanges)
		}
	case len(names) > 0 || c.targetsVersion > previousVersion:
		c.changes = nil
	}
}

// TargetsSince returns the changes of the list after the given version.
func (c *Catalog) TargetsSince(after uint64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.changedSince(after)
	if !known {
		return Delta{Snapshot: c.snapshot(maps.Keys(c.targets)), Full: true}
	}
	delta := Delta{Snapshot: c.snapshot(maps.Keys(names)), Since: after}
	for _, target := range delta.Targets {
		delete(names, target.Name)
	}
	delta.Removed = slices.Collect(maps.Keys(names))
	return delta
}

// changedSince returns the names of the targets that changed after the given version of the list. The
// result known is false if not all changes since then are recorded. The caller must hold c.mu.
func (c *Catalog) changedSince(after uint64) (names map[shelfshelf.TargetName]bool, known bool) {
	if after == 0 || len(c.changes) == 0 || after < c.changes[0].previousVersion {
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
	// Retained targets are always included, so that the receiver gets their expiry times.
	for name := range c.retainedUntil {
		names[name] = true
	}
	return names, true
}

// OfferDelta applies the changes from another instance if they are newer than the list here and leave no
// gap after it.
func (c *Catalog) OfferDelta(delta Delta, from string) {
	if delta.Full {
		c.OfferTargets(delta.Snapshot, from)
		return
	}
	c.mu.Lock()
	applies := c.targetsVersion >= delta.Since && delta.Version > c.targetsVersion
	c.mu.Unlock()
	if !applies {
		return
	}
	update := shelfshelf.TargetsUpdate{Changed: delta.Targets, Removed: delta.Removed, Version: delta.Version}
	c.applyOffer(update, delta.Snapshot, from)
}
