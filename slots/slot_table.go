package slots

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
)

const (
	// warmUpPeriod is how long a new owner of a target also counts the load that other instances
	// report for the target. Holders send the list of their slots once a second, so the owner knows
	// all of them by then.
	warmUpPeriod = 1200 * time.Millisecond
	// holderTimeout is how long a holder may stay silent before its slots count as free; it sends a
	// sync every syncPeriod.
	holderTimeout = 2500 * time.Millisecond
	// syncGrace is the age up to which a slot is kept although its holder's list lacks it: the list
	// may have been sent before the grant arrived.
	syncGrace = 200 * time.Millisecond
)

// Holder identifies one incarnation of an instance that holds or requests slots.
type Holder struct {
	Address     netip.AddrPort
	Incarnation uint64
}

// Capacity is what an owner knows about a target besides its own slot table.
type Capacity struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// Reported is how many requests the target runs according to the loads that instances report to
	// each other, which lag a little.
	Reported int
	// Pool is the pool of an engine that shares its owner's queue with the owner's other engines of the pool. It is
	// empty if the target has its own queue.
	Pool shelfshelf.PoolName
}

// RateLimit limits the rate at which an owner may send requests to a target.
type RateLimit struct {
	// Limited says that there is a limit.
	Limited bool
	// PerSecond is the limit; it is 0 if another instance owns the target.
	PerSecond float64
	// InitialBurst is the initial burst of a new owner. The previous owner may have sent as many just
	// before.
	InitialBurst float64
}

// SlotTable allocates the slots of the targets that this instance owns. Its fields are set before use.
// It is safe for concurrent use.
type SlotTable struct {
	Clock shelfshelf.Clock
	// Capacity returns what is known about a target, or false if the target is unknown here.
	Capacity func(shelfshelf.TargetKey) (Capacity, bool)
	// RateLimit returns the rate limit of this instance for a target; a nil function means that no target
	// is limited.
	RateLimit func(shelfshelf.TargetKey) RateLimit
	// OnBackoff, if set, is called when a holder's report starts a backoff, with t.mu held.
	OnBackoff func(target shelfshelf.TargetKey, reporter Holder, duration time.Duration)
	// SendGrant tells a holder that its queued request was granted. It is called without t.mu held.
	SendGrant func(holder Holder, id shelfshelf.SlotID, target shelfshelf.TargetKey, requests int)
	// NewRules returns the rules of a new shared queue; if it is nil, queues have none.
	NewRules func(pool shelfshelf.PoolName) QueueRules

	mu          sync.Mutex
	targets     map[shelfshelf.TargetKey]*targetState
	queues      map[queueID]*slotQueue
	lastContact map[Holder]time.Time
	// nextOpening is the earliest time at which the gate of a target with queued requests opens, or
	// zero if there is none. openingChanged signals that an earlier one was set.
	nextOpening    time.Time
	openingChanged chan struct{}
	// targetBySlot maps each held slot to its target, and queueBySlot each queued request to its queue.
	targetBySlot map[slotKey]shelfshelf.TargetKey
	queueBySlot  map[slotKey]*slotQueue
	counts       QueueCounts
}

// targetState holds the slots of one target, and refers to its queue. It is protected by SlotTable.mu.
type targetState struct {
	createdAt time.Time
	held      map[slotKey]heldSlot
	queue     *slotQueue
	backoff   backoff
	// gate limits the rate of requests to the target: it is open while another one may be sent. It
	// is nil if the rate is not limited.
	gate *announced.TokenBucket
}

type slotKey struct {
	holder Holder
	id     shelfshelf.SlotID
}

// heldSlot is a slot that is held since a time, with the request that it was granted to. Of a slot that a holder has
// reported, the request is unknown.
type heldSlot struct {
	since   time.Time
	request shelfshelf.SlotRequest
}

// grant is a slot given to a queued request.
type grant struct {
	key      slotKey
	target   shelfshelf.TargetKey
	requests int
}

// Request grants a slot or queues the request. A duplicate of a request takes no second slot; its
// answer says whether the request is granted or queued.
func (t *SlotTable) Request(holder Holder, id shelfshelf.SlotID, req shelfshelf.SlotRequest) shelfshelf.SlotResponse {
	t.mu.Lock()
	now := t.Clock.Now()
	named := t.knownTargets(&req, now)
	if len(named) == 0 {
		t.mu.Unlock()
		return shelfshelf.SlotResponse{ID: id}
	}
	t.recordContact(holder, now)
	key := slotKey{holder: holder, id: id}
	if !t.isDuplicate(key) {
		if left := t.dropBlocked(&req, now); left > 0 {
			requests := len(t.targets[named[0]].held)
			t.mu.Unlock()
			return shelfshelf.SlotResponse{ID: id, Target: named[0], Outcome: shelfshelf.SlotUnavailable, InUse: requests, RetryAfter: left}
		}
		named = req.Names()
		q := t.targets[named[0]].queue
		q.add(key, req, now)
		t.queueBySlot[key] = q
	}
	var grants []grant
	for _, target := range named {
		grants = append(grants, t.grantQueued(target, t.targets[target], now)...)
		if t.queueBySlot[key] == nil {
			break
		}
	}
	answer := t.answerTo(key, named[0], now)
	t.mu.Unlock()
	t.sendGrants(slices.DeleteFunc(grants, func(g grant) bool { return g.key == key }))
	return answer
}

// knownTargets restricts a request to the targets that are known here and share a queue, creates their states and
// returns them in order of preference. The caller must hold t.mu.
func (t *SlotTable) knownTargets(req *shelfshelf.SlotRequest, now time.Time) []shelfshelf.TargetKey {
	var known []shelfshelf.TargetKey
	var queue *slotQueue
	for _, target := range req.Names() {
		capacity, listed := t.Capacity(target)
		if !listed {
			continue
		}
		s := t.stateOf(target, now)
		t.assignQueue(target, s, capacity, now)
		t.updateGate(target, s, now)
		if queue == nil {
			queue = s.queue
		}
		if s.queue == queue {
			known = append(known, target)
		}
	}
	setNames(req, known)
	return known
}

// dropBlocked removes the targets that may get no request now. If none is left, it returns for how long at least;
// otherwise 0. The caller must hold t.mu.
func (t *SlotTable) dropBlocked(req *shelfshelf.SlotRequest, now time.Time) time.Duration {
	var open []shelfshelf.TargetKey
	var shortest time.Duration
	for _, target := range req.Names() {
		left := t.targets[target].blockedFor(now)
		if left <= 0 {
			open = append(open, target)
		} else if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if len(open) == 0 {
		return shortest
	}
	setNames(req, open)
	return 0
}

// setNames replaces the targets that a request names.
func setNames(req *shelfshelf.SlotRequest, targets []shelfshelf.TargetKey) {
	if len(targets) > 0 {
		req.Target, req.Targets = targets[0], targets
	}
}

func (t *SlotTable) isDuplicate(key slotKey) bool {
	_, held := t.targetBySlot[key]
	return held || t.queueBySlot[key] != nil
}

// answerTo returns the answer to a request that is held, queued or expired; first is the first target that it names.
// The caller must hold t.mu.
func (t *SlotTable) answerTo(key slotKey, first shelfshelf.TargetKey, now time.Time) shelfshelf.SlotResponse {
	answer := shelfshelf.SlotResponse{ID: key.id, Target: first, Outcome: shelfshelf.SlotQueued}
	if target, held := t.targetBySlot[key]; held {
		answer.Target, answer.Outcome = target, shelfshelf.SlotGranted
	} else if q := t.queueBySlot[key]; q != nil {
		answer.ExpectedWait, answer.WaitKnown = q.expectedWait(key, now)
	}
	answer.InUse = len(t.targets[answer.Target].held)
	return answer
}

// Withdraw withdraws a queued request; served says whether it got a slot at another target. If it has
// been granted in the meantime, its slot is freed.
func (t *SlotTable) Withdraw(holder Holder, id shelfshelf.SlotID, served bool) {
	t.mu.Lock()
	key := slotKey{holder: holder, id: id}
	now := t.Clock.Now()
	q, req, queued := t.dequeue(key)
	if !queued {
		t.mu.Unlock()
		t.Release(holder, id)
		return
	}
	t.recordContact(holder, now)
	q.left(req, served, now)
	grants := t.grantNamed(req, now)
	t.mu.Unlock()
	t.sendGrants(grants)
}

// grantNamed grants the free slots of all targets that a request names: a backoff may have ended since the last
// event. The caller must hold t.mu.
func (t *SlotTable) grantNamed(req shelfshelf.SlotRequest, now time.Time) []grant {
	var grants []grant
	for _, target := range req.Names() {
		if s := t.targets[target]; s != nil {
			grants = append(grants, t.grantQueued(target, s, now)...)
		}
	}
	return grants
}

// Release frees a slot or withdraws a queued request.
func (t *SlotTable) Release(holder Holder, id shelfshelf.SlotID) {
	t.releaseAndRecord(holder, id, (*backoff).recordAnswer)
}

// ReleaseUnreachable frees a slot whose holder could not reach the target, and starts a backoff for the
// target.
func (t *SlotTable) ReleaseUnreachable(holder Holder, id shelfshelf.SlotID) {
	t.releaseAndRecord(holder, id, (*backoff).recordUnreachable)
}

// releaseAndRecord frees a held slot, or withdraws a queued request. For a held slot it calls
// record with the backoff state of the target.
func (t *SlotTable) releaseAndRecord(holder Holder, id shelfshelf.SlotID, record func(*backoff, slotKey, time.Time)) {
	t.mu.Lock()
	now := t.Clock.Now()
	t.recordContact(holder, now)
	key := slotKey{holder: holder, id: id}
	var grants []grant
	if q, req, queued := t.dequeue(key); queued {
		if q.rules.Left != nil {
			q.rules.Left(req, false, now)
		}
		grants = t.grantNamed(req, now)
	} else if target, held := t.targetBySlot[key]; held {
		s := t.targets[target]
		before := s.backoff.until
		record(&s.backoff, key, now)
		t.reportBackoff(target, s, before)
		t.removeSlot(s, key, now)
		grants = t.grantQueued(target, s, now)
	}
	t.mu.Unlock()
	t.sendGrants(grants)
}

// dequeue removes a request from its queue, if it is queued. The caller must hold t.mu.
func (t *SlotTable) dequeue(key slotKey) (*slotQueue, shelfshelf.SlotRequest, bool) {
	q := t.queueBySlot[key]
	if q == nil {
		return nil, shelfshelf.SlotRequest{}, false
	}
	delete(t.queueBySlot, key)
	req, queued := q.remove(key)
	return q, req, queued
}

// reportBackoff calls OnBackoff if a new backoff has begun. The caller must hold t.mu.
func (t *SlotTable) reportBackoff(target shelfshelf.TargetKey, s *targetState, before time.Time) {
	if t.OnBackoff != nil && s.backoff.until.After(before) {
		t.OnBackoff(target, s.backoff.reporter, s.backoff.duration)
	}
}

// removeSlot deletes a held slot. The caller must hold t.mu.
func (t *SlotTable) removeSlot(s *targetState, key slotKey, now time.Time) {
	slot := s.held[key]
	delete(s.held, key)
	delete(t.targetBySlot, key)
	s.queue.free(1, now)
	if s.queue.rules.Released != nil {
		s.queue.rules.Released(slot.request, now.Sub(slot.since), now)
	}
}

// Sync reconciles the slot table with a holder's full list of the slots that it holds at targets
// which it believes this instance owns. Slots missing in the list are freed, and slots missing in
// the table are added.
func (t *SlotTable) Sync(holder Holder, held map[shelfshelf.SlotID]shelfshelf.TargetKey) {
	t.mu.Lock()
	now := t.Clock.Now()
	t.recordContact(holder, now)
	var grants []grant
	for id, target := range held {
		t.addListed(slotKey{holder: holder, id: id}, target, now)
	}
	for target, s := range t.targets {
		for key, slot := range s.held {
			listedAt, listed := held[key.id]
			if key.holder == holder && (!listed || listedAt != target) && now.Sub(slot.since) > syncGrace {
				t.removeSlot(s, key, now)
			}
		}
		grants = append(grants, t.grantQueued(target, s, now)...)
	}
	t.mu.Unlock()
	t.sendGrants(grants)
}

// addListed adds a slot that its holder lists, if the table lacks it. The caller must hold t.mu.
func (t *SlotTable) addListed(key slotKey, target shelfshelf.TargetKey, now time.Time) {
	if q, req, queued := t.dequeue(key); queued && q.rules.Left != nil {
		q.rules.Left(req, true, now)
	}
	if _, known := t.targetBySlot[key]; known {
		return
	}
	s := t.stateOf(target, now)
	s.held[key] = heldSlot{since: now}
	t.targetBySlot[key] = target
	s.queue.adopt(1, now)
}

// Sweep frees the slots of holders that have been silent for longer than holderTimeout, and removes
// idle targets.
func (t *SlotTable) Sweep(self Holder) {
	t.mu.Lock()
	now := t.Clock.Now()
	t.recordContact(self, now)
	var grants []grant
	for target, s := range t.targets {
		for key := range s.held {
			if now.Sub(t.lastContact[key.holder]) > holderTimeout {
				t.removeSlot(s, key, now)
			}
		}
		grants = append(grants, t.grantQueued(target, s, now)...)
		t.updateGate(target, s, now)
		if s.gate == nil && len(s.held) == 0 && len(s.queue.requests) == 0 && now.Sub(s.createdAt) > warmUpPeriod && now.After(s.backoff.until.Add(maxBackoff)) {
			delete(t.targets, target)
		}
	}
	t.removeUnusedQueues()
	for holder, at := range t.lastContact {
		if now.Sub(at) > holderTimeout {
			delete(t.lastContact, holder)
		}
	}
	t.mu.Unlock()
	t.sendGrants(grants)
}

// Held returns how many slots of a target are taken.
func (t *SlotTable) Held(target shelfshelf.TargetKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil {
		return len(s.held)
	}
	return 0
}

func (t *SlotTable) sendGrants(grants []grant) {
	for _, g := range grants {
		t.SendGrant(g.key.holder, g.key.id, g.target, g.requests)
	}
}

// recordContact stores when a holder was last heard from. The caller must hold t.mu.
func (t *SlotTable) recordContact(holder Holder, now time.Time) {
	if t.lastContact == nil {
		t.lastContact = make(map[Holder]time.Time)
	}
	t.lastContact[holder] = now
}

// stateOf returns the state of a target and creates it if necessary. The caller must hold t.mu.
func (t *SlotTable) stateOf(target shelfshelf.TargetKey, now time.Time) *targetState {
	if t.targets == nil {
		t.targets = make(map[shelfshelf.TargetKey]*targetState)
		t.queues = make(map[queueID]*slotQueue)
		t.targetBySlot = make(map[slotKey]shelfshelf.TargetKey)
		t.queueBySlot = make(map[slotKey]*slotQueue)
	}
	s := t.targets[target]
	if s == nil {
		s = &targetState{createdAt: now, held: make(map[slotKey]heldSlot)}
		capacity, _ := t.Capacity(target)
		s.queue = t.queueOf(target, capacity)
		t.targets[target] = s
	}
	return s
}

// queueOf returns the queue of a target, which it creates if necessary. The caller must hold t.mu.
func (t *SlotTable) queueOf(target shelfshelf.TargetKey, capacity Capacity) *slotQueue {
	id := queueID{pool: capacity.Pool}
	if capacity.Pool == "" {
		id.target = target
	}
	q := t.queues[id]
	if q == nil {
		q = &slotQueue{id: id}
		if q.shared() && t.NewRules != nil {
			q.rules = t.NewRules(capacity.Pool)
		}
		t.queues[id] = q
	}
	return q
}

// assignQueue moves a target to its other queue if it has begun or ceased to share one: at once to its own, in which
// alone its limits count, and to the shared one as soon as no request waits in its own. The caller must hold t.mu.
func (t *SlotTable) assignQueue(target shelfshelf.TargetKey, s *targetState, capacity Capacity, now time.Time) {
	if wanted := t.queueOf(target, capacity); wanted != s.queue && (!wanted.shared() || !s.queue.namesAny(target)) {
		s.queue.free(len(s.held), now)
		s.queue = wanted
		s.queue.adopt(len(s.held), now)
	}
}

// removeUnusedQueues removes the queues of which no target is left. The caller must hold t.mu.
func (t *SlotTable) removeUnusedQueues() {
	used := make(map[queueID]bool, len(t.queues))
	for _, s := range t.targets {
		used[s.queue.id] = true
	}
	for id, q := range t.queues {
		if !used[id] && len(q.requests) == 0 {
			delete(t.queues, id)
		}
	}
}

// grantQueued grants the free slots of a target to queued requests that name it, and returns the grants, which the
// caller sends after it has released t.mu. The caller must hold t.mu.
func (t *SlotTable) grantQueued(target shelfshelf.TargetKey, s *targetState, now time.Time) []grant {
	t.dropExpired(s.queue, now)
	if len(s.queue.requests) == 0 {
		return nil
	}
	capacity, known := t.Capacity(target)
	if known {
		t.assignQueue(target, s, capacity, now)
	}
	t.updateGate(target, s, now)
	var grants []grant
	for len(s.queue.requests) > 0 {
		if !known || s.blockedFor(now) > 0 {
			t.scheduleOpening(s, now)
			return grants
		}
		at := t.nextFor(target, s, capacity, now)
		if at < 0 {
			return grants
		}
		q := s.queue.grant(at, now)
		delete(t.queueBySlot, q.key)
		s.held[q.key] = heldSlot{since: now, request: q.request}
		t.targetBySlot[q.key] = target
		s.backoff.admit(q.key, now)
		if s.gate != nil {
			s.gate.Take()
		}
		grants = append(grants, grant{key: q.key, target: target, requests: len(s.held)})
	}
	return grants
}

// nextFor returns the index of the queued request that gets the next free slot of a target, or -1 if there is none.
// The caller must hold t.mu.
func (t *SlotTable) nextFor(target shelfshelf.TargetKey, s *targetState, capacity Capacity, now time.Time) int {
	q := s.queue
	free := s.freeSlots(capacity, now)
	if free <= 0 {
		return -1
	}
	if !q.shared() {
		at := q.order(now).next(q.requests, &q.fairness, func(queuedRequest) bool { return true })
		if free <= shelfshelf.ReservedSlots(capacity.Slots, q.requests[at].request.Tier, q.requests[at].request.Started) {
			return -1
		}
		return at
	}
	reserved := t.reservation(q, capacity, now)
	fits := func(queued queuedRequest) bool {
		return queued.names(target) && reserved.allows(queued.request, free)
	}
	order := q.order(now)
	at := order.next(q.requests, &q.fairness, fits)
	if at >= 0 {
		t.count(q, at, fits, order)
	}
	return at
}

// blockedFor returns how long the target may not get another request because of a backoff or its
// rate limit; 0 if it may get one now.
func (s *targetState) blockedFor(now time.Time) time.Duration {
	left := s.backoff.remaining(now)
	if s.gate != nil {
		left = max(left, s.gate.Wait(now))
	}
	return left
}

// dropExpired removes requests that have reached their deadline in the queue. The caller must hold
// t.mu.
func (t *SlotTable) dropExpired(q *slotQueue, now time.Time) {
	q.requests = slices.DeleteFunc(q.requests, func(queued queuedRequest) bool {
		over := now.After(queued.deadline)
		if over {
			delete(t.queueBySlot, queued.key)
			q.left(queued.request, false, now)
		}
		return over
	})
}

// freeSlots returns how many slots of a target are free, reserved ones included.
func (s *targetState) freeSlots(capacity Capacity, now time.Time) int {
	taken := len(s.held)
	if now.Sub(s.createdAt) < warmUpPeriod {
		taken = max(taken, capacity.Reported)
	}
	return capacity.Slots - taken
}
