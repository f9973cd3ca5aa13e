package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/load"
	"github.com/shelfshelf/shelfshelf/prompt"
	"github.com/shelfshelf/shelfshelf/schedule"
)

const (
	// toOwner is the way of an ask or a grant between instances, toTarget that of
	// a request to its target and of its end back.
	toOwner  = time.Millisecond
	toTarget = time.Millisecond
	// tick is how often policies decide when nothing happens.
	tick = 10 * time.Millisecond
	// afterwards bounds the time after the last arrival.
	afterwards = 200 * time.Second
	entries    = 6
)

// Run is one run of one policy.
type Run struct {
	Bundle *shelfshelf.Bundle
	Items  []load.Item
	Length time.Duration
	Seed   uint64
	Faults Faults
	Policy schedule.PolicyEntry
	Tuning schedule.Tuning
}

// request is one item on its way.
type request struct {
	id     shelfshelf.RequestID
	item   *load.Item
	route  *shelfshelf.Route
	ask    shelfshelf.Ask
	blocks []shelfshelf.BlockHash
	entry  int
	// target is where it was dispatched last; empty before.
	target     shelfshelf.TargetName
	dispatched bool
	granted    time.Time
	firstToken time.Time
	computed   int
	wasted     int
	ended      bool
}

// event is something that happens at an instant.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is called by the heap.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop is called by the heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim is a run under way.
type sim struct {
	run      *Run
	now      time.Time
	start    time.Time
	queue    eventQueue
	order    uint64
	random   *rand.Rand
	pools    map[shelfshelf.PoolName]*simPool
	targets  map[shelfshelf.TargetName]*simTarget
	requests map[shelfshelf.RequestID]*request
	open     int
	result   *Result
	// hop is the way to the owner; none for policies without one.
	hop time.Duration
}

// Do runs the policy and returns what came of it.
func (r *Run) Do() *Result {
	s := &sim{
		run:      r,
		start:    time.Unix(0, 0),
		now:      time.Unix(0, 0),
		random:   rand.New(rand.NewPCG(r.Seed, 7)),
		pools:    make(map[shelfshelf.PoolName]*simPool),
		targets:  make(map[shelfshelf.TargetName]*simTarget),
		requests: make(map[shelfshelf.RequestID]*request),
		result: &Result{
			Policy:      r.Policy.Name,
			Tiers:       make(map[string]TierResult),
			LongestWait: make(map[string]time.Duration),
		},
	}
	if r.Policy.Central {
		s.hop = toOwner
	}
	s.build()
	s.arrive()
	s.injectFaults()
	s.sample()
	s.loop()
	return s.result
}

func (s *sim) at(when time.Time, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: when, order: s.order, run: run})
}

func (s *sim) after(wait time.Duration, run func()) {
	s.at(s.now.Add(wait), run)
}

// loop runs events until every request has ended.
func (s *sim) loop() {
	end := s.start.Add(s.run.Length + afterwards)
	for len(s.queue) > 0 && s.open > 0 {
		next := heap.Pop(&s.queue).(event)
		if next.at.After(end) {
			break
		}
		s.now = next.at
		next.run()
	}
	for _, id := range s.sortedIDs() {
		if request := s.requests[id]; !request.ended {
			s.finish(request, classLate)
		}
	}
}

func (s *sim) sortedIDs() []shelfshelf.RequestID {
	ids := make([]shelfshelf.RequestID, 0, len(s.requests))
	for id := range s.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *sim) build() {
	for _, spec := range s.run.Bundle.Pools {
		pool := &simPool{sim: s, name: spec.Name, targets: s.run.Bundle.PoolTargets(spec.Name)}
		s.pools[spec.Name] = pool
		for _, target := range pool.targets {
			s.targets[target.Name] = newSimTarget(s, target)
		}
		pool.reset()
		s.after(tick, pool.tick)
	}
	for index, target := range s.run.Bundle.Targets {
		// Reports are spread over the period.
		first := reportPeriod * time.Duration(index) / time.Duration(len(s.run.Bundle.Targets))
		s.after(first, s.targets[target.Name].report)
	}
}

// arrive plans the arrival of every item.
func (s *sim) arrive() {
	for index := range s.run.Items {
		item := &s.run.Items[index]
		route, ok := s.run.Bundle.Route(item.Route)
		if !ok {
			continue
		}
		r := &request{item: item, route: &route, id: requestID(index), entry: s.random.IntN(entries)}
		r.blocks = item.Blocks()
		s.requests[r.id] = r
		s.open++
		s.at(s.start.Add(item.At), func() { s.arrived(r) })
	}
}

func requestID(index int) shelfshelf.RequestID {
	const digits = "0123456789abcdef"
	id := make([]byte, 8)
	for i := len(id) - 1; i >= 0; i-- {
		id[i] = digits[index&0xf]
		index >>= 4
	}
	return shelfshelf.RequestID(id)
}

func (s *sim) arrived(r *request) {
	tier := s.tierName(r.route.Tier)
	counts := s.result.Tiers[tier]
	counts.Offered++
	s.result.Tiers[tier] = counts
	r.ask = shelfshelf.Ask{
		ID:           r.id,
		Customer:     r.item.Customer,
		Route:        r.route.Name,
		Pool:         r.route.Pool,
		Tier:         r.route.Tier,
		Weight:       1,
		PromptTokens: r.item.PromptTokens(),
		OutputTokens: r.item.OutputTokens,
		Prefix:       prompt.Marks(r.blocks),
		Arrived:      s.now,
		Deadline:     s.now.Add(r.route.Deadline),
	}
	if r.route.FirstTokenGoal > 0 {
		r.ask.FirstTokenBy = s.now.Add(r.route.FirstTokenGoal)
	}
	s.ask(r)
}

func (s *sim) ask(r *request) {
	s.after(s.hop, func() { s.pools[r.route.Pool].ask(r) })
}

func (s *sim) tierName(tier shelfshelf.Tier) string {
	return s.run.Bundle.Tiers[tier].Name
}

// class is how a request ended.
type class uint8

const (
	classGood class = iota
	classLate
	classShed
	classRefused
	classUnknown
)

// finish counts the end of a request.
func (s *sim) finish(r *request, how class) {
	if r.ended {
		return
	}
	r.ended = true
	s.open--
	name := s.tierName(r.route.Tier)
	counts := s.result.Tiers[name]
	switch how {
	case classGood:
		counts.Goodput++
	case classLate:
		counts.Late++
	case classShed:
		counts.Shed++
	case classRefused:
		counts.Refused++
	case classUnknown:
		counts.Unknown++
	}
	s.result.Tiers[name] = counts
	s.result.Prefill += r.computed
	s.result.Repeated += r.wasted
	if how == classGood {
		s.result.WastedPrefill += r.wasted
		return
	}
	s.result.WastedPrefill += r.computed
}

// sample notes the lines once a second.
func (s *sim) sample() {
	counts := make(map[shelfshelf.Tier]int)
	for _, spec := range s.run.Bundle.Pools {
		for tier, count := range s.pools[spec.Name].policy.Waiting() {
			counts[tier] += count
		}
	}
	s.result.Waiting = append(s.result.Waiting, counts)
	s.after(time.Second, s.sample)
}
