package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// leavingBound is how long after a process has passed on that a target leaves callers' requests
	// may still come there from it.
	leavingBound = 2 * time.Second
	// restSettles is how long after its answer requests that were on their way may still reach a
	// target that wants rest, and restAllowed how many from one process from then on.
	restSettles = 500 * time.Millisecond
	restAllowed = 2
)

// words are what targets of each pool say: the first that it leaves, the second that it wants rest.
type words struct {
	leaving []*target
	resting []*target
	rest    time.Duration
}

// speak has targets leave and ask for a rest of the seed's from now on.
func (s *stage) speak(seed uint64) *words {
	random := rand.New(rand.NewPCG(seed, 3))
	w := &words{rest: []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[random.IntN(3)]}
	for _, first := range []int{0, engineCount} {
		w.leaving = append(w.leaving, s.targets[first])
		w.resting = append(w.resting, s.targets[first+1])
		s.targets[first].server.SetLeaving(true)
		s.targets[first+1].server.SetRest(0.3, fmt.Sprint(w.rest.Seconds()))
	}
	return w
}

// endRests has no target ask for rest any more.
func (w *words) endRests() {
	for _, t := range w.resting {
		t.server.SetRest(0, "")
	}
}

// check checks that each process kept what targets told it, but where it was ended or stood still,
// or an answer may have been lost, since then.
func (w *words) check(t *testing.T, c *callers) {
	t.Helper()
	calls := make(map[string]call)
	for _, one := range c.calls {
		calls[one.id] = one
	}
	for _, target := range w.leaving {
		w.checkLeft(t, target, calls)
	}
	for _, target := range w.resting {
		w.checkRests(t, target, calls)
	}
}

// checkLeft checks that no request sent later than the bound after a process had passed on a
// target's word reached it from there.
func (w *words) checkLeft(t *testing.T, target *target, calls map[string]call) {
	t.Helper()
	told := make(map[*process][]time.Time)
	for _, one := range calls {
		if one.leaving && strings.HasPrefix(one.signed, target.name+".") {
			told[one.node] = append(told[one.node], one.toldAt)
		}
	}
	arrivals := target.server.Arrivals()
	for _, a := range arrivals {
		one := calls[a.ID]
		for _, at := range told[one.node] {
			if one.sent.Sub(at) > leavingBound && !one.node.stoppedIn(at, a.At) {
				t.Errorf("%s got %s from %s %v after that had passed on that it leaves", target.name, a.ID, one.node.name, a.At.Sub(at))
			}
		}
	}
	t.Logf("%s said to %d processes that it leaves and got %d requests", target.name, len(told), len(arrivals))
}

// checkRests checks that no rest was broken that a target asked a process for.
func (w *words) checkRests(t *testing.T, target *target, calls map[string]call) {
	t.Helper()
	arrivals := target.server.Arrivals()
	asked := 0
	for _, refused := range arrivals {
		node := calls[refused.ID].node
		from, to := refused.Answered.Add(restSettles), refused.Answered.Add(w.rest)
		lost := refused.Rest == "" || refused.Answered.IsZero() || node == nil || node.stoppedIn(refused.At, to) ||
			target.link.touchedIn(refused.At.Add(-longestFault), to)
		if lost {
			continue
		}
		asked++
		broken := slices.DeleteFunc(slices.Clone(arrivals), func(a fake.Arrival) bool {
			return calls[a.ID].node != node || !a.At.After(from) || !a.At.Before(to)
		})
		if len(broken) > restAllowed {
			t.Errorf("%s wanted %v of rest of %s and got %d requests of it", target.name, w.rest, node.name, len(broken))
		}
	}
	t.Logf("%s asked for %d rests of %v that had to be kept", target.name, asked, w.rest)
}

// stoppedIn reports that the process was ended, or stood still, between two instants.
func (p *process) stoppedIn(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return anyIn(p.stopped, from, to)
}

// anyIn reports that one of the instants lies between two.
func anyIn(instants []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(instants, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// What targets say of themselves holds under the faults of a soak, and all else that it checks
// holds beside it.
func TestSoakWithWords(t *testing.T) {
	playSeeds(t, build(t), withWords)
}
