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

const deadly = shelfshelf.Fingerprint(1)

func newRecord(clock shelfshelf.Clock, self string) *crashes.Record {
	return &crashes.Record{Clock: clock, Log: log.New(io.Discard), Self: shelfshelf.InstanceID(self)}
}

func target(name string) shelfshelf.Target {
	return shelfshelf.Target{Name: shelfshelf.TargetName(name)}
}

func endUnder(r *crashes.Record, clock shelfshelf.Clock, name string, requests ...shelfshelf.Fingerprint) {
	r.Ended(target(name), requests, clock.Now())
}

// Instances that see different parts of the same ends, tell each other with losses and in
// any order, and each hear of runs that outlived them, know the same once each has had all
// of another one that has.
func TestRecordsAgree(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		records := []*crashes.Record{newRecord(clock, "a"), newRecord(clock, "b"), newRecord(clock, "c")}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := records[rapid.IntRange(0, 2).Draw(t, "at")]
			request := shelfshelf.Fingerprint(rapid.IntRange(1, 6).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				endUnder(r, clock, fmt.Sprint("t", rapid.IntRange(0, 8).Draw(t, "target")), request, request+1)
			case 2:
				r.Outlived(request)
			case 3:
				news := r.News(true)
				if len(news) > 0 && rapid.Bool().Draw(t, "comes") {
					records[rapid.IntRange(0, 2).Draw(t, "to")].Heard(news, rapid.Bool().Draw(t, "wide"))
				}
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		for range 2 {
			for i, r := range records {
				r.Heard(records[(i+1)%len(records)].All(), true)
			}
		}
		for _, r := range records[1:] {
			if r.Hash() != records[0].Hash() || r.HeldBack() != records[0].HeldBack() {
				t.Fatalf("%v and %v", records[0].All(), r.All())
			}
		}
	})
}

func TestTheSameEndCountsOnce(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	a, b := newRecord(clock, "a"), newRecord(clock, "b")
	for i := range 3 {
		// Both saw it, with a try each, the second one some ms later.
		endUnder(a, clock, "t1", deadly)
		clock.Advance(20 * time.Millisecond)
		endUnder(b, clock, "t1", deadly)
		b.Heard(a.News(true), false)
		if _, held := b.Held(deadly, "r"); held != (i == 2) {
			t.Errorf("held back after %d ends: %t", i+1, held)
		}
		// The target starts again under its name.
		clock.Advance(3 * time.Second)
	}
}

// An earlier life's end says nothing of a later one that ended soon after.
func TestLivesEndEachForItself(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newRecord(clock, "a")
	for life := range 3 {
		born := target("t1")
		born.Born = time.UnixMilli(int64(1000 + life))
		r.Ended(born, []shelfshelf.Fingerprint{deadly}, clock.Now())
		clock.Advance(300 * time.Millisecond)
	}
	if hold, held := r.Held(deadly, "r"); !held || hold.Ends != 3 {
		t.Errorf("%+v %t", hold, held)
	}
}

// At the end of a hold one try is let through, not one a caller or instance; the next hold
// is twice as long.
func TestHoldsEndWithOneTry(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	records := []*crashes.Record{newRecord(clock, "a"), newRecord(clock, "b"), newRecord(clock, "c")}
	for i := range 3 {
		endUnder(records[0], clock, fmt.Sprint("t", i), deadly)
	}
	for _, r := range records[1:] {
		r.Heard(records[0].News(true), true)
	}
	ends := 3
	for range 20_000 {
		clock.Advance(10 * time.Second)
		var news []shelfshelf.Crash
		for i, r := range records {
			for caller := range 3 {
				id := shelfshelf.RequestID(fmt.Sprint("r", i, "-", caller))
				if _, held := r.Held(deadly, id); held {
					continue
				}
				if _, held := r.Held(deadly, id); held {
					t.Fatal("the try is held back right before it is sent")
				}
				ends++
				endUnder(r, clock, fmt.Sprint("t", ends), deadly)
				news = r.News(true)
			}
		}
		for _, r := range records {
			r.Heard(news, true)
			r.Heard(records[0].All(), true)
		}
	}
	// 55 hours have room for holds of 10, 20, 40, ... 1,280 minutes, eight in all, or fewer
	// where each lasts a part longer.
	if ends < 3+5 || ends > 3+8 {
		t.Errorf("%d targets ended", ends)
	}
}

// Who was only unlucky is served again at the end of its hold, and free from then on.
func TestWhoOutlivesItsTryIsFree(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newRecord(clock, "a")
	for i := range 3 {
		endUnder(r, clock, fmt.Sprint("t", i), deadly)
	}
	hold, held := r.Held(deadly, "r1")
	if !held || hold.Left < 10*time.Minute || hold.Left > 20*time.Minute || r.HeldBack() != 1 {
		t.Fatalf("%+v %t", hold, held)
	}
	clock.Advance(hold.Left)
	if _, held := r.Held(deadly, "r1"); held {
		t.Fatal("still held back")
	}
	r.Outlived(deadly)
	for _, id := range []shelfshelf.RequestID{"r2", "r3"} {
		if _, held := r.Held(deadly, id); held {
			t.Errorf("%s is held back", id)
		}
	}
}

// What is told with statuses is bounded, and what is remembered too.
func TestRecordsAreBounded(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newRecord(clock, "a")
	for i := range 1200 {
		var requests []shelfshelf.Fingerprint
		for j := range 300 {
			requests = append(requests, shelfshelf.Fingerprint(1000*i+j))
		}
		if i%100 != 0 {
			requests = requests[:8]
		}
		endUnder(r, clock, fmt.Sprint("t", i), requests...)
		clock.Advance(time.Millisecond)
	}
	all := r.All()
	if len(all) != 1000 || all[0].Age > all[999].Age {
		t.Errorf("%d are remembered", len(all))
	}
	told := 0
	for _, c := range r.News(true) {
		told += len(c.Runs)
	}
	if told == 0 || told > 600 {
		t.Errorf("%d runs in one status", told)
	}
	clock.Advance(8 * 24 * time.Hour)
	endUnder(r, clock, "t", 7)
	if all := r.All(); len(all) != 1 {
		t.Errorf("%d are remembered after eight days", len(all))
	}
	fresh := newRecord(clock, "b")
	fresh.Heard(r.All(), false)
	if fresh.Hash() != r.Hash() {
		t.Error("what was forgotten still counts in the hash")
	}
}
