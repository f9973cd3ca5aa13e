package crashes_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/crashes"
)

// poison is a request that crashes every target.
const poison = shelfshelf.Fingerprint(1)

func newTracker(clock shelfshelf.Clock, self string) *crashes.Tracker {
	return &crashes.Tracker{Clock: clock, Log: log.New(io.Discard), Self: shelfshelf.InstanceID(self)}
}

func target(name string) shelfshelf.Target {
	return shelfshelf.Target{Name: shelfshelf.TargetName(name)}
}

// crashWhileRunning records a crash of a target that was running requests.
func crashWhileRunning(r *crashes.Tracker, clock shelfshelf.Clock, name string, requests ...shelfshelf.Fingerprint) {
	r.RecordCrash(target(name), requests, clock.Now())
}

// Trackers converge after a full exchange between instances, even if each saw only a part of the same
// crashes, updates were lost or reordered, and each learnt of other completed runs.
func TestTrackersConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		trackers := []*crashes.Tracker{newTracker(clock, "a"), newTracker(clock, "b"), newTracker(clock, "c")}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := trackers[rapid.IntRange(0, 2).Draw(t, "at")]
			request := shelfshelf.Fingerprint(rapid.IntRange(1, 6).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				crashWhileRunning(r, clock, fmt.Sprint("t", rapid.IntRange(0, 8).Draw(t, "target")), request, request+1)
			case 2:
				r.RequestCompleted(request)
			case 3:
				news := r.Updates(true)
				if len(news) > 0 && rapid.Bool().Draw(t, "comes") {
					trackers[rapid.IntRange(0, 2).Draw(t, "to")].Merge(news, rapid.Bool().Draw(t, "wide"))
				}
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		for range 2 {
			for i, r := range trackers {
				r.Merge(trackers[(i+1)%len(trackers)].All(), true)
			}
		}
		for _, r := range trackers[1:] {
			if r.Hash() != trackers[0].Hash() || r.QuarantinedCount() != trackers[0].QuarantinedCount() {
				t.Fatalf("trackers differ: %v and %v", trackers[0].All(), r.All())
			}
		}
	})
}

func TestSameCrashCountsOnce(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	a, b := newTracker(clock, "a"), newTracker(clock, "b")
	for i := range 3 {
		// Both instances see the crash, each through its own request, the second one 20 ms later.
		crashWhileRunning(a, clock, "t1", poison)
		clock.Advance(20 * time.Millisecond)
		crashWhileRunning(b, clock, "t1", poison)
		b.Merge(a.Updates(true), false)
		if _, quarantined := b.CheckQuarantine(poison, "r"); quarantined != (i == 2) {
			t.Errorf("quarantined after %d crashes: %t", i+1, quarantined)
		}
		// The target restarts under its name.
		clock.Advance(3 * time.Second)
	}
}

// A crash of a restarted process counts separately, even soon after the crash of the previous process.
func TestCrashesOfEachProcessCount(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newTracker(clock, "a")
	for process := range 3 {
		restarted := target("t1")
		restarted.StartedAt = time.UnixMilli(int64(1000 + process))
		r.RecordCrash(restarted, []shelfshelf.Fingerprint{poison}, clock.Now())
		clock.Advance(300 * time.Millisecond)
	}
	if quarantine, quarantined := r.CheckQuarantine(poison, "r"); !quarantined || quarantine.Crashes != 3 {
		t.Errorf("%+v %t", quarantine, quarantined)
	}
}

// At the end of a quarantine one probe is let through, not one for each caller or instance. The next
// quarantine is twice as long.
func TestQuarantineEndsWithOneProbe(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	trackers := []*crashes.Tracker{newTracker(clock, "a"), newTracker(clock, "b"), newTracker(clock, "c")}
	for i := range 3 {
		crashWhileRunning(trackers[0], clock, fmt.Sprint("t", i), poison)
	}
	for _, r := range trackers[1:] {
		r.Merge(trackers[0].Updates(true), true)
	}
	crashCount := 3
	for range 20_000 {
		clock.Advance(10 * time.Second)
		var news []shelfshelf.Crash
		for i, r := range trackers {
			for caller := range 3 {
				id := shelfshelf.RequestID(fmt.Sprint("r", i, "-", caller))
				if _, quarantined := r.CheckQuarantine(poison, id); quarantined {
					continue
				}
				if _, quarantined := r.CheckQuarantine(poison, id); quarantined {
					t.Fatal("the probe is quarantined right before it is sent")
				}
				crashCount++
				crashWhileRunning(r, clock, fmt.Sprint("t", crashCount), poison)
				news = r.Updates(true)
			}
		}
		for _, r := range trackers {
			r.Merge(news, true)
			r.Merge(trackers[0].All(), true)
		}
	}
	// In 55 hours there is time for eight quarantines of 10, 20, 40, ... 1,280 minutes, or fewer because
	// the delays of instances prolong them.
	if crashCount < 3+5 || crashCount > 3+8 {
		t.Errorf("%d targets crashed", crashCount)
	}
}

// A request that was running in crashes without causing them is served again after its quarantine. Once
// it has completed, it is no longer quarantined.
func TestCompletedProbeEndsQuarantine(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newTracker(clock, "a")
	for i := range 3 {
		crashWhileRunning(r, clock, fmt.Sprint("t", i), poison)
	}
	quarantine, quarantined := r.CheckQuarantine(poison, "r1")
	if !quarantined || quarantine.Remaining < 10*time.Minute || quarantine.Remaining > 20*time.Minute || r.QuarantinedCount() != 1 {
		t.Fatalf("%+v %t", quarantine, quarantined)
	}
	clock.Advance(quarantine.Remaining)
	if _, quarantined := r.CheckQuarantine(poison, "r1"); quarantined {
		t.Fatal("still quarantined")
	}
	r.RequestCompleted(poison)
	for _, id := range []shelfshelf.RequestID{"r2", "r3"} {
		if _, quarantined := r.CheckQuarantine(poison, id); quarantined {
			t.Errorf("%s is quarantined", id)
		}
	}
}

// The number of crashes in a status and in a tracker is bounded.
func TestTrackersAreBounded(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newTracker(clock, "a")
	for i := range 1200 {
		var requests []shelfshelf.Fingerprint
		for j := range 300 {
			requests = append(requests, shelfshelf.Fingerprint(1000*i+j))
		}
		if i%100 != 0 {
			requests = requests[:8]
		}
		crashWhileRunning(r, clock, fmt.Sprint("t", i), requests...)
		clock.Advance(time.Millisecond)
	}
	all := r.All()
	if len(all) != 1000 || all[0].Age > all[999].Age {
		t.Errorf("%d crashes are remembered", len(all))
	}
	runCount := 0
	for _, c := range r.Updates(true) {
		runCount += len(c.Requests)
	}
	if runCount == 0 || runCount > 600 {
		t.Errorf("%d runs in one status", runCount)
	}
	clock.Advance(8 * 24 * time.Hour)
	crashWhileRunning(r, clock, "t", 7)
	if all := r.All(); len(all) != 1 {
		t.Errorf("%d crashes are remembered after eight days", len(all))
	}
	fresh := newTracker(clock, "b")
	fresh.Merge(r.All(), false)
	if fresh.Hash() != r.Hash() {
		t.Error("removed crashes still count in the hash")
	}
}
