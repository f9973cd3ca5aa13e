package slots

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/decay"
	"github.com/shelfshelf/shelfshelf/fairshare"
)

const (
	// maxChargedTime bounds the expected hold time that a grant is charged, which arrives in a message. No
	// request holds a slot for longer.
	maxChargedTime = time.Minute
	// heldBackLogInterval is the minimum time between two log lines on the same customer.
	heldBackLogInterval = 10 * time.Second
	// loggedCustomers bounds the customers whose last log line is remembered.
	loggedCustomers = fairshare.MaxCustomers
)

// Sharing keeps the shared queues of an owner fair between customers and between kinds of requests. The owner
// charges what it grants, so that a new owner starts empty. Its fields are set before use. It is safe for concurrent
// use.
type Sharing struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// CustomerName returns the name of a customer, false if it is unknown. It may be nil.
	CustomerName func(customer uint32) (shelfshelf.CustomerName, bool)

	mu     sync.Mutex
	queues map[shelfshelf.PoolName]*queueUse
	// heldBack counts by tier the requests that were passed over for fairness.
	heldBack map[shelfshelf.Tier]uint64
	// loggedAt is when a customer was last named in a log line.
	loggedAt map[uint32]time.Time
}

// queueUse is what customers and kinds have got of one shared queue. It is protected by Sharing.mu.
type queueUse struct {
	usage fairshare.Usage
	kinds fairshare.Kinds
	// served counts for each customer the requests that left the queue.
	served map[uint32]*decay.Share
}

// CustomerUse is what a customer has got of a shared queue in the last seconds.
type CustomerUse struct {
	Pool     shelfshelf.PoolName
	Customer uint32
	// SlotTime is its decayed slot time, and ServedShare the share of its requests that got a slot here or elsewhere.
	SlotTime    time.Duration
	ServedShare float64
}

// AddRules adds the rules of a new shared queue to those that other parts have set. What an earlier queue of the pool
// has counted is dropped.
func (s *Sharing) AddRules(pool shelfshelf.PoolName, rules QueueRules) QueueRules {
	q := &queueUse{served: make(map[uint32]*decay.Share)}
	s.mu.Lock()
	if s.queues == nil {
		s.queues = make(map[shelfshelf.PoolName]*queueUse)
	}
	s.queues[pool] = q
	s.mu.Unlock()
	others := rules
	rules.Level = func(req shelfshelf.SlotRequest, now time.Time) float64 { return s.level(q, req, now) }
	rules.Precedes = func(lower, higher shelfshelf.Tier, now time.Time) bool { return s.precedes(q, lower, higher, now) }
	rules.HeldBack = func(req, by shelfshelf.SlotRequest, now time.Time) { s.requestHeldBack(pool, q, req, by, now) }
	rules.Granted = func(req shelfshelf.SlotRequest, now time.Time) {
		s.granted(q, req, now)
		if others.Granted != nil {
			others.Granted(req, now)
		}
	}
	rules.Left = func(req shelfshelf.SlotRequest, served bool, now time.Time) {
		s.left(q, req, served, now)
		if others.Left != nil {
			others.Left(req, served, now)
		}
	}
	rules.Released = func(req shelfshelf.SlotRequest, held time.Duration, now time.Time) {
		s.released(q, req, held, now)
		if others.Released != nil {
			others.Released(req, held, now)
		}
	}
	return rules
}

// claimOf returns for whom a request uses slot time.
func claimOf(req shelfshelf.SlotRequest) fairshare.Claim {
	return fairshare.Claim{Customer: req.Customer, Weight: req.Weight}
}

// chargedTime is the slot time charged when a request is granted a slot.
func chargedTime(req shelfshelf.SlotRequest) time.Duration {
	return min(max(req.HoldTime, 0), maxChargedTime)
}

// level returns how much the customer of a request has used for its weight.
func (s *Sharing) level(q *queueUse, req shelfshelf.SlotRequest, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.usage.Level(claimOf(req), now)
}

// precedes reports whether a lower tier goes ahead of a higher one.
func (s *Sharing) precedes(q *queueUse, lower, higher shelfshelf.Tier, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.kinds.Precedes(lower, higher, now)
}

// granted charges a slot to the customer of a request.
func (s *Sharing) granted(q *queueUse, req shelfshelf.SlotRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.usage.Add(claimOf(req), chargedTime(req), now)
	q.ended(req, true, now)
}

// left counts a request that left the queue without a slot of it.
func (s *Sharing) left(q *queueUse, req shelfshelf.SlotRequest, served bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.ended(req, served, now)
}

// ended counts the outcome of a request. One that a target has already worked on goes first and says nothing about
// its kind.
func (q *queueUse) ended(req shelfshelf.SlotRequest, served bool, now time.Time) {
	if req.Started {
		return
	}
	q.kinds.Ended(req.Tier, chargedTime(req), served, now)
	share := q.served[req.Customer]
	if share == nil {
		q.dropUnknown(now)
		share = &decay.Share{}
		q.served[req.Customer] = share
	}
	share.Decay(now, fairshare.HalfLife)
	share.Note(served)
}

// dropUnknown drops the counts of customers whose use is no longer known if there are too many.
func (q *queueUse) dropUnknown(now time.Time) {
	if len(q.served) < 2*fairshare.MaxCustomers {
		return
	}
	for customer := range q.served {
		if _, known := q.usage.Used(customer, now); !known {
			delete(q.served, customer)
		}
	}
}

// released replaces what was charged for a slot by the time for which it was held. The request of a slot that was
// granted by another owner is unknown; it was not charged here.
func (s *Sharing) released(q *queueUse, req shelfshelf.SlotRequest, held time.Duration, now time.Time) {
	if req.Target == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	charged := chargedTime(req)
	if charged == 0 {
		q.usage.Add(claimOf(req), held, now)
		return
	}
	q.usage.Correct(req.Customer, held-charged, now.Add(-held))
}

// requestHeldBack counts a request that would have been granted the slot that another one got, but for what its
// customer has used or how often its kind was served.
func (s *Sharing) requestHeldBack(pool shelfshelf.PoolName, q *queueUse, req, by shelfshelf.SlotRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldBack == nil {
		s.heldBack = make(map[shelfshelf.Tier]uint64)
	}
	s.heldBack[req.Tier]++
	if req.Tier != by.Tier || req.Customer == by.Customer || !s.mayLog(req.Customer, now) {
		return
	}
	used, _ := q.usage.Used(req.Customer, now)
	usedBy, _ := q.usage.Used(by.Customer, now)
	s.Log.Info("A customer is held back for its use.", "customer", s.nameOf(req.Customer), "pool", pool, "tier", req.Tier,
		"slotTime", used.Round(time.Millisecond), "weight", req.Weight, "behind", s.nameOf(by.Customer),
		"slotTimeBehind", usedBy.Round(time.Millisecond), "weightBehind", by.Weight)
}

// mayLog reports whether a customer may be named in a log line now, and records that it is. The caller must hold s.mu.
func (s *Sharing) mayLog(customer uint32, now time.Time) bool {
	if at, logged := s.loggedAt[customer]; logged && now.Sub(at) < heldBackLogInterval {
		return false
	}
	if s.loggedAt == nil {
		s.loggedAt = make(map[uint32]time.Time)
	}
	for other, at := range s.loggedAt {
		if len(s.loggedAt) >= loggedCustomers && now.Sub(at) >= heldBackLogInterval {
			delete(s.loggedAt, other)
		}
	}
	if len(s.loggedAt) >= loggedCustomers {
		return false
	}
	s.loggedAt[customer] = now
	return true
}

// nameOf returns the name of a customer for a log line, or its key.
func (s *Sharing) nameOf(customer uint32) any {
	if s.CustomerName != nil {
		if name, known := s.CustomerName(customer); known {
			return name
		}
	}
	return customer
}

// HeldBack returns by tier how many requests were passed over for fairness.
func (s *Sharing) HeldBack() map[shelfshelf.Tier]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[shelfshelf.Tier]uint64, len(s.heldBack))
	for tier, count := range s.heldBack {
		counts[tier] = count
	}
	return counts
}

// Customers returns how many customers are counted in all queues.
func (s *Sharing) Customers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, q := range s.queues {
		count += max(q.usage.Len(), len(q.served))
	}
	return count
}

// LargestUses returns the given number of customers that have used the most slot time in the last seconds.
func (s *Sharing) LargestUses(count int) []CustomerUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var uses []CustomerUse
	for pool, q := range s.queues {
		for customer, share := range q.served {
			share.Decay(now, fairshare.HalfLife)
			slotTime, known := q.usage.Used(customer, now)
			if !known || share.Offered < minOffered {
				continue
			}
			uses = append(uses, CustomerUse{Pool: pool, Customer: customer, SlotTime: slotTime, ServedShare: share.Served / share.Offered})
		}
	}
	slices.SortFunc(uses, func(a, b CustomerUse) int {
		return cmp.Or(cmp.Compare(b.SlotTime, a.SlotTime), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Customer, b.Customer))
	})
	return uses[:min(count, len(uses))]
}

// reportHeldBack calls HeldBack if another request than the chosen one would be granted without Level and Precedes.
func (o queueOrder) reportHeldBack(queue []queuedRequest, chosen int, fairness *lengthFairness, fits func(queuedRequest) bool) {
	if o.rules.HeldBack == nil || len(queue) == 1 {
		return
	}
	unshared := o
	unshared.rules.Level, unshared.rules.Precedes = nil, nil
	other := unshared.next(queue, fairness, fits)
	if other < 0 || other == chosen {
		return
	}
	req, by := queue[other].request, queue[chosen].request
	if req.Customer != by.Customer || req.Tier != by.Tier {
		o.rules.HeldBack(req, by, o.now)
	}
}
