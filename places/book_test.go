package places_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/places"
)

const engine = shelfshelf.TargetKey(7)

// desk is a book with the grants that it has told.
type desk struct {
	*places.Book
	clock   *clockwork.FakeClock
	slots   int
	told    int
	granted []shelfshelf.PlaceID
}

func newDesk(slots int) *desk {
	d := &desk{clock: clockwork.NewFakeClock(), slots: slots}
	d.Book = &places.Book{
		Clock: d.clock,
		Capacity: func(target shelfshelf.TargetKey) (places.Capacity, bool) {
			return places.Capacity{Slots: d.slots, Told: d.told}, target == engine
		},
		Grant: func(_ places.Holder, id shelfshelf.PlaceID, _ int) { d.granted = append(d.granted, id) },
	}
	return d
}

func holder(n int) places.Holder {
	return places.Holder{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1), Incarnation: 1}
}

func ask(tier shelfshelf.Tier, wait time.Duration) shelfshelf.PlaceAsk {
	return shelfshelf.PlaceAsk{Target: engine, Tier: tier, Wait: wait}
}

func TestPlacesAreGivenOutOnce(t *testing.T) {
	d := newDesk(2)
	for id, want := range map[shelfshelf.PlaceID]shelfshelf.PlaceOutcome{1: shelfshelf.PlaceGranted} {
		for range 2 { // a repeated ask takes no second place
			if got := d.Ask(holder(1), id, ask(0, 0)); got.Outcome != want || got.Requests != 1 {
				t.Errorf("%d: %+v", id, got)
			}
		}
	}
	if got := d.Ask(holder(2), 1, ask(0, 0)); got.Outcome != shelfshelf.PlaceGranted || got.Requests != 2 {
		t.Errorf("%+v", got)
	}
	if got := d.Ask(holder(3), 1, ask(0, time.Second)); got.Outcome != shelfshelf.PlaceWaits {
		t.Errorf("%+v", got)
	}
	d.Release(holder(2), 1)
	d.Release(holder(2), 1)
	if len(d.granted) != 1 || d.Held(engine) != 2 {
		t.Errorf("granted %v, held %d", d.granted, d.Held(engine))
	}
	if got := d.Ask(holder(1), 9, shelfshelf.PlaceAsk{Target: engine + 1}); got.Outcome != shelfshelf.PlaceUnknown {
		t.Errorf("unknown engine: %+v", got)
	}
}

// The line goes by what has begun, rank, tier and time; asks that have waited for long
// enough are left out.
func TestLineOrder(t *testing.T) {
	d := newDesk(1)
	d.Ask(holder(1), 1, ask(0, 0))
	begun := ask(2, time.Second)
	begun.Begun = true
	late := ask(0, 10*time.Millisecond)
	ranked := ask(0, time.Second)
	ranked.Rank = 1
	for id, a := range []shelfshelf.PlaceAsk{ask(2, time.Second), ranked, ask(1, time.Second), late, ask(1, time.Second), begun} {
		d.Ask(holder(2), shelfshelf.PlaceID(10+id), a)
	}
	d.clock.Advance(20 * time.Millisecond)
	d.Release(holder(1), 1)
	for len(d.granted) > 0 && len(d.granted) < 5 {
		d.Release(holder(2), d.granted[len(d.granted)-1])
	}
	want := []shelfshelf.PlaceID{15, 12, 14, 10, 11}
	if len(d.granted) != len(want) {
		t.Fatalf("%v", d.granted)
	}
	for i := range want {
		if d.granted[i] != want[i] {
			t.Fatalf("%v", d.granted)
		}
	}
}

// Within a tier the shortest stay goes first: a place serves more callers that way.
func TestShorterStaysGoFirst(t *testing.T) {
	d := newDesk(1)
	d.Ask(holder(1), 1, ask(0, 0))
	for id, stay := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second, time.Second} {
		a := ask(1, time.Minute)
		a.Stay = stay
		d.Ask(holder(2), shelfshelf.PlaceID(10+id), a)
	}
	higher := ask(0, time.Minute)
	higher.Stay = time.Minute
	d.Ask(holder(2), 14, higher)
	d.Release(holder(1), 1)
	for range 4 {
		d.Release(holder(2), d.granted[len(d.granted)-1])
	}
	want := []shelfshelf.PlaceID{14, 11, 13, 12, 10}
	if !slices.Equal(d.granted, want) {
		t.Errorf("%v, not %v", d.granted, want)
	}
}

// The last place of an engine is for the highest tier and for what has begun.
func TestLastPlaceIsReserved(t *testing.T) {
	d := newDesk(4)
	for id := range shelfshelf.PlaceID(3) {
		if got := d.Ask(holder(1), id+1, ask(1, 0)); got.Outcome != shelfshelf.PlaceGranted {
			t.Fatalf("%d: %+v", id, got)
		}
	}
	if got := d.Ask(holder(1), 4, ask(1, 0)); got.Outcome != shelfshelf.PlaceWaits {
		t.Errorf("%+v", got)
	}
	if got := d.Ask(holder(1), 5, ask(0, 0)); got.Outcome != shelfshelf.PlaceGranted {
		t.Errorf("%+v", got)
	}
}

// What a holder's list lacks is free, what it has besides the book is taken, and what
// was granted a moment ago may not have reached the list yet.
func TestSyncMendsTheBook(t *testing.T) {
	d := newDesk(5)
	d.Ask(holder(1), 1, ask(0, 0))
	d.Ask(holder(1), 2, ask(0, 0))
	d.clock.Advance(time.Second)
	d.Ask(holder(1), 3, ask(0, 0))
	d.Sync(holder(1), map[shelfshelf.PlaceID]shelfshelf.TargetKey{2: engine, 9: engine})
	if got := d.Held(engine); got != 3 {
		t.Errorf("%d held, want 2, 3 and 9", got)
	}
}

// An owner that has just begun also counts what it was told of an engine, until the
// holders have repeated what they hold.
func TestNewOwnersCountWhatTheyWereTold(t *testing.T) {
	d := newDesk(3)
	d.told = 3
	if got := d.Ask(holder(1), 1, ask(0, 0)); got.Outcome != shelfshelf.PlaceWaits {
		t.Errorf("%+v", got)
	}
	d.clock.Advance(2 * time.Second)
	if got := d.Ask(holder(1), 2, ask(0, 0)); got.Outcome != shelfshelf.PlaceGranted {
		t.Errorf("%+v", got)
	}
}

func TestSilentHoldersLoseTheirPlaces(t *testing.T) {
	d := newDesk(1)
	d.Ask(holder(1), 1, ask(0, 0))
	for range 4 {
		d.clock.Advance(time.Second)
		d.Sweep(holder(9))
	}
	if got := d.Ask(holder(2), 1, ask(0, 0)); got.Outcome != shelfshelf.PlaceGranted {
		t.Errorf("%+v", got)
	}
}

// Whatever holders do, an engine never has more places taken than it has, and once all
// is given back none is.
func TestBookHoldsUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDesk(rapid.IntRange(1, 6).Draw(t, "slots"))
		open := make(map[shelfshelf.PlaceID]int)
		for id := shelfshelf.PlaceID(1); id < 60; id++ {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				from := rapid.IntRange(1, 4).Draw(t, "holder")
				open[id] = from
				d.Ask(holder(from), id, ask(shelfshelf.Tier(rapid.IntRange(0, 2).Draw(t, "tier")), time.Second))
			case 2:
				for other, from := range open {
					d.Release(holder(from), other)
					delete(open, other)
					break
				}
			case 3:
				d.clock.Advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			}
			if held := d.Held(engine); held > d.slots {
				t.Fatalf("%d of %d places are taken", held, d.slots)
			}
		}
		for id, from := range open {
			d.Release(holder(from), id)
		}
		if held := d.Held(engine); held != 0 {
			t.Fatalf("%d places are left taken", held)
		}
	})
}
