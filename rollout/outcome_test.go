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
	simSeeds = flag.Int("rollouts", 2, "simulated rollouts of each kind")
	simFirst = flag.Uint64("first", 1, "seed of the first simulation")
)

// outcome sums up the results of similar rollouts.
type outcome struct {
	runs, goodRolledBack, badNotFound, badMissed, completed, undecided, overExposed, usedTooLong, onTime int
	exposure                                                                                             float64
	notes                                                                                                []string
}

func (o *outcome) add(sim *simulation, seed uint64) {
	o.runs++
	addNote := func(what string) {
		o.notes = append(o.notes, fmt.Sprintf("seed %d: %s: %v, %d of %d exposed, %s", seed, what, sim.state, sim.exposed, sim.all, sim.why))
	}
	needed := conclusiveAnswers
	if sim.slower > 0 {
		needed = conclusiveSlowAnswers
	}
	rolledBack := sim.state == shelfshelf.RolloutRolledBack
	if !sim.bad && rolledBack {
		o.goodRolledBack++
		addNote("a good version was rolled back")
	}
	if sim.bad && !rolledBack {
		o.badNotFound++
		if sim.state == shelfshelf.RolloutCompleted {
			o.completed++
		}
		if sim.badTrialAnswers >= needed {
			o.badMissed++
			addNote("a bad version was not found")
		}
	}
	if !sim.state.Finished() {
		o.undecided++
	}
	if sim.bad && float64(sim.exposed) > share*float64(sim.all)+slack {
		o.overExposed++
		addNote("over its exposure")
	}
	if sim.bad && !sim.fiftiethBadAt.IsZero() && sim.lastNewRequest.Sub(sim.fiftiethBadAt) > rollback {
		o.usedTooLong++
		addNote("used for too long")
	}
	want := sim.state == shelfshelf.RolloutCompleted
	if sim.bad {
		want = rolledBack
	}
	if want && sim.ended.Sub(sim.began) <= sim.period {
		o.onTime++
	}
	o.exposure = max(o.exposure, (float64(sim.exposed)-slack)/float64(sim.all))
}

// Simulates rollouts of all kinds, deployment sizes and periods, and prints a table of wrong verdicts
// and exposure. No bad version may exceed its exposure or be used for too long, no good version may be
// rolled back, and bad ones have to be found if the trials can show their fault. For more seeds use
// -rollouts 1000.
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
						sim := newSimulation(deployment, f, period, seed)
						sim.play()
						sum.add(sim, seed)
					}
					sum.check(t)
					mu.Lock()
					defer mu.Unlock()
					lines = append(lines, fmt.Sprintf("| %d | %v | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %.3f |", deployment.instances, period, f.name,
						sum.runs, sum.goodRolledBack, sum.badNotFound, sum.badMissed, sum.completed, sum.undecided, sum.overExposed, sum.usedTooLong, sum.onTime, sum.exposure))
				})
			}
		}
	}
}

func (o *outcome) check(t *testing.T) {
	bad := o.overExposed + o.usedTooLong
	if o.goodRolledBack > o.runs/1000 {
		bad += o.goodRolledBack
	}
	if o.badMissed > o.runs/100 {
		bad += o.badMissed
	}
	if bad > 0 {
		t.Errorf("%.2000s", strings.Join(o.notes, "\n  "))
	}
}

// Difficult seeds of small pools, found during development; see KNOWN-RED.txt. With 18 targets and
// 1,400 requests in the period there are 70 trials. A version that is three times slower is rolled back
// only after its fiftieth bad answer and the time allowed for the rollback, one that fails 0.3 of its
// requests may be undecided 8 s after the deadline, and if 15% of the targets of both versions fail on
// their own, the new version may have five times the failures of the old one.
func TestSimulatedRolloutsOfSmallPools(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault int
		seeds []uint64
	}{{7, []uint64{5, 7, 10}}, {2, []uint64{3}}, {5, []uint64{7}}} {
		sum := &outcome{}
		for _, seed := range c.seeds {
			sim := newSimulation(sizes[0], faults[c.fault], 12*time.Second, seed)
			sim.play()
			sum.add(sim, seed)
		}
		sum.check(t)
	}
}

// Rollouts of small pools that once had a wrong result: good versions were rolled back because of a few
// slow or failing targets, and bad ones were used for too long, left undecided or completed.
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

// Rollouts of small pools that still have a wrong result; see KNOWN-RED.txt.
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

// playSmall simulates rollouts of a small pool, checks them together and returns their results.
func playSmall(t *testing.T, name string, period time.Duration, seeds []uint64) *outcome {
	t.Helper()
	sum := &outcome{}
	for _, seed := range seeds {
		sim := newSimulation(sizes[0], faultNamed(name), period, seed)
		sim.play()
		sum.add(sim, seed)
	}
	sum.check(t)
	return sum
}

// A version that turns bad shortly before it takes over must not be completed: the old targets would
// stop, and all callers would be affected.
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

// faultNamed returns the fault of that name.
func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault is called " + name)
}
