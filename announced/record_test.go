package announced_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
)

const name shelfshelf.TargetName = "t"

var (
	key    = shelfshelf.KeyOfTarget(name)
	target = shelfshelf.Target{Name: name}
)

// limited returns a response that announces a limit.
func limited(perSecond float64) shelfshelf.Answer {
	return shelfshelf.Answer{Limit: shelfshelf.RateLimit{Named: true, PerSecond: perSecond}}
}

func newRecord(clock shelfshelf.Clock) *announced.Record {
	return &announced.Record{
		Clock: clock, Log: log.New(io.Discard), Changed: func(shelfshelf.TargetKey, bool) {},
	}
}

// announcementOf returns a record's announcement of the target. It clears Born if the target has announced
// nothing.
func announcementOf(r *announced.Record) shelfshelf.TargetWord {
	known := r.Said(key)
	if known.Version == 0 && !known.Leaving {
		known.Born = time.Time{}
	}
	return known
}

// perSecond returns the target's limit in a record, or -1 if there is none.
func perSecond(r *announced.Record) float64 {
	known := r.Said(key)
	if !known.Limit.Named {
		return -1
	}
	return known.Limit.PerSecond
}

// A response without a limit ends a known limit only if its request was sent after the limit was known,
// because headers of responses to earlier requests can arrive later.
func TestLimitEndsWithLaterResponseWithoutIt(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	before := clock.Now()
	clock.Advance(time.Second)
	r.Answered(target, limited(1.5), before)
	r.Answered(target, shelfshelf.Answer{}, before)
	if got := perSecond(r); got != 1.5 {
		t.Errorf("limit after a response to an earlier request: %v", got)
	}
	clock.Advance(time.Second)
	r.Answered(target, shelfshelf.Answer{LimitUnread: "few"}, clock.Now())
	r.Answered(target, shelfshelf.Answer{OtherTarget: true}, clock.Now())
	if got := perSecond(r); got != 1.5 {
		t.Errorf("limit after an unreadable limit and a response from another target: %v", got)
	}
	r.Answered(target, shelfshelf.Answer{}, clock.Now())
	if got := perSecond(r); got != -1 {
		t.Errorf("limit after a response without one: %v", got)
	}
}

// A restarted target doesn't inherit the limit of its previous process, and the announcements of an
// unlisted target are removed.
func TestLimitBelongsToOneProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(1, 0)}})
	r.Answered(target, limited(2), clock.Now())
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(1, 0)}})
	if got := perSecond(r); got != 2 {
		t.Errorf("limit in the same process: %v", got)
	}
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(2, 0)}})
	if got := perSecond(r); got != -1 {
		t.Errorf("limit after a restart: %v", got)
	}
	clock.Advance(2 * time.Minute)
	r.Targets(nil)
	if sent := r.Told(); len(sent) != 0 {
		t.Errorf("announcements of an unlisted target: %+v", sent)
	}
}

// With more limits than fit into a status, recent changes are in each status and the others are sent in
// rotation.
func TestManyLimitsAreSentInRotation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	const count = 100
	for i := range count {
		r.Heard([]shelfshelf.TargetWord{{Target: shelfshelf.TargetKey(i + 1), Version: 1, Limit: shelfshelf.RateLimit{Named: true, PerSecond: 1}}})
	}
	clock.Advance(5 * time.Second)
	r.Answered(target, limited(3), clock.Now())
	seen := make(map[shelfshelf.TargetKey]bool)
	for range 7 {
		sent := r.Told()
		if len(sent) > 16 || !slices.ContainsFunc(sent, func(l shelfshelf.TargetWord) bool { return l.Target == key }) {
			t.Errorf("%d announcements (at most 16, with the recent change): %+v", len(sent), sent)
		}
		for _, limit := range sent {
			seen[limit.Target] = true
		}
	}
	if len(seen) != count+1 {
		t.Errorf("%d of %d limits were sent in 7 statuses", len(seen), count+1)
	}
}

// A shutdown announcement lasts for the target's process, whatever later responses and entries say and
// also if the entry was missing for a time. It doesn't apply to the next process.
func TestLeavingLastsForOneProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	first := shelfshelf.Target{Name: name, Born: time.Unix(1, 0)}
	second := shelfshelf.Target{Name: name, Born: time.Unix(2, 0)}
	r.Targets([]shelfshelf.Target{first})
	r.Answered(first, shelfshelf.Answer{Leaving: true}, clock.Now())
	clock.Advance(time.Second)
	r.Answered(first, shelfshelf.Answer{}, clock.Now())
	r.Answered(first, shelfshelf.Answer{OtherTarget: true}, clock.Now())
	r.Targets(nil)
	clock.Advance(10 * time.Minute)
	if sent := r.Told(); len(sent) != 0 {
		t.Errorf("an unlisted target is sent: %+v", sent)
	}
	r.Targets([]shelfshelf.Target{first})
	if !r.Said(key).Leaving || r.Leaving() != 1 || len(r.Told()) != 1 {
		t.Errorf("after its entry came back: %+v, sent %+v", r.Said(key), r.Told())
	}
	first.Leaving = true
	r.Targets([]shelfshelf.Target{first})
	if r.Leaving() != 0 || len(r.Told()) != 0 {
		t.Errorf("a shutdown that the entry shows is sent: %+v", r.Told())
	}
	r.Targets([]shelfshelf.Target{second})
	if r.Said(key).Leaving {
		t.Error("the next process inherited the shutdown announcement")
	}
	// Late messages of the first process arrive, and the store lists it again from an older copy.
	r.Heard([]shelfshelf.TargetWord{{Target: key, Born: first.Born, Leaving: true, Version: 9, Limit: shelfshelf.RateLimit{Named: true}}})
	r.Answered(first, shelfshelf.Answer{Leaving: true}, clock.Now())
	r.Targets([]shelfshelf.Target{first})
	if known := r.Said(key); known.Leaving || known.Limit.Named {
		t.Errorf("announcements of the first process apply to the second: %+v", known)
	}
}

// A backoff is not sent to other instances, is kept while the target is unlisted and ends with its
// process. Of several backoffs the one that ends last applies.
func TestBackoffIsLocalToOneInstance(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	first := shelfshelf.Target{Name: name, Born: time.Unix(1, 0)}
	r.Targets([]shelfshelf.Target{first})
	began := clock.Now()
	for _, backoff := range []time.Duration{3 * time.Second, time.Second, 10 * time.Minute, 0} {
		r.Answered(first, shelfshelf.Answer{Rest: backoff}, clock.Now())
	}
	if sent := r.Told(); len(sent) != 0 {
		t.Errorf("a backoff is sent: %+v", sent)
	}
	r.Targets(nil)
	clock.Advance(9 * time.Minute)
	r.Targets([]shelfshelf.Target{first})
	if got := r.Said(key).RestUntil.Sub(began); got != 10*time.Minute || r.Resting() != 1 {
		t.Errorf("backoff of %v, %d targets in backoff", got, r.Resting())
	}
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(2, 0)}})
	if !r.Said(key).RestUntil.IsZero() || r.Resting() != 0 {
		t.Errorf("after a restart: %+v", r.Said(key))
	}
}

// Unreadable announcements are ignored without affecting the readable ones beside them.
func TestUnreadableAnnouncementsAreIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	r.Answered(target, shelfshelf.Answer{LeavingUnread: "soon", LimitUnread: "few", RestUnread: "a while"}, clock.Now())
	r.Answered(target, shelfshelf.Answer{Leaving: true, OtherTarget: true}, clock.Now())
	if known := r.Said(key); known != (shelfshelf.TargetWord{Target: key}) {
		t.Errorf("unreadable announcements were recorded: %+v", known)
	}
	r.Answered(target, shelfshelf.Answer{Leaving: true, LimitUnread: "few"}, clock.Now())
	if !r.Said(key).Leaving {
		t.Error("a shutdown announcement beside an unreadable limit was ignored")
	}
}

// Instances converge on the same announcements however messages are lost, repeated and reordered, and
// the latest one, read by an instance that knew all others, wins. An instance that read a shutdown
// announcement keeps it until it learns of a later process.
func TestInstancesConvergeOnAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processesKnown := rapid.Bool().Draw(t, "processes are known")
		var newest time.Time
		born := func(t *rapid.T) time.Time {
			if !processesKnown {
				return time.Time{}
			}
			at := time.Unix(rapid.Int64Range(1, 3).Draw(t, "born"), 0)
			if at.After(newest) {
				newest = at
			}
			return at
		}
		var leaving [4]shelfshelf.TargetWord
		clock := clockwork.NewFakeClock()
		records := make([]*announced.Record, 4)
		for i := range records {
			records[i] = newRecord(clock)
		}
		var sent [][]shelfshelf.TargetWord
		pick := rapid.IntRange(0, len(records)-1)
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				answer := shelfshelf.Answer{}
				if rapid.Bool().Draw(t, "named") {
					answer = limited(rapid.Float64Range(0, 9).Draw(t, "limit"))
				}
				answer.Leaving = rapid.IntRange(0, 5).Draw(t, "leaves") == 0
				clock.Advance(time.Millisecond)
				by := pick.Draw(t, "by")
				of := shelfshelf.Target{Name: name, Born: born(t)}
				records[by].Answered(of, answer, clock.Now())
				if answer.Leaving && !of.Born.Before(leaving[by].Born) {
					leaving[by] = shelfshelf.TargetWord{Leaving: true, Born: of.Born}
				}
			},
			"list": func(t *rapid.T) {
				records[pick.Draw(t, "at")].Targets([]shelfshelf.Target{{Name: name, Born: born(t)}})
			},
			"": func(t *rapid.T) {
				for i, r := range records {
					known := r.Said(key)
					if leaving[i].Leaving && !known.Leaving && !known.Born.After(leaving[i].Born) {
						t.Fatalf("lost a shutdown announcement: %+v, read %+v", known, leaving[i])
					}
				}
			},
			"tell": func(t *rapid.T) {
				sent = append(sent, records[pick.Draw(t, "from")].Told())
			},
			"hear": func(t *rapid.T) {
				if len(sent) > 0 {
					records[pick.Draw(t, "to")].Heard(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "word")])
				}
			},
		})
		// In the end all instances read the same list.
		for _, r := range records {
			r.Targets([]shelfshelf.Target{{Name: name, Born: newest}})
		}
		for range 2 {
			for _, from := range records {
				for _, to := range records {
					to.Heard(from.Told())
				}
			}
		}
		for _, r := range records[1:] {
			if diff := cmp.Diff(announcementOf(records[0]), announcementOf(r)); diff != "" {
				t.Fatal(diff)
			}
		}
		clock.Advance(time.Millisecond)
		last := rapid.Float64Range(10, 20).Draw(t, "last")
		records[0].Answered(shelfshelf.Target{Name: name, Born: records[0].Said(key).Born}, limited(last), clock.Now())
		for _, r := range records {
			r.Heard(records[0].Told())
			r.Heard(append([]shelfshelf.TargetWord(nil), records[1].Told()...))
			if perSecond(r) != last {
				t.Fatalf("limit %v, want %v", perSecond(r), last)
			}
		}
	})
}
