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

// newRecord returns a tracker, its clock and the set that it last reported.
func newRecord() (record *evacuation.Tracker, clock *clockwork.FakeClock, reported *[]shelfshelf.DataCentre) {
	clock = clockwork.NewFakeClock()
	reported = new([]shelfshelf.DataCentre)
	record = &evacuation.Tracker{
		Clock: clock, Log: log.New(io.Discard),
		OnChange: func(evacuated []shelfshelf.DataCentre) { *reported = evacuated },
	}
	return record, clock, reported
}

// The update with the highest store position wins, whichever source it comes from and however late it
// arrives.
func TestNewestPositionWins(t *testing.T) {
	record, _, reported := newRecord()
	check := func(what string, want ...shelfshelf.DataCentre) {
		t.Helper()
		if !slices.Equal(*reported, want) {
			t.Errorf("%s: %v, not %v", what, *reported, want)
		}
	}
	if record.Known() {
		t.Error("known before the first update")
	}
	record.Merge(shelfshelf.EvacuationState{DataCentres: []shelfshelf.DataCentre{"b", "a"}, AsOf: 10}, "other")
	check("first update", "a", "b")
	record.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, Started: []shelfshelf.DataCentre{"c"}, AsOf: 9})
	check("older read", "a", "b")
	record.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Started: []shelfshelf.DataCentre{"c"}, Ended: []shelfshelf.DataCentre{"a"}, AsOf: 12})
	check("incremental update", "b", "c")
	record.Merge(shelfshelf.EvacuationState{DataCentres: []shelfshelf.DataCentre{"a"}, AsOf: 12}, "other")
	check("same position", "b", "c")
	record.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, AsOf: 13})
	check("complete read without evacuations")
	if got := record.Snapshot(); got.AsOf != 13 || len(got.DataCentres) != 0 || !record.Known() {
		t.Errorf("%+v", got)
	}
}

// Evacuations missing from a restored older copy of the store stay in force for a grace period, and
// are not sent to other instances.
func TestRestoredStoreEndsEvacuationsAfterGracePeriod(t *testing.T) {
	record, clock, reported := newRecord()
	record.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, Started: []shelfshelf.DataCentre{"a"}, AsOf: 10})
	record.ApplyStoreUpdate(shelfshelf.EvacuationUpdate{Full: true, AsOf: shelfshelf.PositionOf(1, 5)})
	if !slices.Equal(*reported, []shelfshelf.DataCentre{"a"}) || len(record.Snapshot().DataCentres) != 0 {
		t.Errorf("reported %v, sent to others %+v", *reported, record.Snapshot())
	}
	clock.Advance(6 * time.Second)
	record.Snapshot()
	if len(*reported) != 0 {
		t.Errorf("%v", *reported)
	}
}
