package evacuation_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/evacuation"
)

// newTracker returns a tracker, its clock and the set that it last reported.
func newTracker() (tracker *evacuation.Tracker, clock *clockwork.FakeClock, reported *[]shelfshelf.DataCentre) {
	clock = clockwork.NewFakeClock()
	reported = new([]shelfshelf.DataCentre)
	tracker = &evacuation.Tracker{
		Clock: clock, Log: log.New(io.Discard),
		OnChange: func(evacuated []shelfshelf.DataCentre) { *reported = evacuated },
	}
	return tracker, clock, reported
}

// The update with the highest store position wins, whichever source it comes from and however late it
// arrives.
func TestNewestPositionWins(t *testing.T) {
	tracker, _, reported := newTracker()
	check := func(what string, want ...shelfshelf.DataCentre) {
		t.Helper()
		if !slices.Equal(*reported, want) {
			t.Errorf("%s: %v, not %v", what, *reported, want)
		}
	}
	if tracker.Known() {
		t.Error("known before the first update")
	}
	tracker.Merge(shelfshelf.EvacuationState{DataCentres: []shelfshelf.DataCentre{"b", "a"}, AsOf: 10}, "other")
	check("first update", "a", "b")
	tracker.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, Started: []shelfshelf.DataCentre{"c"}, AsOf: 9})
	check("older read", "a", "b")
	tracker.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Started: []shelfshelf.DataCentre{"c"}, Ended: []shelfshelf.DataCentre{"a"}, AsOf: 12})
	check("incremental update", "b", "c")
	tracker.Merge(shelfshelf.EvacuationState{DataCentres: []shelfshelf.DataCentre{"a"}, AsOf: 12}, "other")
	check("same position", "b", "c")
	tracker.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, AsOf: 13})
	check("complete read without evacuations")
	if got := tracker.Snapshot(); got.AsOf != 13 || len(got.DataCentres) != 0 || !tracker.Known() {
		t.Errorf("%+v", got)
	}
}

// Evacuations missing from a restored older copy of the store stay in force for a grace period, and
// are not sent to other instances.
func TestRestoredStoreEndsEvacuationsAfterGracePeriod(t *testing.T) {
	tracker, clock, reported := newTracker()
	tracker.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, Started: []shelfshelf.DataCentre{"a"}, AsOf: 10})
	tracker.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, AsOf: shelfshelf.PositionOf(1, 5)})
	if !slices.Equal(*reported, []shelfshelf.DataCentre{"a"}) || len(tracker.Snapshot().DataCentres) != 0 {
		t.Errorf("reported %v, sent to others %+v", *reported, tracker.Snapshot())
	}
	clock.Advance(6 * time.Second)
	tracker.Snapshot()
	if len(*reported) != 0 {
		t.Errorf("%v", *reported)
	}
}
