package rollout

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

var (
	simSeeds = flag.Int("rollouts", 2, "simulated roll-outs of each kind")
	simFirst = flag.Uint64("first", 1, "seed of the first one")
)

// outcome sums up roll-outs of one kind.
type outcome struct {
	runs, wrong, unfound, missed, completed, undecided, over, late, duties int
	exposure                                                               float64
	notes                                                                  []string
}

func (o *outcome) add(w *world, seed uint64) {
	o.runs++
	note := func(what string) {
		o.notes = append(o.notes, fmt.Sprintf("seed %d: %s: %v, %d of %d exposed, %s", seed, what, w.state, w.exposed, w.all, w.why))
	}
	telling := tellingAnswers
	if w.slower > 0 {
		telling = slowAnswers
	}
	rolledBack := w.state == shelfshelf.RolloutRolledBack
	if !w.bad && rolledBack {
		o.wrong++
		note("a good version was rolled back")
	}
	if w.bad && !rolledBack {
		o.unfound++
		if w.state == shelfshelf.RolloutCompleted {
			o.completed++
		}
		if w.shown >= telling {
			o.missed++
			note("a bad version was not found")
		}
	}
	if !w.state.Over() {
		o.undecided++
	}
	if w.bad && float64(w.exposed) > share*float64(w.all)+slack {
		o.over++
		note("over its exposure")
	}
	if w.bad && !w.fiftieth.IsZero() && w.last.Sub(w.fiftieth) > rollback {
		o.late++
		note("used for too long")
	}
	want := w.state == shelfshelf.RolloutCompleted
	if w.bad {
		want = rolledBack
	}
	if want && w.ended.Sub(w.began) <= w.period {
		o.duties++
	}
	o.exposure = max(o.exposure, (float64(w.exposed)-slack)/float64(w.all))
}

// The table of wrong verdicts, exposure and duties, over all kinds, sizes and periods: no bad
// version beyond its exposure or used for too long, no good one rolled back, and bad ones
// found whose faults trials can show. With more seeds: -rollouts 1000.
func TestSimulatedRollouts(t *testing.T) {
	t.Parallel()
	periods := []time.Duration{12 * time.Second, 20 * time.Second, 40 * time.Second}
	var mu sync.Mutex
	lines := []string{"| instances | period | version | roll-outs | good rolled back | bad not found | of these shown | of these completed | undecided | over exposure | used too long | duties met | most exposure |"}
	t.Cleanup(func() { t.Log(strings.Join(lines, "\n")) })
	for _, deployment := range sizes {
		for _, period := range periods {
			if deployment.instances > sizes[1].instances && period != periods[0] {
				continue
			}
			for _, f := range faults {
				t.Run(fmt.Sprintf("%s at %d instances in %v", f.name, deployment.instances, period), func(t *testing.T) {
					t.Parallel()
					sum := &outcome{}
					for seed := *simFirst; seed < *simFirst+uint64(*simSeeds); seed++ {
						w := newWorld(deployment, f, period, seed)
						w.play()
						sum.add(w, seed)
					}
					sum.check(t)
					mu.Lock()
					defer mu.Unlock()
					lines = append(lines, fmt.Sprintf("| %d | %v | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %.3f |", deployment.instances, period, f.name,
						sum.runs, sum.wrong, sum.unfound, sum.missed, sum.completed, sum.undecided, sum.over, sum.late, sum.duties, sum.exposure))
				})
			}
		}
	}
}

func (o *outcome) check(t *testing.T) {
	bad := o.over + o.late
	if o.wrong > o.runs/1000 {
		bad += o.wrong
	}
	if o.missed > o.runs/100 {
		bad += o.missed
	}
	if bad > 0 {
		t.Errorf("%.2000s", strings.Join(o.notes, "\n  "))
	}
}

// Found while they were written; see KNOWN-RED.txt. With 18 targets and 1,400 requests in the
// period there are 70 trials: a version three times slower is given up after its fiftieth bad
// answer and the time to roll back, one that fails 0.3 may be undecided 8 s after its
// deadline, and of two pools with 15% of targets failing by themselves the new one may have
// five times the other's failures.
func TestSimulatedRolloutsOfSmallPools(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault int
		seeds []uint64
	}{{7, []uint64{5, 7, 10}}, {2, []uint64{3}}, {5, []uint64{7}}} {
		sum := &outcome{}
		for _, seed := range c.seeds {
			w := newWorld(sizes[0], faults[c.fault], 12*time.Second, seed)
			w.play()
			sum.add(w, seed)
		}
		sum.check(t)
	}
}

// Roll-outs of small pools that once went wrong: good versions were rolled back for some slow or
// failing targets, and bad ones were used for too long, undecided or completed.
func TestSimulatedRolloutsThatWentWrong(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault  string
		period time.Duration
		seeds  []uint64
	}{
		{"good", 20 * time.Second, []uint64{1021, 4051}},
		{"good", 40 * time.Second, []uint64{1010, 1014, 1037, 4181}},
		{"good, burst", 40 * time.Second, []uint64{1001, 1035}},
		{"good, grey targets of both", 20 * time.Second, []uint64{1008}},
		{"slower 3", 12 * time.Second, []uint64{1015, 4004, 4252}},
		{"slower 3", 20 * time.Second, []uint64{1004, 2004, 4042}},
		{"slower 3", 40 * time.Second, []uint64{2032, 4158, 4193}},
		{"fails 0.1", 20 * time.Second, []uint64{1012, 2007, 4015}},
		{"fails 0.6 under load", 20 * time.Second, []uint64{1004, 1011}},
		{"fails 0.6 under load", 40 * time.Second, []uint64{1005, 1007, 1018}},
	} {
		playSmall(t, c.fault, c.period, c.seeds)
	}
}

// Roll-outs of small pools that still go wrong; see KNOWN-RED.txt.
func TestSimulatedRolloutsThatStillGoWrong(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault  string
		period time.Duration
		seeds  []uint64
	}{
		{"good", 20 * time.Second, []uint64{4113}},
		{"good", 40 * time.Second, []uint64{4113}},
		{"good, grey targets of both", 40 * time.Second, []uint64{100026}},
		{"slower 3", 12 * time.Second, []uint64{100036}},
		{"slower 3", 40 * time.Second, []uint64{6267, 100036}},
		{"fails 0.1", 12 * time.Second, []uint64{7042}},
	} {
		playSmall(t, c.fault, c.period, c.seeds)
	}
}

// playSmall plays roll-outs of a small pool, checks them together and returns how they ended.
func playSmall(t *testing.T, name string, period time.Duration, seeds []uint64) *outcome {
	t.Helper()
	sum := &outcome{}
	for _, seed := range seeds {
		w := newWorld(sizes[0], faultNamed(name), period, seed)
		w.play()
		sum.add(w, seed)
	}
	sum.check(t)
	return sum
}

// A version that turns bad when it is about to take over is never completed: the old targets stop
// then, and all callers would meet it.
func TestLateFaultsAreNeverCompleted(t *testing.T) {
	t.Parallel()
	var seeds []uint64
	for seed := range uint64(20) {
		seeds = append(seeds, seed+1)
	}
	for _, period := range []time.Duration{12 * time.Second, 20 * time.Second, 40 * time.Second} {
		sum := playSmall(t, "fails 0.6 from 0.9", period, seeds)
		if sum.completed > 0 {
			t.Errorf("%d of %d bad versions were completed in %v", sum.completed, sum.runs, period)
		}
	}
}

// faultNamed returns a fault of the table.
func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault is called " + name)
}
