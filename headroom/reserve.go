package headroom

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// tierCount is how many tiers are told apart; all further ones count as the last.
	tierCount = 8
	// rateTime is the time constant of the rates. A burst of a higher tier lasts some seconds.
	rateTime = 700 * time.Millisecond
	// quietTime is the time after the last arrival of a tier after which nothing is kept free for it.
	quietTime = 1500 * time.Millisecond
	// batchGap is the longest time between two requests of a batch. They are sent together and arrive through several
	// instances.
	batchGap = 5 * time.Millisecond
	// batchMemory is the weight of the latest batch in the mean batch size.
	batchMemory = 0.2
	// maxShare is the largest share of all slots that is kept free. It is about that of one slot of each engine.
	maxShare = 1.0 / 8
	// minSlots is the number of slots below which none is kept free; otherwise lower tiers would hardly run.
	minSlots = 4
)

// Reserve computes the slots to be kept free in one shared queue. The zero value is ready for use. Its methods are not
// called concurrently, and now never goes back.
type Reserve struct {
	tiers [tierCount]arrivals
	// freed counts the slots that became free; it fades with rateTime.
	freed float64
	at    time.Time
}

// arrivals describes the arrivals of one tier.
type arrivals struct {
	// count fades with rateTime.
	count float64
	last  time.Time
	// batch is how many requests the current batch has so far, and meanBatch the mean size of those before.
	batch     float64
	meanBatch float64
}

// Arrived counts a slot request of a tier.
func (r *Reserve) Arrived(tier shelfshelf.Tier, now time.Time) {
	r.advance(now)
	r.tiers[tierIndex(tier)].add(now)
}

// Freed counts a slot that became free.
func (r *Reserve) Freed(now time.Time) {
	r.advance(now)
	r.freed++
}

// Slots returns how many of all slots a request of a tier must leave free for higher tiers: a mean batch of
// them, times the share of the slots that they need of those that become free.
func (r *Reserve) Slots(tier shelfshelf.Tier, total int, now time.Time) int {
	if total < minSlots {
		return 0
	}
	r.advance(now)
	arrived, batch := 0.0, 0.0
	for i := range tierIndex(tier) {
		a := &r.tiers[i]
		if a.count > 0 && now.Sub(a.last) < quietTime {
			arrived += a.count
			batch = max(batch, a.batchSize())
		}
	}
	if arrived == 0 {
		return 0
	}
	slots := math.Ceil(batch * min(arrived/max(r.freed, 1), 1))
	return int(min(max(slots, 1), max(math.Floor(maxShare*float64(total)), 1)))
}

// batchSize returns the mean size of the batches, or that of the first one.
func (a *arrivals) batchSize() float64 {
	if a.meanBatch > 0 {
		return a.meanBatch
	}
	return a.batch
}

// add counts an arrival and finds the batches in the arrivals.
func (a *arrivals) add(now time.Time) {
	if !a.last.IsZero() && now.Sub(a.last) > batchGap {
		a.meanBatch = a.batchSize() + batchMemory*(a.batch-a.batchSize())
		a.batch = 0
	}
	a.batch++
	a.count++
	a.last = now
}

// advance brings the counts up to now.
func (r *Reserve) advance(now time.Time) {
	if !r.at.IsZero() && now.After(r.at) {
		keep := math.Exp(-float64(now.Sub(r.at)) / float64(rateTime))
		r.freed *= keep
		for i := range r.tiers {
			r.tiers[i].count *= keep
		}
	}
	r.at = shelfshelf.Later(r.at, now)
}

func tierIndex(tier shelfshelf.Tier) int {
	return min(max(int(tier), 0), tierCount-1)
}
