package places_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/places"
)

const (
	// lineTime is how long a request stands in lines.
	lineTime = 176 * time.Millisecond
	// linesAtMost is how many engines it asks.
	linesAtMost = 4
	// crowdSlots is how many places an engine has.
	crowdSlots = 10
)

// overload is more requests of one tier than engines can serve, in simulated time.
type overload struct {
	clock  *clockwork.FakeClock
	began  time.Time
	random *rand.Rand
	book   *places.Book
	// slowness is how much longer each engine takes.
	slowness []float64
	events   timeline
	planned  int
	requests map[shelfshelf.PlaceID]*request
	last     shelfshelf.PlaceID
}

// request is one that asks engines for a place.
type request struct {
	stay   time.Duration
	asked  map[shelfshelf.PlaceID]int
	served bool
}

func newOverload(seed uint64) *overload {
	r := &overload{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1)),
		slowness: []float64{1, 1, 1, 1, 4, 4}, requests: make(map[shelfshelf.PlaceID]*request),
	}
	r.began = r.clock.Now()
	r.book = &places.Book{
		Clock: r.clock,
		Capacity: func(target shelfshelf.TargetKey) (places.Capacity, bool) {
			return places.Capacity{Slots: crowdSlots}, int(target) < len(r.slowness)
		},
		Grant: func(_ places.Holder, id shelfshelf.PlaceID, _ int) { r.granted(id) },
	}
	return r
}

// play lets so many times what the engines can serve come for a minute, and returns all
// requests.
func (r *overload) play(load float64) []*request {
	capacity := 0.0
	for _, slowness := range r.slowness {
		capacity += crowdSlots / slowness
	}
	// A token takes 4 ms; answers have 200 tokens in the middle and 466 on the mean, as
	// much apart as those of the day's log.
	meanStay := 0.004 * 200 * math.Exp(1.3*1.3/2)
	pause := time.Duration(float64(time.Second) * meanStay / capacity / load)
	var all []*request
	for at := time.Duration(0); at < time.Minute; at += time.Duration(r.random.ExpFloat64() * float64(pause)) {
		tokens := 200 * math.Exp(1.3*r.random.NormFloat64())
		v := &request{stay: time.Duration(tokens * 4 * float64(time.Millisecond)), asked: make(map[shelfshelf.PlaceID]int)}
		all = append(all, v)
		r.at(at, func() { r.arrive(v) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.clock.Advance(r.began.Add(e.at).Sub(r.clock.Now()))
		e.do()
	}
	return all
}

// arrive asks the engines that look best: a long answer rather waits for a fast one.
func (r *overload) arrive(v *request) {
	costs := make([]float64, len(r.slowness))
	order := make([]int, len(r.slowness))
	for i := range order {
		order[i] = i
		costs[i] = 0.2*r.slowness[i]*v.stay.Seconds() + 0.3*r.random.Float64()
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	for _, target := range order[:linesAtMost] {
		r.last++
		v.asked[r.last] = target
		r.requests[r.last] = v
		ask := shelfshelf.PlaceAsk{
			Target: shelfshelf.TargetKey(target), Tier: 1, Wait: lineTime,
			Stay: time.Duration(float64(v.stay) * r.slowness[target]),
		}
		if r.book.Ask(holder(1), r.last, ask).Outcome == shelfshelf.PlaceGranted {
			r.granted(r.last)
			return
		}
	}
	r.after(lineTime, func() { r.leave(v) })
}

// granted runs a request at the engine that gave it a place, unless it has one.
func (r *overload) granted(id shelfshelf.PlaceID) {
	v := r.requests[id]
	if v.served {
		r.after(0, func() { r.book.Release(holder(1), id) })
		return
	}
	v.served = true
	stay := time.Duration(float64(v.stay) * r.slowness[v.asked[id]])
	delete(v.asked, id)
	r.after(0, func() { r.leave(v) })
	r.after(stay, func() { r.book.Release(holder(1), id) })
}

// leave takes a request out of the lines that it still stands in.
func (r *overload) leave(v *request) {
	for _, id := range slices.Sorted(maps.Keys(v.asked)) {
		r.book.Leave(holder(1), id, v.served)
		delete(v.asked, id)
	}
}

func (r *overload) at(at time.Duration, do func()) {
	r.planned++
	heap.Push(&r.events, event{at: at, order: r.planned, do: do})
}

func (r *overload) after(pause time.Duration, do func()) {
	r.at(r.clock.Since(r.began)+pause, do)
}

// event is something that happens at a moment; timeline orders them.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type timeline []event

func (t timeline) Len() int      { return len(t) }
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(e any)   { *t = append(*t, e.(event)) }

func (t timeline) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].order, t[j].order)) < 0
}

func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func servedShare(requests []*request) float64 {
	served := 0
	for _, v := range requests {
		if v.served {
			served++
		}
	}
	return float64(served) / float64(len(requests))
}

// On a day of high load, of the largest tenth of one kind of request 0.23 were served
// where 0.59 of all were. Each engine's line went by the time that a request would keep
// its place, the shortest first, and nothing that waited ever moved up: with more asks
// than places, the longest were passed by everyone until their time in line was over. Of
// the tries by tenth of the expected length, the shortest first, there were served and
// refused with "no target: shed"
//
//	served   355 235 236 193 139 139 128 110  80  86
//	refused  128 240 255 281 315 330 341 358 388 384
//
// while by tenth of the prompt all were served alike (161 to 188), which ruled out limits
// and long prompts; of 5,570 tries, 12 were broken off on their way.
func TestLongRequestsAreServedToo(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{1.1, 1.5, 2, 3} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint("load ", load, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				all := newOverload(seed).play(load)
				slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.stay, b.stay) })
				longest, every := servedShare(all[len(all)*9/10:]), servedShare(all)
				t.Logf("%d requests, %.2f of all served, %.2f of the longest tenth", len(all), every, longest)
				if longest < every/2 {
					t.Error("the longest tenth is served less than half as often as all")
				}
			})
		}
	}
}
