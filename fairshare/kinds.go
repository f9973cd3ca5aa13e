package fairshare

import (
	"maps"
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/decay"
)

const (
	// maxTimeShare is the largest part of the slot time of a higher tier with which a lower one may
	// go ahead of it. At a quarter, four requests of the lower tier cost the higher one one request
	// at most.
	maxTimeShare = 0.25
	// minOffered is how many recent requests (decayed) a tier needs for its figures to be meaningful.
	minOffered = 4
	// shareMargin is by how much the served share of the lower tier must be below that of the higher
	// one. Requests that wait are not counted yet, so the shares are known a little late.
	shareMargin = 0.02
	// forgottenOffered is how few recent requests a tier may have to be forgotten.
	forgottenOffered = 0.1
)

// Kinds holds the served share and the mean slot time of each tier. The zero value is ready for use.
// It is not safe for concurrent use.
type Kinds struct {
	tiers map[shelfshelf.Tier]*kind
}

// kind holds the decayed counts of one tier.
type kind struct {
	share decay.Share
	// timed is how many of the requests had a known slot time, and slotTime the sum of these times in
	// seconds. Both decay like share.
	timed, slotTime float64
	at              time.Time
}

// Ended counts a request that was granted a slot or left without one. slotTime is the slot time that
// it needs as far as is known, or 0.
func (k *Kinds) Ended(tier shelfshelf.Tier, slotTime time.Duration, served bool, now time.Time) {
	if k.tiers == nil {
		k.tiers = make(map[shelfshelf.Tier]*kind)
	}
	counts := k.tiers[tier]
	if counts == nil {
		k.forgetUnused(now)
		counts = &kind{at: now}
		k.tiers[tier] = counts
	}
	counts.decayTo(now)
	counts.share.Note(served)
	if slotTime > 0 {
		counts.timed++
		counts.slotTime += slotTime.Seconds()
	}
}

// Precedes reports whether requests of a lower tier go ahead of those of a higher one: they need at
// most a quarter of its slot time and are served less often. Nothing goes ahead of tier 0. A tier
// that goes ahead of one goes ahead of all between the two, also of those of which too few requests
// have ended, and of none if it can't: so the order of tiers has no cycle.
func (k *Kinds) Precedes(lower, higher shelfshelf.Tier, now time.Time) bool {
	if higher <= 0 || lower <= higher || !k.meaningful(lower, now) {
		return false
	}
	if !k.meaningful(higher, now) {
		higher = k.meaningfulAbove(higher, now)
		if higher <= 0 {
			return false
		}
	}
	for tier := range k.tiers {
		if tier >= higher && tier < lower && k.meaningful(tier, now) && !k.outranks(lower, tier) {
			return false
		}
	}
	return true
}

// meaningfulAbove returns the nearest meaningful tier above another one, or 0. A tier that goes ahead of any above goes
// ahead of the nearest, since that is between the two.
func (k *Kinds) meaningfulAbove(tier shelfshelf.Tier, now time.Time) shelfshelf.Tier {
	nearest := shelfshelf.Tier(0)
	for above := range k.tiers {
		if above > nearest && above < tier && k.meaningful(above, now) {
			nearest = above
		}
	}
	return nearest
}

// forgetUnused forgets the tiers that have had hardly any recent requests: each configuration may have tiers of its own.
func (k *Kinds) forgetUnused(now time.Time) {
	maps.DeleteFunc(k.tiers, func(_ shelfshelf.Tier, counts *kind) bool {
		counts.decayTo(now)
		return counts.share.Offered < forgottenOffered
	})
}

// outranks reports whether a meaningful tier goes ahead of a higher one, whatever is between the two.
func (k *Kinds) outranks(lower, higher shelfshelf.Tier) bool {
	low, high := k.tiers[lower], k.tiers[higher]
	small := low.slotTime/low.timed <= maxTimeShare*high.slotTime/high.timed
	return small && low.servedShare() < high.servedShare()-shareMargin
}

// meaningful reports whether enough requests of a tier have ended, some of them with a known slot
// time, and brings its counts up to now.
func (k *Kinds) meaningful(tier shelfshelf.Tier, now time.Time) bool {
	counts := k.tiers[tier]
	if counts == nil {
		return false
	}
	counts.decayTo(now)
	return counts.share.Offered >= minOffered && counts.timed > 0
}

// ServedShare returns the share of the tier's recent requests that were granted a slot; 1 if there
// are too few to tell.
func (k *Kinds) ServedShare(tier shelfshelf.Tier, now time.Time) float64 {
	counts := k.tiers[tier]
	if counts == nil {
		return 1
	}
	counts.decayTo(now)
	if counts.share.Offered < minOffered {
		return 1
	}
	return counts.servedShare()
}

// decayTo lets the counts decay until now.
func (k *kind) decayTo(now time.Time) {
	if !now.After(k.at) {
		// An earlier time would make the counts grow.
		now = k.at
	}
	keep := math.Exp2(-float64(now.Sub(k.at)) / float64(HalfLife))
	k.timed *= keep
	k.slotTime *= keep
	k.share.Decay(now, HalfLife)
	k.at = now
}

// servedShare is the share of requests that were granted a slot.
func (k *kind) servedShare() float64 { return k.share.Served / k.share.Offered }
