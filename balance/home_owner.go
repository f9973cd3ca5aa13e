package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

// homeEngine returns the engine of this data centre whose owner is always asked for a slot for a request, so that it
// recognizes a retry: the one with the highest rendezvous score for the fingerprint. It is nil if the request has no
// fingerprint. The caller must hold b.mu.
func (a *ownerAcquisition) homeEngine(p *pool) *targetState {
	if a.need.Fingerprint == 0 {
		return nil
	}
	var home *targetState
	var highest uint64
	for _, t := range p.targets {
		if !t.engine || t.target.DataCentre != a.balancer.DataCentre {
			continue
		}
		if score := homeScore(t.key, a.need.Fingerprint); home == nil || score > highest {
			home, highest = t, score
		}
	}
	return home
}

// homeScore ranks an engine for a fingerprint by rendezvous hashing.
func homeScore(engine shelfshelf.TargetKey, fingerprint shelfshelf.Fingerprint) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], uint64(fingerprint))
	binary.BigEndian.PutUint64(key[8:], uint64(engine))
	return xxhash.Sum64(key[:])
}

// homeTarget returns the best target that fits accepts in the queue of the home engine, if its owner is to be asked next:
// once another owner has put the request into its queue. Otherwise it returns none. The caller must hold b.mu.
func (a *ownerAcquisition) homeTarget(p *pool, now time.Time, fits func(*targetState) bool) rankedTarget {
	var best rankedTarget
	if len(a.shared.asked) == 0 {
		return best
	}
	home := a.homeEngine(p)
	if home == nil || a.shared.asked[home.key] {
		return best
	}
	goal := a.need.LatencyGoal
	for _, key := range a.balancer.sharedQueue(home) {
		t := a.balancer.targetsByKey[key]
		if t == nil || t.target.Pool != a.need.Pool || t.ownerOnly() || !fits(t) {
			continue
		}
		if r := a.rank(p, t, now); best.target == nil || r.order(goal) < best.order(goal) {
			best = r
		}
	}
	return best
}
