package balance

import (
	"math/rand/v2"
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
	tiers map[shelfshelf.Tier]*decay.Share
}

// record counts one request that was granted a slot or refused.
func (s *servedShares) record(tier shelfshelf.Tier, served bool, now time.Time) {
	if s.tiers == nil {
		s.tiers = make(map[shelfshelf.Tier]*decay.Share)
	}
	t := s.tiers[tier]
	if t == nil {
		t = &decay.Share{}
		s.tiers[tier] = t
	}
	t.Decay(now, servedShareHalfLife)
	t.Note(served)
}

// admittedShare returns the share of a tier's requests that may look for a slot, so that the tier
// is not served a larger share than the tiers above it. Otherwise a lower tier whose requests need
// little would find slots where a higher one doesn't; the slots that it leaves go to the higher
// tiers.
func (s *servedShares) admittedShare(tier shelfshelf.Tier, now time.Time) float64 {
	above := 1.0
	for other, t := range s.tiers {
		if other < tier {
			above = min(above, servedShare(t, now)*s.admittedShare(other, now))
		}
	}
	own := 1.0
	if t := s.tiers[tier]; t != nil {
		own = servedShare(t, now)
	}
	if own <= above+shareMargin {
		return 1
	}
	return (above + shareMargin) / own
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
