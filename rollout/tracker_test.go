package rollout

import (
	"bytes"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                       { return c.now }
func (c *manualClock) After(time.Duration) <-chan time.Time { return nil }

func newTestTracker(clock *manualClock) *Tracker {
	return &Tracker{Clock: clock, Log: log.New(io.Discard), Bounds: Bounds{Share: share, Slack: slack}}
}

func targetsWithVersions(counts map[shelfshelf.TargetVersion]int) []shelfshelf.Target {
	var targets []shelfshelf.Target
	for version, count := range counts {
		for i := range count {
			targets = append(targets, shelfshelf.Target{Name: shelfshelf.TargetName(string(version) + string(rune('a'+i))), Pool: "p", Version: version})
		}
	}
	return targets
}

// Updates, state changes and halts arrive in any order, late, repeatedly or not at all, and instances
// restart. An instance that knows that a rollout is over or halted sends no more requests to its
// version, instances that have received the same updates agree, and known state is never lost.
func TestRolloutUpdatesInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		const instances = 3
		var trackers [instances]*Tracker
		targets := targetsWithVersions(map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4, "v3": 4})
		begin := func(i int) {
			trackers[i] = newTestTracker(clock)
			trackers[i].SetTargets(targets, 1)
		}
		for i := range trackers {
			begin(i)
		}
		// updates are all updates sent so far, starting with those of the platform.
		var updates [][]shelfshelf.Rollout
		ended := make(map[uint64]shelfshelf.RolloutState)
		newest := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				newest++
				version := rapid.SampledFrom([]shelfshelf.TargetVersion{"v2", "v3"}).Draw(t, "version")
				updates = append(updates, []shelfshelf.Rollout{{Pool: "p", Revision: newest, Version: version, Period: 12 * time.Second}})
			},
			"step": func(t *rapid.T) {
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				known, _ := trackers[i].Snapshot()
				if len(known) == 0 {
					t.Skip("no rollout known")
				}
				rollout := known[0]
				switch rapid.SampledFrom([]string{"halt", "move", "end"}).Draw(t, "step") {
				case "halt":
					rollout.Halted = true
				case "move":
					if rollout.State < shelfshelf.RolloutMoving {
						rollout.State = shelfshelf.RolloutMoving
					}
				case "end":
					// The platform accepts only one final state of a rollout.
					if ended[rollout.Revision] == 0 {
						ended[rollout.Revision] = shelfshelf.RolloutCompleted
						if rollout.Halted {
							ended[rollout.Revision] = shelfshelf.RolloutRolledBack
						}
					}
					rollout.State = ended[rollout.Revision]
				}
				trackers[i].Merge([]shelfshelf.Rollout{rollout}, 0, "test")
				updates = append(updates, []shelfshelf.Rollout{rollout})
			},
			"hear": func(t *rapid.T) {
				if len(updates) == 0 {
					t.Skip("no updates yet")
				}
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				before, _ := trackers[i].Snapshot()
				trackers[i].Merge(updates[rapid.IntRange(0, len(updates)-1).Draw(t, "word")], 0, "test")
				after, _ := trackers[i].Snapshot()
				if len(before) > 0 && before[0].AddsTo(after[0]) {
					t.Fatalf("%+v became %+v", before[0], after[0])
				}
			},
			"tell": func(t *rapid.T) {
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				known, _ := trackers[i].Snapshot()
				updates = append(updates, known)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				known, asOf := trackers[(i+1)%instances].Snapshot()
				begin(i)
				trackers[i].Merge(known, asOf, "test")
			},
			"wait": func(*rapid.T) { clock.now = clock.now.Add(700 * time.Millisecond) },
			"": func(t *rapid.T) {
				for _, tracker := range trackers {
					known, _ := tracker.Snapshot()
					if len(known) == 0 {
						continue
					}
					barred := known[0].Halted || known[0].State == shelfshelf.RolloutRolledBack
					choice := tracker.Choose("p", targets)
					for _, target := range targets {
						if barred && known[0].State != shelfshelf.RolloutCompleted && target.Version == known[0].Version && choice.Allows(target) {
							t.Fatalf("%+v allows target %s of version %s", known[0], target.Name, target.Version)
						}
						if target.Version != known[0].Version && choice.Allows(target) {
							for _, version := range known[0].BarredVersions {
								if version == target.Version {
									t.Fatalf("%+v allows a barred version", known[0])
								}
							}
						}
					}
				}
				// Instances that have received all updates agree.
				one, other := newTestTracker(clock), newTestTracker(clock)
				for i := range updates {
					one.Merge(updates[i], 0, "test")
					other.Merge(updates[len(updates)-1-i], 0, "test")
				}
				first, _ := one.Snapshot()
				second, _ := other.Snapshot()
				if len(first) > 0 && (first[0].Revision != second[0].Revision || first[0].State != second[0].State || first[0].Halted != second[0].Halted) {
					t.Fatalf("updates in different order gave %+v and %+v", first[0], second[0])
				}
			},
		})
	})
}

// Special cases of rollouts: which targets get requests.
func TestUnusualRollouts(t *testing.T) {
	t.Parallel()
	ordered := shelfshelf.Rollout{Pool: "p", Revision: 10, Version: "v2", Period: 12 * time.Second}
	for name, c := range map[string]struct {
		before, after map[shelfshelf.TargetVersion]int
		asOf          uint64
		updates       []shelfshelf.Rollout
		// allowed are the versions that requests may go to.
		allowed []shelfshelf.TargetVersion
		// later is the time from the listing of the targets to the check.
		later time.Duration
	}{
		"a new version gets no requests while it isn't known whether it was ordered": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 5,
			allowed: []shelfshelf.TargetVersion{"v1"},
		},
		"but it gets them once the store has been unreadable for too long": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 5,
			later: maxUnconfirmedHold, allowed: []shelfshelf.TargetVersion{"v1", "v2"},
		},
		"a new version that wasn't ordered gets requests like any other": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 20,
			allowed: []shelfshelf.TargetVersion{"v1", "v2"},
		},
		"a rollout to the version that already serves changes nothing": {
			before: map[shelfshelf.TargetVersion]int{"v2": 4}, after: map[shelfshelf.TargetVersion]int{"v2": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{ordered}, allowed: []shelfshelf.TargetVersion{"v2"},
		},
		"a rollout without targets of its version changes nothing": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{ordered}, allowed: []shelfshelf.TargetVersion{"v1"},
		},
		"a second rollout bars the version of the first": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{ordered, {Pool: "p", Revision: 12, Version: "v3", Period: time.Second}},
			allowed: []shelfshelf.TargetVersion{"v1"},
		},
		"a version that was rolled back gets no requests, also after a restart": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{{Pool: "p", Revision: 10, Version: "v2", State: shelfshelf.RolloutRolledBack}},
			allowed: []shelfshelf.TargetVersion{"v1"},
		},
		"a rollout to the serving version while targets of the rolled-back one remain": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{
				{Pool: "p", Revision: 10, Version: "v2", State: shelfshelf.RolloutRolledBack},
				{Pool: "p", Revision: 12, Version: "v1", Period: time.Second},
			},
			allowed: []shelfshelf.TargetVersion{"v1"},
		},
		"after a completed rollout, a third version while it isn't known whether it was ordered": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, after: map[shelfshelf.TargetVersion]int{"v2": 4, "v3": 4}, asOf: 5,
			updates: []shelfshelf.Rollout{{Pool: "p", Revision: 3, Version: "v2", State: shelfshelf.RolloutCompleted}},
			allowed: []shelfshelf.TargetVersion{"v2"},
		},
		"a halted version gets no requests before the rollback is stored": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{{Pool: "p", Revision: 10, Version: "v2", State: shelfshelf.RolloutMoving, MovingFor: time.Minute, Halted: true}},
			allowed: []shelfshelf.TargetVersion{"v1"},
		},
		"nor does one halted by an instance that didn't know of the move": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{
				{Pool: "p", Revision: 10, Version: "v2", State: shelfshelf.RolloutMoving, MovingFor: time.Minute},
				{Pool: "p", Revision: 10, Version: "v2", State: shelfshelf.RolloutServing, Halted: true},
			},
			allowed: []shelfshelf.TargetVersion{"v1"},
		},
		"after the move all requests go to the new version": {
			before: map[shelfshelf.TargetVersion]int{"v1": 4}, after: map[shelfshelf.TargetVersion]int{"v1": 4, "v2": 4}, asOf: 20,
			updates: []shelfshelf.Rollout{{Pool: "p", Revision: 10, Version: "v2", Period: time.Second, State: shelfshelf.RolloutMoving, MovingFor: time.Minute}},
			allowed: []shelfshelf.TargetVersion{"v2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := &manualClock{now: time.Unix(1000, 0)}
			tracker := newTestTracker(clock)
			tracker.SetTargets(targetsWithVersions(c.before), 1)
			tracker.SetTargets(targetsWithVersions(c.after), 8)
			tracker.Merge(nil, c.asOf, "test")
			for _, rollout := range c.updates {
				tracker.Merge([]shelfshelf.Rollout{rollout}, 0, "test")
			}
			clock.now = clock.now.Add(c.later)
			targets := targetsWithVersions(c.after)
			choice := tracker.Choose("p", targets)
			allowed := make(map[shelfshelf.TargetVersion]bool)
			for _, target := range targets {
				if choice.Allows(target) {
					allowed[target.Version] = true
				}
			}
			for _, version := range c.allowed {
				if !allowed[version] {
					t.Errorf("%s gets no requests", version)
				}
			}
			if len(allowed) != len(c.allowed) {
				t.Errorf("requests go to %v", allowed)
			}
		})
	}
}

// Streams go on at their version while it is on trial or is being replaced, and nowhere once it gets no
// requests at all.
func TestStreamsGoOnDuringRollouts(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		rollout  shelfshelf.Rollout
		old, new bool
	}{
		"trial":       {shelfshelf.Rollout{State: shelfshelf.RolloutServing}, true, true},
		"moving":      {shelfshelf.Rollout{State: shelfshelf.RolloutMoving}, true, true},
		"halted":      {shelfshelf.Rollout{State: shelfshelf.RolloutServing, Halted: true}, true, false},
		"rolled back": {shelfshelf.Rollout{State: shelfshelf.RolloutRolledBack}, true, false},
		"barred":      {shelfshelf.Rollout{State: shelfshelf.RolloutServing, BarredVersions: []shelfshelf.TargetVersion{"v1"}}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker := newTestTracker(&manualClock{now: time.Unix(1000, 0)})
			targets := targetsWithVersions(map[shelfshelf.TargetVersion]int{"v1": 1, "v2": 1})
			tracker.SetTargets(targets, 1)
			c.rollout.Pool, c.rollout.Revision, c.rollout.Version = "p", 2, "v2"
			tracker.Merge([]shelfshelf.Rollout{c.rollout}, 2, "store")
			choice := tracker.ChooseForStream("p")
			for _, target := range targets {
				if want := target.Version == "v1" && c.old || target.Version == "v2" && c.new; choice.Allows(target) != want {
					t.Errorf("%s: %v", target.Name, !want)
				}
			}
		})
	}
}

// With 85 or 300 instances that send a few requests each, the total of their trials is what the share
// allows, even if they all restart halfway.
func TestSharesOfManyInstancesAddUp(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 6, 85, 300} {
		trials, all := 0, 0
		for range 40 {
			for range instances {
				tracker := newTestTracker(&manualClock{})
				for range 2 {
					s := trialQuota{offset: tracker.random()}
					for range 30 {
						s.sent++
						all++
						if s.allowsTrial(0.04, 0) {
							s.trials++
							trials++
						}
					}
				}
			}
		}
		// Each start is off by less than one trial, uniformly distributed.
		most := 0.04*float64(all) + 5*0.5*math.Sqrt(float64(80*instances))
		if float64(trials) > most || float64(trials) < 0.04*float64(all)-5*0.5*math.Sqrt(float64(80*instances)) {
			t.Errorf("%d instances: %d of %d tried", instances, trials, all)
		}
	}
}

func FuzzDecodeReport(f *testing.F) {
	report := Report{Run: InstanceRun{Instance: "n", Incarnation: 3}, Evidence: []Evidence{{
		Pool: "p", Revision: 4, Sent: SentCounts{All: 5, New: 1}, OldTrafficStopped: true, OldRunning: 2,
		Cells: map[CellKey]*ResultCounts{{Route: "r", Target: "t"}: {Answers: 3, Failed: 1}},
	}}}
	content, err := EncodeReport(report)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := DecodeReport(content)
		if err != nil {
			return
		}
		again, err := EncodeReport(read)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeReport(again); err != nil || bytes.Equal(again, nil) {
			t.Fatal(err)
		}
	})
}
