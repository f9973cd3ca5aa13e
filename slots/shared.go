package slots

import (
	"maps"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// QueueCounts counts what happened in the queues of a SlotTable that several engines share.
type QueueCounts struct {
	// Granted counts the grants by tier. PassedOver counts by tier the requests that were in front of a granted one,
	// but don't name its engine or leave its slot to higher tiers.
	Granted    map[shelfshelf.Tier]uint64
	PassedOver map[shelfshelf.Tier]uint64
	// Waiting is how many requests of each tier wait now.
	Waiting map[shelfshelf.Tier]int
}

// Counts returns the counts of the shared queues.
func (t *SlotTable) Counts() QueueCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := QueueCounts{
		Granted: maps.Clone(t.counts.Granted), PassedOver: maps.Clone(t.counts.PassedOver), Waiting: make(map[shelfshelf.Tier]int),
	}
	for _, q := range t.queues {
		if !q.shared() {
			continue
		}
		for _, queued := range q.requests {
			counts.Waiting[queued.request.Tier]++
		}
	}
	return counts
}

// count counts a grant of a shared queue. The caller must hold t.mu.
func (t *SlotTable) count(q *slotQueue, granted int, fits func(queuedRequest) bool, order queueOrder) {
	if t.counts.Granted == nil {
		t.counts.Granted = make(map[shelfshelf.Tier]uint64)
		t.counts.PassedOver = make(map[shelfshelf.Tier]uint64)
	}
	t.counts.Granted[q.requests[granted].request.Tier]++
	for _, tier := range order.passedOver(q.requests, granted, fits) {
		t.counts.PassedOver[tier]++
	}
	order.reportHeldBack(q.requests, granted, &q.fairness, fits)
}

// reservation is what requests must leave free for higher tiers when a slot of one engine is granted.
type reservation struct {
	// slots is the number of slots of the engine, and total that of all engines of the queue, of which free are free.
	slots, total, free int
	rules              QueueRules
	now                time.Time
}

// reservation returns the reservation of a shared queue for a grant at one of its engines. The caller must hold t.mu.
func (t *SlotTable) reservation(q *slotQueue, capacity Capacity, now time.Time) reservation {
	r := reservation{slots: capacity.Slots, rules: q.rules, now: now}
	if q.rules.Reserved == nil {
		return r
	}
	for target, s := range t.targets {
		if s.queue != q || s.blockedFor(now) > 0 {
			continue
		}
		if capacity, known := t.Capacity(target); known {
			r.total += capacity.Slots
			r.free += max(s.freeSlots(capacity, now), 0)
		}
	}
	return r
}

// allows reports whether a request may take one of the free slots of the engine.
func (r reservation) allows(req shelfshelf.SlotRequest, free int) bool {
	if r.rules.Reserved == nil {
		return free > shelfshelf.ReservedSlots(r.slots, req.Tier, req.Started)
	}
	return r.free > r.rules.Reserved(req, r.total, r.now)
}
