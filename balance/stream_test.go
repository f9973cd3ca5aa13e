package balance

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

// countingRollouts counts what is reported to it and bars one version.
type countingRollouts struct {
	started, ended int
	barred         shelfshelf.TargetVersion
}

func (r *countingRollouts) Choose(shelfshelf.PoolName, []shelfshelf.Target) shelfshelf.VersionChoice {
	return shelfshelf.VersionChoice{Active: true, Version: "v2", ToNewVersion: true}
}

func (r *countingRollouts) ChooseForStream(shelfshelf.PoolName) shelfshelf.VersionChoice {
	return shelfshelf.VersionChoice{Active: true, OnlyRetired: true, BarredVersions: []shelfshelf.TargetVersion{r.barred}}
}

func (r *countingRollouts) RequestStarted(shelfshelf.Target) { r.started++ }

func (r *countingRollouts) RequestUnsent(shelfshelf.Target) { r.ended++ }

func (r *countingRollouts) RequestEnded(shelfshelf.Target, shelfshelf.AttemptReport) { r.ended++ }

// streamBalancer returns a balancer with one target of each version, "" among them.
func streamBalancer(rollouts shelfshelf.Rollouts, versions ...shelfshelf.TargetVersion) *Balancer {
	b := &Balancer{Clock: clockwork.NewRealClock(), Rollouts: rollouts}
	var targets []shelfshelf.Target
	for _, version := range versions {
		targets = append(targets, shelfshelf.Target{Name: shelfshelf.TargetName("t" + version), Pool: "p", Version: version, Slots: 1})
	}
	b.SetTargets([]shelfshelf.Pool{{Name: "p", Engine: &shelfshelf.EngineSpec{}}}, targets)
	return b
}

func streamNeed(version shelfshelf.TargetVersion) Need {
	now := time.Now()
	return Need{Pool: "p", WaitUntil: now.Add(50 * time.Millisecond), Deadline: now.Add(time.Second), LatencyGoal: time.Second, StreamVersion: &version}
}

// A stream that goes on is neither a trial of a version nor evidence for it, and goes to its own version
// whatever the shares of versions are, but not to one that gets no requests at all.
func TestStreamsThatGoOnChangeNoRollout(t *testing.T) {
	t.Parallel()
	rollouts := &countingRollouts{barred: "v3"}
	b := streamBalancer(rollouts, "", "v1", "v2", "v3")
	for _, version := range []shelfshelf.TargetVersion{"v1", "", "v2"} {
		lease, err := b.Acquire(context.Background(), streamNeed(version))
		if err != nil || lease.Target.Version != version {
			t.Fatalf("%q: %+v, %v", version, lease, err)
		}
		lease.Release(Result{Events: 3})
	}
	if rollouts.started+rollouts.ended > 0 {
		t.Errorf("%d started and %d ended", rollouts.started, rollouts.ended)
	}
	for _, version := range []shelfshelf.TargetVersion{"v3", "v4"} {
		var refusal *Refusal
		if _, err := b.Acquire(context.Background(), streamNeed(version)); !errors.As(err, &refusal) || refusal.Reason != shelfshelf.RefusedNoTarget {
			t.Errorf("%q: %v", version, err)
		}
	}
}

// A stream that waits for a slot at its version goes first, and held up all requests behind it.
func TestStreamsThatWaitForTheirVersionHoldUpNobody(t *testing.T) {
	t.Parallel()
	b := streamBalancer(nil, "v1", "v2")
	busy, err := b.Acquire(context.Background(), streamNeed("v1"))
	if err != nil {
		t.Fatal(err)
	}
	need := streamNeed("v1")
	need.Started = true
	waiting := &waiter{need: need, granted: make(chan *Lease, 1)}
	behind := &waiter{need: Need{Pool: "p", LatencyGoal: time.Second}, granted: make(chan *Lease, 1)}
	b.mu.Lock()
	p := b.pools["p"]
	p.enqueue(behind)
	p.enqueue(waiting)
	b.dispatch(p, time.Now())
	b.mu.Unlock()
	select {
	case lease := <-behind.granted:
		if lease.Target.Version != "v2" {
			t.Errorf("got a slot of %q", lease.Target.Version)
		}
	default:
		t.Error("a request waits behind a stream that waits for its version")
	}
	busy.Release(Result{})
	if len(waiting.granted) == 0 {
		t.Error("the stream got no slot at its version")
	}
}

// A draining target serves on for a while: it gets streams of its version until shortly before it stops, and
// nothing else.
func TestDrainingTargetsGetOnlyStreams(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	b := streamBalancer(nil, "v1", "v2")
	b.Clock, b.DrainTime = clock, 2*time.Second
	since := make(map[shelfshelf.TargetName]time.Time)
	b.LeavingSince = func(name shelfshelf.TargetName) time.Time { return since[name] }
	pools := []shelfshelf.Pool{{Name: "p", Engine: &shelfshelf.EngineSpec{}}}
	draining := func(names ...shelfshelf.TargetName) {
		var targets []shelfshelf.Target
		for _, version := range []shelfshelf.TargetVersion{"v1", "v2"} {
			name := shelfshelf.TargetName("t" + version)
			targets = append(targets, shelfshelf.Target{Name: name, Pool: "p", Version: version, Slots: 1, Leaving: slices.Contains(names, name)})
		}
		targets = append(targets, shelfshelf.Target{Name: "late", Pool: "p", Version: "v3", Slots: 1, Leaving: true})
		b.SetTargets(pools, targets)
	}
	may := func(need Need, name shelfshelf.TargetName) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.targets[name].eligible(need, clock.Now())
	}
	since["tv1"] = clock.Now()
	draining("tv1")
	if !may(streamNeed("v1"), "tv1") || may(Need{Pool: "p"}, "tv1") || may(streamNeed("v2"), "tv1") {
		t.Error("a draining target gets something else than streams of its version")
	}
	if may(streamNeed("v3"), "late") {
		t.Error("a target of which it isn't known since when it drains gets streams")
	}
	clock.Advance(b.DrainTime - drainMargin)
	draining("tv1")
	if may(streamNeed("v1"), "tv1") {
		t.Error("a target gets streams until it stops")
	}
	draining()
	since["tv1"] = clock.Now()
	draining("tv1")
	if !may(streamNeed("v1"), "tv1") {
		t.Error("a target that drains again gets no streams")
	}
	draining()
	since["tv1"] = clock.Now().Add(drainMargin - b.DrainTime)
	draining("tv1")
	if may(streamNeed("v1"), "tv1") {
		t.Error("a target gets streams though this instance learnt late that it drains")
	}
}
