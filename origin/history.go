package origin

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// forgetAfter is how long after a version was last listed it is forgotten: far longer than streams last.
const forgetAfter = time.Hour

// history tells which versions each pool's targets ran, and since when that is known. It is protected by
// Registry.mu.
type history struct {
	// knownSince is since when no version can have been missed.
	knownSince time.Time
	// lastListed is when each version was last listed; for one that still is, it is out of date.
	lastListed map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]time.Time
	listed     map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]bool
}

// set takes the targets that are listed now, and reports whether a pool's versions have changed.
func (h *history) set(targets []shelfshelf.Target, now time.Time) bool {
	listed := make(map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]bool)
	for _, target := range targets {
		if listed[target.Pool] == nil {
			listed[target.Pool] = make(map[shelfshelf.TargetVersion]bool)
		}
		listed[target.Pool][target.Version] = true
	}
	changed := false
	for pool, versions := range h.listed {
		for version := range versions {
			h.seen(pool, version, now)
			changed = changed || !listed[pool][version]
		}
	}
	for pool, versions := range listed {
		for version := range versions {
			h.seen(pool, version, now)
			changed = changed || !h.listed[pool][version]
		}
	}
	h.listed = listed
	h.forget(now)
	return changed
}

// forget removes the versions that have been gone for long.
func (h *history) forget(now time.Time) {
	for pool, versions := range h.lastListed {
		for version, at := range versions {
			if !h.listed[pool][version] && now.Sub(at) >= forgetAfter {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.lastListed, pool)
		}
	}
}

// seen notes that a version was listed at a moment.
func (h *history) seen(pool shelfshelf.PoolName, version shelfshelf.TargetVersion, at time.Time) {
	if h.lastListed == nil {
		h.lastListed = make(map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]time.Time)
	}
	if h.lastListed[pool] == nil {
		h.lastListed[pool] = make(map[shelfshelf.TargetVersion]time.Time)
	}
	h.lastListed[pool][version] = shelfshelf.Later(h.lastListed[pool][version], at)
}

// since returns the versions that were listed at a moment or after it.
func (h *history) since(pool shelfshelf.PoolName, from time.Time) []shelfshelf.TargetVersion {
	var versions []shelfshelf.TargetVersion
	for version, at := range h.lastListed[pool] {
		if h.listed[pool][version] || !at.Before(from) {
			versions = append(versions, version)
		}
	}
	return versions
}

// merge adds what others know. A version that they still list may not have reached this instance yet, and counts
// as listed until now.
func (h *history) merge(loaded shelfshelf.VersionHistory, now time.Time) {
	for pool, versions := range loaded.Pools {
		for version, age := range versions {
			h.seen(pool, version, now.Add(-age))
		}
	}
	if since := now.Add(-loaded.KnownFor); since.Before(h.knownSince) {
		h.knownSince = since
	}
}

// export returns the history without the versions that were gone before a moment.
func (h *history) export(from, now time.Time) shelfshelf.VersionHistory {
	exported := shelfshelf.VersionHistory{
		KnownFor: now.Sub(h.knownSince),
		Pools:    make(map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]time.Duration),
	}
	for pool := range h.lastListed {
		for _, version := range h.since(pool, from) {
			if exported.Pools[pool] == nil {
				exported.Pools[pool] = make(map[shelfshelf.TargetVersion]time.Duration)
			}
			age := time.Duration(0)
			if !h.listed[pool][version] {
				age = max(now.Sub(h.lastListed[pool][version]), time.Millisecond)
			}
			exported.Pools[pool][version] = age
		}
	}
	return exported
}
