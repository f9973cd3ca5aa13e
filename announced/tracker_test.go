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
func limited(perSecond float64) shelfshelf.ResponseMetadata {
	return shelfshelf.ResponseMetadata{Limit: shelfshelf.RateLimit{Set: true, PerSecond: perSecond}}
}

func newTracker(clock shelfshelf.Clock) *announced.Tracker {
	return &announced.Tracker{
		Clock: clock, Log: log.New(io.Discard), OnChange: func(shelfshelf.TargetKey, bool) {},
	}
}

// announcementOf returns a tracker's announcement of the target. It clears StartedAt if the target has announced
// nothing.
func announcementOf(r *announced.Tracker) shelfshelf.TargetAnnouncement {
	known := r.Latest(key)
	if known.Version == 0 && !known.Leaving {
		known.StartedAt = time.Time{}
	}
	return known
}

// perSecond returns the target's limit in a tracker, or -1 if there is none.
func perSecond(r *announced.Tracker) float64 {
	known := r.Latest(key)
	if !known.Limit.Set {
		return -1
	}
	return known.Limit.PerSecond
}

// A response without a limit ends a known limit only if its request was sent after the limit was known,
// because headers of responses to earlier requests can arrive later.
func TestLimitEndsWithLaterResponseWithoutIt(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTracker(clock)
	before := clock.Now()
	clock.Advance(time.Second)
	r.ObserveResponse(target, limited(1.5), before)
	r.ObserveResponse(target, shelfshelf.ResponseMetadata{}, before)
	if got := perSecond(r); got != 1.5 {
		t.Errorf("limit after a response to an earlier request: %v", got)
	}
	clock.Advance(time.Second)
	r.ObserveResponse(target, shelfshelf.ResponseMetadata{InvalidLimit: "few"}, clock.Now())
	r.ObserveResponse(target, shelfshelf.ResponseMetadata{Misdirected: true}, clock.Now())
	if got := perSecond(r); got != 1.5 {
		t.Errorf("limit after an unreadable limit and a response from another target: %v", got)
	}
	r.ObserveResponse(target, shelfshelf.ResponseMetadata{}, clock.Now())
	if got := perSecond(r); got != -1 {
		t.Errorf("limit after a response without one: %v", got)
	}
}

// A restarted target doesn't inherit the limit of its previous process, and the announcements of an
// unlisted target are removed.
func TestLimitBelongsToOneProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTracker(clock)
	r.SetTargets([]shelfshelf.Target{{Name: name, StartedAt: time.Unix(1, 0)}})
	r.ObserveResponse(target, limited(2), clock.Now())
	r.SetTargets([]shelfshelf.Target{{Name: name, StartedAt: time.Unix(1, 0)}})
	if got := perSecond(r); got != 2 {
		t.Errorf("limit in the same process: %v", got)
	}
	r.SetTargets([]shelfshelf.Target{{Name: name, StartedAt: time.Unix(2, 0)}})
	if got := perSecond(r); got != -1 {
		t.Errorf("limit after a restart: %v", got)
	}
	clock.Advance(2 * time.Minute)
	r.SetTargets(nil)
	if sent := r.ForStatus(); len(sent) != 0 {
		t.Errorf("announcements of an unlisted target: %+v", sent)
	}
}

// With more limits than fit into a status, recent changes are in each status and the others are sent in
// rotation.
func TestManyLimitsAreSentInRotation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTracker(clock)
	const count = 100
	for i := range count {
		r.Merge([]shelfshelf.TargetAnnouncement{{Target: shelfshelf.TargetKey(i + 1), Version: 1, Limit: shelfshelf.RateLimit{Set: true, PerSecond: 1}}})
	}
	clock.Advance(5 * time.Second)
	r.ObserveResponse(target, limited(3), clock.Now())
	seen := make(map[shelfshelf.TargetKey]bool)
	for range 7 {
		sent := r.ForStatus()
		if len(sent) > 16 || !slices.ContainsFunc(sent, func(l shelfshelf.TargetAnnouncement) bool { return l.Target == key }) {
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
	r := newTracker(clock)
	first := shelfshelf.Target{Name: name, StartedAt: time.Unix(1, 0)}
	second := shelfshelf.Target{Name: name, StartedAt: time.Unix(2, 0)}
	r.SetTargets([]shelfshelf.Target{first})
	r.ObserveResponse(first, shelfshelf.ResponseMetadata{Leaving: true}, clock.Now())
	clock.Advance(time.Second)
	r.ObserveResponse(first, shelfshelf.ResponseMetadata{}, clock.Now())
	r.ObserveResponse(first, shelfshelf.ResponseMetadata{Misdirected: true}, clock.Now())
	r.SetTargets(nil)
	clock.Advance(10 * time.Minute)
	if sent := r.ForStatus(); len(sent) != 0 {
		t.Errorf("an unlisted target is sent: %+v", sent)
	}
	r.SetTargets([]shelfshelf.Target{first})
	if !r.Latest(key).Leaving || r.LeavingCount() != 1 || len(r.ForStatus()) != 1 {
		t.Errorf("after its entry came back: %+v, sent %+v", r.Latest(key), r.ForStatus())
	}
	first.Leaving = true
	r.SetTargets([]shelfshelf.Target{first})
	if r.LeavingCount() != 0 || len(r.ForStatus()) != 0 {
		t.Errorf("a shutdown that the entry shows is sent: %+v", r.ForStatus())
	}
	r.SetTargets([]shelfshelf.Target{second})
	if r.Latest(key).Leaving {
		t.Error("the next process inherited the shutdown announcement")
	}
	// Late messages of the first process arrive, and the store lists it again from an older copy.
	r.Merge([]shelfshelf.TargetAnnouncement{{Target: key, StartedAt: first.StartedAt, Leaving: true, Version: 9, Limit: shelfshelf.RateLimit{Set: true}}})
	r.ObserveResponse(first, shelfshelf.ResponseMetadata{Leaving: true}, clock.Now())
	r.SetTargets([]shelfshelf.Target{first})
	if known := r.Latest(key); known.Leaving || known.Limit.Set {
		t.Errorf("announcements of the first process apply to the second: %+v", known)
	}
}

// A backoff is not sent to other instances, is kept while the target is unlisted and ends with its
// process. Of several backoffs the one that ends last applies.
func TestBackoffIsLocalToOneInstance(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTracker(clock)
	first := shelfshelf.Target{Name: name, StartedAt: time.Unix(1, 0)}
	r.SetTargets([]shelfshelf.Target{first})
	began := clock.Now()
	for _, backoff := range []time.Duration{3 * time.Second, time.Second, 10 * time.Minute, 0} {
		r.ObserveResponse(first, shelfshelf.ResponseMetadata{RetryAfter: backoff}, clock.Now())
	}
	if sent := r.ForStatus(); len(sent) != 0 {
		t.Errorf("a backoff is sent: %+v", sent)
	}
	r.SetTargets(nil)
	clock.Advance(9 * time.Minute)
	r.SetTargets([]shelfshelf.Target{first})
	if got := r.Latest(key).BackoffUntil.Sub(began); got != 10*time.Minute || r.BackoffCount() != 1 {
		t.Errorf("backoff of %v, %d targets in backoff", got, r.BackoffCount())
	}
	r.SetTargets([]shelfshelf.Target{{Name: name, StartedAt: time.Unix(2, 0)}})
	if !r.Latest(key).BackoffUntil.IsZero() || r.BackoffCount() != 0 {
		t.Errorf("after a restart: %+v", r.Latest(key))
	}
}

// Unreadable announcements are ignored without affecting the readable ones beside them.
func TestUnreadableAnnouncementsAreIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTracker(clock)
	r.ObserveResponse(target, shelfshelf.ResponseMetadata{InvalidLeaving: "soon", InvalidLimit: "few", InvalidRetryAfter: "a while"}, clock.Now())
	r.ObserveResponse(target, shelfshelf.ResponseMetadata{Leaving: true, Misdirected: true}, clock.Now())
	if known := r.Latest(key); known != (shelfshelf.TargetAnnouncement{Target: key}) {
		t.Errorf("unreadable announcements were recorded: %+v", known)
	}
	r.ObserveResponse(target, shelfshelf.ResponseMetadata{Leaving: true, InvalidLimit: "few"}, clock.Now())
	if !r.Latest(key).Leaving {
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
		startedAt := func(t *rapid.T) time.Time {
			if !processesKnown {
				return time.Time{}
			}
			at := time.Unix(rapid.Int64Range(1, 3).Draw(t, "born"), 0)
			if at.After(newest) {
				newest = at
			}
			return at
		}
		var leaving [4]shelfshelf.TargetAnnouncement
		clock := clockwork.NewFakeClock()
		trackers := make([]*announced.Tracker, 4)
		for i := range trackers {
			trackers[i] = newTracker(clock)
		}
		var sent [][]shelfshelf.TargetAnnouncement
		pick := rapid.IntRange(0, len(trackers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				answer := shelfshelf.ResponseMetadata{}
				if rapid.Bool().Draw(t, "named") {
					answer = limited(rapid.Float64Range(0, 9).Draw(t, "limit"))
				}
				answer.Leaving = rapid.IntRange(0, 5).Draw(t, "leaves") == 0
				clock.Advance(time.Millisecond)
				by := pick.Draw(t, "by")
				of := shelfshelf.Target{Name: name, StartedAt: startedAt(t)}
				trackers[by].ObserveResponse(of, answer, clock.Now())
				if answer.Leaving && !of.StartedAt.Before(leaving[by].StartedAt) {
					leaving[by] = shelfshelf.TargetAnnouncement{Leaving: true, StartedAt: of.StartedAt}
				}
			},
			"list": func(t *rapid.T) {
				trackers[pick.Draw(t, "at")].SetTargets([]shelfshelf.Target{{Name: name, StartedAt: startedAt(t)}})
			},
			"": func(t *rapid.T) {
				for i, r := range trackers {
					known := r.Latest(key)
					if leaving[i].Leaving && !known.Leaving && !known.StartedAt.After(leaving[i].StartedAt) {
						t.Fatalf("lost a shutdown announcement: %+v, read %+v", known, leaving[i])
					}
				}
			},
			"tell": func(t *rapid.T) {
				sent = append(sent, trackers[pick.Draw(t, "from")].ForStatus())
			},
			"hear": func(t *rapid.T) {
				if len(sent) > 0 {
					trackers[pick.Draw(t, "to")].Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "word")])
				}
			},
		})
		// In the end all instances read the same list.
		for _, r := range trackers {
			r.SetTargets([]shelfshelf.Target{{Name: name, StartedAt: newest}})
		}
		for range 2 {
			for _, from := range trackers {
				for _, to := range trackers {
					to.Merge(from.ForStatus())
				}
			}
		}
		for _, r := range trackers[1:] {
			if diff := cmp.Diff(announcementOf(trackers[0]), announcementOf(r)); diff != "" {
				t.Fatal(diff)
			}
		}
		clock.Advance(time.Millisecond)
		last := rapid.Float64Range(10, 20).Draw(t, "last")
		trackers[0].ObserveResponse(shelfshelf.Target{Name: name, StartedAt: trackers[0].Latest(key).StartedAt}, limited(last), clock.Now())
		for _, r := range trackers {
			r.Merge(trackers[0].ForStatus())
			r.Merge(append([]shelfshelf.TargetAnnouncement(nil), trackers[1].ForStatus()...))
			if perSecond(r) != last {
				t.Fatalf("limit %v, want %v", perSecond(r), last)
			}
		}
	})
}
