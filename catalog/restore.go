package catalog

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// suspectPeriod is how long after a restore of the source from an older copy a target that was known
	// to be leaving or removed is not trusted to be ready. Its entry in the copy expires after three
	// heartbeats of 1.2 s, and a live target rewrites its entry within two seconds.
	suspectPeriod = 5 * time.Second
	// departureRetention is how long removed targets are remembered for this check. A copy is a few
	// seconds old.
	departureRetention = time.Minute
)

// departure is a removed target in its last known state.
type departure struct {
	target shelfshelf.Target
	at     time.Time
}

// detectRestore reports whether a list version is the first one after the source was restored from an
// older copy. The copy lists targets in an older state, so those that are known to be leaving or removed
// become suspects for a while. The caller must hold c.mu.
func (c *Catalog) detectRestore(version uint64, now time.Time) bool {
	if c.targetsVersion == 0 || shelfshelf.EpochOf(version) <= shelfshelf.EpochOf(c.targetsVersion) {
		return false
	}
	c.restoredAt = now
	c.suspects = make(map[shelfshelf.TargetName]shelfshelf.Target)
	for name, target := range c.targets {
		if target.Leaving {
			c.suspects[name] = target
		}
	}
	for name, departed := range c.departures {
		if now.Sub(departed.at) < departureRetention {
			c.suspects[name] = departed.target
		}
	}
	c.wakeExpiry()
	c.Log.Info("The source has come back from an older copy.", "era", shelfshelf.EpochOf(version), "doubted", len(c.suspects))
	return true
}

// restoreGraceEnd returns until when a target that is missing from a full list is retained because the
// source was restored from a copy that may be older than the target. The caller must hold c.mu.
func (c *Catalog) restoreGraceEnd(name shelfshelf.TargetName) time.Time {
	if c.restoredAt.IsZero() || c.targets[name].Leaving {
		return time.Time{}
	}
	return c.restoredAt.Add(missingTargetGrace)
}

// recordDeparture remembers a target that was removed from the list. The caller must hold c.mu.
func (c *Catalog) recordDeparture(target shelfshelf.Target, now time.Time) {
	if c.departures == nil {
		c.departures = make(map[shelfshelf.TargetName]departure)
	}
	c.departures[target.Name] = departure{target: target, at: now}
	for name, departed := range c.departures {
		if now.Sub(departed.at) >= departureRetention {
			delete(c.departures, name)
		}
	}
}

// markSuspect returns the target, marked as leaving if it is a suspect, so that it gets no new requests.
// The caller must hold c.mu.
func (c *Catalog) markSuspect(target shelfshelf.Target, now time.Time) shelfshelf.Target {
	suspect, isSuspect := c.suspects[target.Name]
	if isSuspect && now.Sub(c.restoredAt) < suspectPeriod && suspect.SameIncarnation(target) {
		target.Leaving = true
	}
	return target
}

// clearSuspects clears the suspects once suspectPeriod is over and reports whether there were any. The
// caller must hold c.mu.
func (c *Catalog) clearSuspects(now time.Time) bool {
	if len(c.suspects) == 0 || now.Sub(c.restoredAt) < suspectPeriod {
		return false
	}
	c.suspects = nil
	return true
}

// UsableTargets returns the targets with suspects marked as leaving. For a few seconds after a restore of the
// source from an older copy it differs from Targets, which is what other instances get.
func (c *Catalog) UsableTargets() Snapshot {
	snapshot := c.Targets()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	for i, target := range snapshot.Targets {
		snapshot.Targets[i] = c.markSuspect(target, now)
	}
	return snapshot
}
