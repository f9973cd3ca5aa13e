package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/decay"
)

const (
	// servedShareHalfLife is the half-life of the counts behind the served shares of tiers. A
	// shortage lasts only some seconds.
	servedShareHalfLife = 2 * time.Second
	// minOffered is how many recent requests a tier needs for its share to be meaningful.
	minOffered = 4
	// minRefused is how many of them must have been refused. A single request that found no slot by
	// chance is no shortage.
	minRefused = 1.5
	// shareMargin is by how much the served share of a lower tier may exceed that of a higher one
	// before some of its requests are refused at once.
	shareMargin = 0.03
	// forgottenOffered is how few recent requests a tier may have to be forgotten. Configurations come and go, and
	// each may have tiers of its own.
	forgottenOffered = 0.1
)

// servedShare returns the share of a tier's recent requests that were served; 1 if there were too
// few to tell.
func servedShare(s *decay.Share, now time.Time) float64 {
	s.Decay(now, servedShareHalfLife)
	if s.Offered < minOffered || s.Offered-s.Served < minRefused {
		return 1
	}
	return s.Served / s.Offered
}

// servedShares counts the recently served requests of each tier of a pool. Requests that were
// refused to keep the order of tiers don't count. It is protected by Balancer.mu.
type servedShares struct {
	// tiers are those with recent requests, the highest tier (the lowest number) first.
	tiers []*tierShare
}

// tierShare counts the recently served requests of one tier.
type tierShare struct {
	tier shelfshelf.Tier
	decay.Share
}

// record counts one request that was granted a slot or refused.
func (s *servedShares) record(tier shelfshelf.Tier, served bool, now time.Time) {
	t := s.ensure(tier, now)
	t.Decay(now, servedShareHalfLife)
	t.Note(served)
}

// ensure returns the counts of a tier. Where it adds them, it forgets the tiers that have had hardly any recent
// requests.
func (s *servedShares) ensure(tier shelfshelf.Tier, now time.Time) *tierShare {
	if i, found := s.find(tier); found {
		return s.tiers[i]
	}
	s.tiers = slices.DeleteFunc(s.tiers, func(t *tierShare) bool {
		t.Decay(now, servedShareHalfLife)
		return t.Offered < forgottenOffered
	})
	added := &tierShare{tier: tier}
	i, _ := s.find(tier)
	s.tiers = slices.Insert(s.tiers, i, added)
	return added
}

// find returns the index of a tier, or where it would have to be added.
func (s *servedShares) find(tier shelfshelf.Tier) (index int, found bool) {
	return slices.BinarySearchFunc(s.tiers, tier, func(t *tierShare, tier shelfshelf.Tier) int {
		return cmp.Compare(t.tier, tier)
	})
}

// admittedShare returns the share of a tier's requests that may look for a slot, so that the tier
// is not served a larger share than the tiers above it. Otherwise a lower tier whose requests need
// little would find slots where a higher one doesn't; the slots that it leaves go to the higher
// tiers.
func (s *servedShares) admittedShare(tier shelfshelf.Tier, now time.Time) float64 {
	// above is the smallest share that a higher tier is served, of all its requests.
	above := 1.0
	for _, t := range s.tiers {
		if t.tier > tier {
			break
		}
		served := servedShare(&t.Share, now)
		if t.tier == tier {
			return admitted(served, above)
		}
		above = min(above, served*admitted(served, above))
	}
	return admitted(1, above)
}

// admitted returns the share of a tier's requests that may look for a slot, by the share that it is served of those
// and the smallest share of a higher tier.
func admitted(served, above float64) float64 {
	if served <= above+shareMargin {
		return 1
	}
	return (above + shareMargin) / served
}

// exceedsTierShare reports whether a request is refused at once to keep the order of tiers.
func (b *Balancer) exceedsTierShare(need Need) bool {
	if need.Started || need.Tier == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[need.Pool]
	return p != nil && rand.Float64() >= p.servedShares.admittedShare(need.Tier, b.Clock.Now())
}

// recordServed counts the outcome of a request that looked for a slot.
func (b *Balancer) recordServed(need Need, served bool) {
	if need.Started {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[need.Pool]; p != nil {
		p.servedShares.record(need.Tier, served, b.Clock.Now())
	}
}
