package balance_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
)

// owners answers asks as the test says.
type owners struct {
	mu      sync.Mutex
	answers map[shelfshelf.TargetKey]shelfshelf.PlaceOutcome
	asked   []shelfshelf.TargetKey
	// stays are what the asks said of how long they keep a place.
	stays   []time.Duration
	waiting map[shelfshelf.TargetKey]func()
	// stray grants another place to the ask that came last.
	stray func(shelfshelf.PlaceID)
	open  map[shelfshelf.PlaceID]bool
	last  shelfshelf.PlaceID
	// rest is how long engines rest whose owners say so.
	rest time.Duration
	// silence is how long an ask takes that nobody answers.
	silence time.Duration
}

func newOwners() *owners {
	return &owners{
		answers: make(map[shelfshelf.TargetKey]shelfshelf.PlaceOutcome),
		waiting: make(map[shelfshelf.TargetKey]func()),
		open:    make(map[shelfshelf.PlaceID]bool),
	}
}

// newOwned returns a balancer whose engines' places owners give out, and those owners.
func newOwned(slots int, centres ...shelfshelf.DataCentre) (*balance.Balancer, *owners) {
	b := newBalancer(slots, centres...)
	o := newOwners()
	b.Places = o
	return b, o
}

func (o *owners) Ask(_ context.Context, ask shelfshelf.PlaceAsk, granted chan<- shelfshelf.PlaceID) shelfshelf.PlaceAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, ask.Target)
	o.stays = append(o.stays, ask.Stay)
	outcome := o.answers[ask.Target]
	if outcome == shelfshelf.PlaceUnknown {
		time.Sleep(o.silence)
		return shelfshelf.PlaceAnswer{}
	}
	o.last++
	id := o.last
	o.open[id] = true
	o.stray = func(other shelfshelf.PlaceID) { granted <- other }
	o.waiting[ask.Target] = func() { granted <- id }
	return shelfshelf.PlaceAnswer{ID: id, Outcome: outcome, Requests: 1, Rest: o.rest}
}

func (o *owners) Took(shelfshelf.TargetKey, shelfshelf.DataCentre) shelfshelf.PlaceID {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last++
	o.open[o.last] = true
	return o.last
}

func (o *owners) Give(id shelfshelf.PlaceID, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, id)
}

func (o *owners) Leave(id shelfshelf.PlaceID, _ bool) {
	o.Give(id, false)
}

// serve gives the ask that waits at an engine its place.
func (o *owners) serve(target shelfshelf.TargetName) {
	o.mu.Lock()
	grant := o.waiting[shelfshelf.KeyOfTarget(target)]
	o.mu.Unlock()
	grant()
}

// serveStray grants the latest ask a place that it did not ask for.
func (o *owners) serveStray(id shelfshelf.PlaceID) {
	o.mu.Lock()
	grant := o.stray
	o.mu.Unlock()
	grant(id)
}

// count returns how many places are held or asked for.
func (o *owners) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

func (o *owners) set(target string, outcome shelfshelf.PlaceOutcome) {
	o.answers[shelfshelf.KeyOfTarget(shelfshelf.TargetName(target))] = outcome
}

// An ask tells how long the request will keep its place, by its prompt and its answer.
func TestAsksTellTheirStay(t *testing.T) {
	b, o := newOwned(4, here)
	o.set("t0", shelfshelf.PlaceGranted)
	for _, sizes := range [][2]int{{100, 10}, {5000, 10}, {100, 1000}} {
		n := need("x", time.Second)
		n.PromptTokens, n.OutputTokens = sizes[0], sizes[1]
		acquire(t, b, n).Cancel()
	}
	if len(o.stays) != 3 || o.stays[0] <= 0 || o.stays[1] <= o.stays[0] || o.stays[2] <= o.stays[1] {
		t.Errorf("%v", o.stays)
	}
}

// A request goes where an owner gives it a place, stands in the lines of the others
// until then, and leaves them.
func TestOwnersDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := newOwned(4, here, here, here)
		for _, target := range []string{"t0", "t1", "t2"} {
			o.set(target, shelfshelf.PlaceWaits)
		}
		time.AfterFunc(50*time.Millisecond, func() { o.serve("t1") })
		began := time.Now()
		lease := acquire(t, b, need("x", time.Second))
		if lease.Target.Name != "t1" || time.Since(began) != 50*time.Millisecond {
			t.Errorf("%s after %v", lease.Target.Name, time.Since(began))
		}
		if o.count() != 1 {
			t.Errorf("%d places and lines are open", o.count())
		}
		lease.Release(balance.Result{})
		if o.count() != 0 {
			t.Error("the place was not given back")
		}
		var refusal *balance.Refusal
		if _, err := b.Acquire(context.Background(), need("y", 100*time.Millisecond)); !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
			t.Errorf("%v", err)
		}
		if o.count() != 0 {
			t.Errorf("%d lines are left", o.count())
		}
	})
}

// Without any owner's word, the instance decides by what it knows, and tells afterwards
// what it took.
func TestWithoutOwners(t *testing.T) {
	b, o := newOwned(2, here)
	for i := range 2 {
		if lease := acquire(t, b, need(fmt.Sprint(i), 0)); !lease.Alone || lease.Asked != 1 {
			t.Errorf("alone %v after %d asks", lease.Alone, lease.Asked)
		}
	}
	if o.count() != 2 || len(o.asked) != 2 {
		t.Errorf("%d places after %d asks", o.count(), len(o.asked))
	}
	if _, err := b.Acquire(context.Background(), need("x", 0)); err == nil {
		t.Error("a third place was found")
	}
}

// A place that is given at an engine that has become unfit is given back.
func TestPlacesAtLeavingEnginesAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := newOwned(4, here)
		o.set("t0", shelfshelf.PlaceWaits)
		time.AfterFunc(10*time.Millisecond, func() {
			pools, targets := engines(4, here)
			targets[0].Leaving = true
			b.SetTargets(pools, targets)
			o.serve("t0")
		})
		if _, err := b.Acquire(context.Background(), need("x", 50*time.Millisecond)); err == nil {
			t.Error("a leaving engine was used")
		}
		if o.count() != 0 {
			t.Errorf("%d places are open", o.count())
		}
	})
}

// When a higher tier is refused, a lower one is not served a larger share, though it
// finds places more easily.
func TestLowerTiersAreNotServedMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := newOwned(4, here)
		served := make(map[shelfshelf.Tier]int)
		const rounds = 4000
		for i := range rounds {
			for tier := range shelfshelf.Tier(3) {
				// Two of five requests of the middle tier find no place; the others always do.
				o.set("t0", shelfshelf.PlaceGranted)
				if tier == 1 && i%5 < 2 {
					o.set("t0", shelfshelf.PlaceWaits)
				}
				n := need(fmt.Sprint(i), 0)
				n.Tier = tier
				if lease, err := b.Acquire(context.Background(), n); err == nil {
					lease.Release(balance.Result{})
					served[tier]++
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if served[0] != rounds {
			t.Errorf("tier 0: %d of %d", served[0], rounds)
		}
		if share := float64(served[2]) / rounds; share < 0.55 || share > 0.68 {
			t.Errorf("tier 1: %d, tier 2: %d of %d", served[1], served[2], rounds)
		}
	})
}

// One request of a higher tier that found no place by chance costs the lower ones
// nothing.
func TestOneRefusalIsNoShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := newOwned(4, here)
		for i := range 400 {
			o.set("t0", shelfshelf.PlaceGranted)
			if i%50 == 0 {
				o.set("t0", shelfshelf.PlaceWaits)
			}
			if lease, err := b.Acquire(context.Background(), need(fmt.Sprint(i), 0)); err == nil {
				lease.Release(balance.Result{})
			}
			o.set("t0", shelfshelf.PlaceGranted)
			low := need(fmt.Sprint("low", i), 0)
			low.Tier = 1
			lease, err := b.Acquire(context.Background(), low)
			if err != nil {
				t.Fatalf("round %d: %v", i, err)
			}
			lease.Release(balance.Result{})
			time.Sleep(150 * time.Millisecond)
		}
	})
}

// A grant of an ask that was given up meanwhile is no place.
func TestGrantsOfAsksGivenUpAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := newOwned(4, here, here)
		o.set("t0", shelfshelf.PlaceWaits)
		o.set("t1", shelfshelf.PlaceWaits)
		time.AfterFunc(10*time.Millisecond, func() { o.serveStray(99) })
		var refusal *balance.Refusal
		if _, err := b.Acquire(context.Background(), need("x", 50*time.Millisecond)); !errors.As(err, &refusal) {
			t.Errorf("%v", err)
		}
	})
}

// Owners that do not answer cost a request no more than the time that it may wait: it
// is refused early, or goes where this instance knows a place.
func TestSilentOwnersHoldNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		centres := []shelfshelf.DataCentre{here, here, here, here, here, here, here, here}
		b := newBalancer(1, centres...)
		for i := range centres {
			acquire(t, b, need(fmt.Sprint("full", i), 0))
		}
		o := newOwners()
		o.silence = 80 * time.Millisecond
		b.Places = o
		began := time.Now()
		if _, err := b.Acquire(context.Background(), need("x", 170*time.Millisecond)); err == nil {
			t.Error("a place was found")
		}
		if took := time.Since(began); took > 250*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	})
}

// A place whose owner answers late is taken when it comes; the other asks are given up.
func TestLatePlacesAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := newOwned(4, here, here)
		o.set("t0", shelfshelf.PlaceUnanswered)
		o.set("t1", shelfshelf.PlaceWaits)
		time.AfterFunc(50*time.Millisecond, func() { o.serve("t0") })
		began := time.Now()
		lease := acquire(t, b, need("x", time.Second))
		if lease.Target.Name != "t0" || time.Since(began) != 50*time.Millisecond {
			t.Errorf("%s after %v", lease.Target.Name, time.Since(began))
		}
		if open := o.count(); open != 1 {
			t.Errorf("%d places are held or asked for", open)
		}
	})
}

// Where no owner has answered, what the instance knows itself decides, and the asks are
// given up.
func TestUnansweredAsksDecideNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := newOwned(4, here, here)
		o.set("t0", shelfshelf.PlaceUnanswered)
		o.set("t1", shelfshelf.PlaceUnanswered)
		lease := acquire(t, b, need("x", time.Second))
		if !lease.Alone || lease.Asked != 2 {
			t.Errorf("alone %v after %d asks", lease.Alone, lease.Asked)
		}
		if open := o.count(); open != 1 {
			t.Errorf("%d places are held or asked for", open)
		}
	})
}

// Engines whose owners say that they rest don't count against the engines that a request
// may ask, and are not asked again until they have rested.
func TestRestingEnginesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const resting = 11
		o := newOwners()
		o.rest = 300 * time.Millisecond
		centres := make([]shelfshelf.DataCentre, resting+1)
		for i := range centres {
			// The one that works looks worse than all others: it is elsewhere.
			centres[i] = here
			o.set(fmt.Sprint("t", i), shelfshelf.PlaceRests)
		}
		centres[resting] = "b"
		o.set(fmt.Sprint("t", resting), shelfshelf.PlaceGranted)
		b := newBalancer(4, centres...)
		b.Places = o
		for i := range 2 {
			lease := acquire(t, b, need(fmt.Sprint(i), time.Second))
			if want := fmt.Sprint("t", resting); string(lease.Target.Name) != want {
				t.Fatalf("got %s, not %s", lease.Target.Name, want)
			}
		}
		if len(o.asked) != resting+2 {
			t.Errorf("%d asks", len(o.asked))
		}
	})
}

// Where every target has failed a request or is leaving, waiting is of no use.
func TestHopelessRequestsDontWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newOwned(4, here, here)
		n := need("r", time.Second)
		n.Avoid = []shelfshelf.TargetName{"t0", "t1"}
		began := time.Now()
		_, err := b.Acquire(t.Context(), n)
		var refusal *balance.Refusal
		if !errors.As(err, &refusal) || time.Since(began) > 0 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}

// fleetOf returns a balancer that knows so many engines whose tokens take 1.4, 4 and 7 ms,
// all full, and their owners.
func fleetOf(count int) (*balance.Balancer, *owners) {
	centres := make([]shelfshelf.DataCentre, count)
	for i := range centres {
		centres[i] = here
	}
	b, o := newOwned(8, centres...)
	steps := []time.Duration{1400 * time.Microsecond, 4 * time.Millisecond, 7 * time.Millisecond}
	for i := range count {
		name := fmt.Sprint("t", i)
		o.set(name, shelfshelf.PlaceWaits)
		b.HeardSpeeds([]shelfshelf.TargetSpeed{{
			Target: shelfshelf.KeyOfTarget(shelfshelf.TargetName(name)), PrefillRate: 50, Step: steps[i%len(steps)],
		}})
	}
	return b, o
}

// Long answers ask as many of the slower engines as short ones do. They asked the fastest
// eight of 160 alone, where all others ask too: on a day of high load 0.29 of the longest
// tenth were served, of all 0.75.
func TestLongAnswersAskAllKindsOfEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(tokens int) float64 {
			b, o := fleetOf(60)
			n := need("r", 50*time.Millisecond)
			n.OutputTokens = tokens
			n.Deadline = time.Now().Add(12 * time.Second)
			_, _ = b.Acquire(t.Context(), n)
			count := 0
			for _, key := range o.asked {
				for i := range 60 {
					if key == shelfshelf.KeyOfTarget(shelfshelf.TargetName(fmt.Sprint("t", i))) && i%3 > 0 {
						count++
					}
				}
			}
			return float64(count) / float64(len(o.asked))
		}
		short, long := slow(50), slow(1000)
		if long < short-0.3 || long == 0 {
			t.Errorf("%.2f of the engines that a long answer asks are slower ones, %.2f of a short one's", long, short)
		}
	})
}

// An answer that would not end in time asks the engines on which it would.
func TestAnswersAskEnginesThatEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, o := fleetOf(60)
		n := need("r", 50*time.Millisecond)
		n.OutputTokens = 3000
		n.Deadline = time.Now().Add(12 * time.Second)
		_, _ = b.Acquire(t.Context(), n)
		for _, key := range o.asked {
			for i := range 60 {
				if key == shelfshelf.KeyOfTarget(shelfshelf.TargetName(fmt.Sprint("t", i))) && i%3 > 0 {
					t.Errorf("asks t%d, where it would take 12 s or more", i)
				}
			}
		}
	})
}
