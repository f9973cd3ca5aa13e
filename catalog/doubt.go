package catalog

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// doubtTime is how long after the source came back from an older copy it isn't believed that
	// a target is back that was known to leave, or to have left: its entry in the copy lapses
	// after three heartbeats of 1.2 s, and one that lives writes itself again within two seconds.
	doubtTime = 5 * time.Second
	// leftKept is how long targets that have left are remembered for that; a copy is some
	// seconds old.
	leftKept = time.Minute
)

// departure is a target that has left, as it was last known.
type departure struct {
	target shelfshelf.Target
	at     time.Time
}

// noteEra notes that a list is the first one after the source came back from an older copy, which
// has targets as they were: those that are known to leave, or to have left, stay away for a while.
// It reports whether that is so; the lock is held.
func (c *Catalog) noteEra(version uint64, now time.Time) bool {
	if c.targetsVersion == 0 || shelfshelf.EraOf(version) <= shelfshelf.EraOf(c.targetsVersion) {
		return false
	}
	c.returnedAt = now
	c.doubted = make(map[shelfshelf.TargetName]shelfshelf.Target)
	for name, target := range c.targets {
		if target.Leaving {
			c.doubted[name] = target
		}
	}
	for name, gone := range c.left {
		if now.Sub(gone.at) < leftKept {
			c.doubted[name] = gone.target
		}
	}
	c.wakeExpiry()
	c.Log.Info("The source has come back from an older copy.", "era", shelfshelf.EraOf(version), "doubted", len(c.doubted))
	return true
}

// keptAfterReturn is until when a target that a whole list lacks is kept because the source has
// come back from a copy that may be older than it. The lock is held.
func (c *Catalog) keptAfterReturn(name shelfshelf.TargetName) time.Time {
	if c.returnedAt.IsZero() || c.targets[name].Leaving {
		return time.Time{}
	}
	return c.returnedAt.Add(returnGrace)
}

// noteLeft remembers a target that is listed no more; the lock is held.
func (c *Catalog) noteLeft(target shelfshelf.Target, now time.Time) {
	if c.left == nil {
		c.left = make(map[shelfshelf.TargetName]departure)
	}
	c.left[target.Name] = departure{target: target, at: now}
	for name, gone := range c.left {
		if now.Sub(gone.at) >= leftKept {
			delete(c.left, name)
		}
	}
}

// trusted returns a target as it is to be used: one that is doubted gets nothing new.
// The lock is held.
func (c *Catalog) trusted(target shelfshelf.Target, now time.Time) shelfshelf.Target {
	gone, doubted := c.doubted[target.Name]
	if doubted && now.Sub(c.returnedAt) < doubtTime && gone.SameLife(target) {
		target.Leaving = true
	}
	return target
}

// endDoubts forgets doubts that are over and reports whether there were any. The lock is held.
func (c *Catalog) endDoubts(now time.Time) bool {
	if len(c.doubted) == 0 || now.Sub(c.returnedAt) < doubtTime {
		return false
	}
	c.doubted = nil
	return true
}

// Usable returns the targets as they are to be used. It differs from Targets, which is what the
// others are told, for some seconds after the source has come back from an older copy.
func (c *Catalog) Usable() Snapshot {
	snapshot := c.Targets()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	for i, target := range snapshot.Targets {
		snapshot.Targets[i] = c.trusted(target, now)
	}
	return snapshot
}
