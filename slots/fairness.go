package slots

import (
	"math/bits"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/decay"
)

const (
	// fairnessHalfLife is the half-life of the counts behind the served shares; an overload comes
	// and goes within some seconds.
	fairnessHalfLife = 2 * time.Second
	// minRelativeShare is the served share of one length bucket, relative to that of all requests
	// of its group, below which requests of that length go first. Shortest first serves more
	// requests in total, but without a correction hardly any of the longest ones: in a simulation
	// at twice the capacity of the engines, 0.70 of all and 0.30 of the longest tenth were served
	// without it, 0.60 and 0.43 with it.
	minRelativeShare = 0.8
	// minOffered is how many recent requests (decayed) a length bucket needs for its served share
	// to be meaningful.
	minOffered = 2
)

// fairnessGroup identifies requests that are ordered by nothing but their length.
type fairnessGroup struct {
	rank int
	tier shelfshelf.Tier
}

// lengthFairness tracks the served share of each length bucket: which share of its recent requests
// got a slot, at this target or at another one that was asked at the same time. It is protected by
// SlotTable.mu.
type lengthFairness struct {
	groups map[fairnessGroup]map[int]*decay.Share
}

func groupOf(req shelfshelf.SlotRequest) fairnessGroup {
	return fairnessGroup{rank: req.Rank, tier: req.Tier}
}

// lengthBucket returns the power-of-two bucket of a request by its expected hold time in
// milliseconds.
func lengthBucket(req shelfshelf.SlotRequest) int {
	return bits.Len64(uint64(max(req.HoldTime.Milliseconds(), 0)))
}

// record counts a request that has left the queue.
func (l *lengthFairness) record(req shelfshelf.SlotRequest, served bool, now time.Time) {
	if req.Started {
		return
	}
	if l.groups == nil {
		l.groups = make(map[fairnessGroup]map[int]*decay.Share)
	}
	buckets := l.groups[groupOf(req)]
	if buckets == nil {
		buckets = make(map[int]*decay.Share)
		l.groups[groupOf(req)] = buckets
	}
	share := buckets[lengthBucket(req)]
	if share == nil {
		share = &decay.Share{}
		buckets[lengthBucket(req)] = share
	}
	share.Decay(now, fairnessHalfLife)
	share.Note(served)
}

// choose returns the index of the queued request to grant next among equal ones, which are ordered by expected hold
// time and arrival: the first one, unless requests of another length in its group were served too rarely. In that
// case it is the first request of the length with the lowest served share.
func (l *lengthFairness) choose(equal []position, now time.Time) int {
	first := equal[0].queued.request
	buckets := l.groups[groupOf(first)]
	if first.Started || len(buckets) == 0 {
		return equal[0].index
	}
	var all decay.Share
	for _, share := range buckets {
		share.Decay(now, fairnessHalfLife)
		all.Offered += share.Offered
		all.Served += share.Served
	}
	lowest := minRelativeShare * all.Served / max(all.Offered, minOffered)
	chosen := equal[0].index
	for _, p := range equal {
		share := buckets[lengthBucket(p.queued.request)]
		if share == nil || share.Offered < minOffered {
			continue
		}
		if served := share.Served / share.Offered; served < lowest {
			chosen, lowest = p.index, served
		}
	}
	return chosen
}
