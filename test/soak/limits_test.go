package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// limitWindow is the span in which requests to a target with a limit are counted, of which
	// limitFactor times what it allows and limitSlack more may come, from limitContact after it
	// first named the limit.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitContact = 3 * time.Second
)

// limits are the requests a second that one target of each pool names, all the while.
type limits struct {
	named    time.Time
	byTarget map[*target]float64
}

// nameLimits has the first target of each pool name a limit of the seed's.
func (s *stage) nameLimits(seed uint64) *limits {
	random := rand.New(rand.NewPCG(seed, 1))
	choices := []float64{0.3, 1.5, 6}
	l := &limits{named: time.Now(), byTarget: make(map[*target]float64)}
	for _, first := range []int{0, engineCount} {
		limit := choices[random.IntN(len(choices))]
		l.byTarget[s.targets[first]] = limit
		s.targets[first].server.SetLimit(fmt.Sprint(limit))
	}
	return l
}

// check checks that no target got more than its limit allows in any window, whatever became of
// the processes: they are killed, paused, stopped and cut from targets and the store meanwhile.
func (l *limits) check(t *testing.T) {
	t.Helper()
	for target, limit := range l.byTarget {
		runs := target.server.Runs()
		slices.SortFunc(runs, func(a, b fake.Run) int { return a.At.Compare(b.At) })
		allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
		worst, at := 0, time.Duration(0)
		for i, first := range runs {
			count := 0
			for _, run := range runs[i:] {
				if run.At.Sub(first.At) < limitWindow {
					count++
				}
			}
			if count > worst && first.At.Sub(l.named) >= limitContact {
				worst, at = count, first.At.Sub(l.named)
			}
		}
		t.Logf("%s named a limit of %v a second and got at most %d in %v, %d in all", target.name, limit, worst, limitWindow, len(runs))
		if float64(worst) > allowed {
			t.Errorf("%s named a limit of %v a second and got %d in %v from %v on; allowed %v", target.name, limit, worst, limitWindow, at, allowed)
		}
	}
}

// Limits hold under the faults of a soak, and all else that it checks holds beside limits.
func TestSoakWithLimits(t *testing.T) {
	playSeeds(t, build(t), withLimits)
}
