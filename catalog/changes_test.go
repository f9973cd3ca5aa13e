package catalog_test

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
)

// sortedTargets returns the targets of a catalog, sorted by name.
func sortedTargets(c *catalog.Catalog) []shelfshelf.Target {
	targets := c.Targets().Targets
	slices.SortFunc(targets, func(a, b shelfshelf.Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return targets
}

// Instances that exchange deltas, in any order and number, end up with the same list as the instance that
// gets full lists.
func TestDeltasConvergeToFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		catalogs := make([]*catalog.Catalog, 4)
		for i := range catalogs {
			catalogs[i] = &catalog.Catalog{Clock: clock, Log: log.New(io.Discard)}
		}
		expected := map[shelfshelf.TargetName]shelfshelf.Target{}
		version := uint64(1)
		offer := func(from, to int) {
			known, _ := catalogs[to].TargetsVersion()
			catalogs[to].OfferDelta(catalogs[from].TargetsSince(known), "other")
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			clock.Advance(10 * time.Millisecond)
			switch rapid.SampledFrom([]string{"change", "change", "remove", "hand on", "hand on"}).Draw(t, "step") {
			case "change":
				name := shelfshelf.TargetName(fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "target")))
				expected[name] = shelfshelf.Target{Name: name, Slots: rapid.IntRange(1, 9).Draw(t, "slots")}
			case "remove":
				delete(expected, shelfshelf.TargetName(fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "target"))))
			case "hand on":
				offer(rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to"))
				continue
			}
			version++
			var targets []shelfshelf.Target
			for _, target := range expected {
				targets = append(targets, target)
			}
			catalogs[0].OfferTargets(catalog.Snapshot{Targets: targets, Version: version, ValidAt: clock.Now()}, "source")
		}
		for i := 1; i < len(catalogs); i++ {
			offer(0, i)
			if got, want := sortedTargets(catalogs[i]), sortedTargets(catalogs[0]); !slices.Equal(got, want) {
				t.Fatalf("%v, not %v", got, want)
			}
		}
	})
}

// The delta of one update to a list of 3,000 targets holds only the changed targets.
func TestDeltaHasOnlyChangedTargets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	first := &catalog.Catalog{Clock: clock, Log: log.New(io.Discard)}
	targets := manyTargets()
	first.OfferTargets(catalog.Snapshot{Targets: targets, Version: 5, ValidAt: clock.Now()}, "source")
	changed := slices.Clone(targets[1:])
	changed[0].Leaving = true
	clock.Advance(time.Second)
	first.OfferTargets(catalog.Snapshot{Targets: changed, Version: 7, ValidAt: clock.Now()}, "source")
	for after, want := range map[uint64]struct{ targets, removed int }{5: {1, 1}, 6: {1, 1}, 4: {2999, 0}, 0: {2999, 0}} {
		delta := first.TargetsSince(after)
		if len(delta.Targets) != want.targets || len(delta.Removed) != want.removed || delta.Full != (want.removed == 0) {
			t.Errorf("after %d: %d changed, %d removed, full %v", after, len(delta.Targets), len(delta.Removed), delta.Full)
		}
	}
}

// BenchmarkTargetsSince measures the delta of one removal from a list of 3,000 targets.
func BenchmarkTargetsSince(b *testing.B) {
	clock := clockwork.NewFakeClock()
	c := &catalog.Catalog{Clock: clock, Log: log.New(io.Discard)}
	targets := manyTargets()
	c.OfferTargets(catalog.Snapshot{Targets: targets, Version: 5, ValidAt: clock.Now()}, "source")
	clock.Advance(time.Second)
	c.OfferTargets(catalog.Snapshot{Targets: targets[1:], Version: 7, ValidAt: clock.Now()}, "source")
	for b.Loop() {
		c.TargetsSince(5)
	}
}

func manyTargets() []shelfshelf.Target {
	var targets []shelfshelf.Target
	for i := range 3000 {
		targets = append(targets, shelfshelf.Target{Name: shelfshelf.TargetName(fmt.Sprint("t", i)), Slots: 8})
	}
	return targets
}
