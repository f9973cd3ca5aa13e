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

func named(perSecond float64) shelfshelf.Answer {
	return shelfshelf.Answer{Limit: shelfshelf.RateLimit{Named: true, PerSecond: perSecond}}
}

func newRecord(clock shelfshelf.Clock) *announced.Record {
	return &announced.Record{
		Clock: clock, Log: log.New(io.Discard), Changed: func(shelfshelf.TargetKey, bool) {},
	}
}

// said returns what a record says of the target, with the life that has said it, if it said anything.
func said(r *announced.Record) shelfshelf.TargetWord {
	word := r.Said(key)
	if word.Version == 0 && !word.Leaving {
		word.Born = time.Time{}
	}
	return word
}

// perSecond returns a target's limit as a record knows it; -1 if there is none.
func perSecond(r *announced.Record) float64 {
	told := r.Said(key)
	if !told.Limit.Named {
		return -1
	}
	return told.Limit.PerSecond
}

// A limit ends with the first answer without one whose request was sent after it was known:
// heads of answers that are older may come later.
func TestLimitsEndWithAnAnswerThatKnowsBetter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	before := clock.Now()
	clock.Advance(time.Second)
	r.Answered(target, named(1.5), before)
	r.Answered(target, shelfshelf.Answer{}, before)
	if got := perSecond(r); got != 1.5 {
		t.Errorf("after an answer to an older request: %v", got)
	}
	clock.Advance(time.Second)
	r.Answered(target, shelfshelf.Answer{LimitUnread: "few"}, clock.Now())
	r.Answered(target, shelfshelf.Answer{OtherTarget: true}, clock.Now())
	if got := perSecond(r); got != 1.5 {
		t.Errorf("after a word that can't be read, and one of another target: %v", got)
	}
	r.Answered(target, shelfshelf.Answer{}, clock.Now())
	if got := perSecond(r); got != -1 {
		t.Errorf("after an answer without a limit: %v", got)
	}
}

// A target that starts again under its name has announced nothing, and one that isn't listed
// any more is forgotten.
func TestLimitsBelongToALife(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(1, 0)}})
	r.Answered(target, named(2), clock.Now())
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(1, 0)}})
	if got := perSecond(r); got != 2 {
		t.Errorf("in the same life: %v", got)
	}
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(2, 0)}})
	if got := perSecond(r); got != -1 {
		t.Errorf("in its second life: %v", got)
	}
	clock.Advance(2 * time.Minute)
	r.Targets(nil)
	if told := r.Told(); len(told) != 0 {
		t.Errorf("%+v", told)
	}
}

// Statuses have room for a part only: a change goes first, and all others have their turn.
func TestManyLimitsAreToldInTurn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	const count = 100
	for i := range count {
		r.Heard([]shelfshelf.TargetWord{{Target: shelfshelf.TargetKey(i + 1), Version: 1, Limit: shelfshelf.RateLimit{Named: true, PerSecond: 1}}})
	}
	clock.Advance(5 * time.Second)
	r.Answered(target, named(3), clock.Now())
	seen := make(map[shelfshelf.TargetKey]bool)
	for range 7 {
		told := r.Told()
		if len(told) > 16 || !slices.ContainsFunc(told, func(l shelfshelf.TargetWord) bool { return l.Target == key }) {
			t.Errorf("%d words, the change is not among them: %+v", len(told), told)
		}
		for _, limit := range told {
			seen[limit.Target] = true
		}
	}
	if len(seen) != count+1 {
		t.Errorf("%d of %d were told in 7 statuses", len(seen), count+1)
	}
}

// That a target leaves holds for its life, whatever its later answers and entries say, and also
// where its entry was gone for a time. Its next life has not said it.
func TestLeavingHoldsForALife(t *testing.T) {
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
	if told := r.Told(); len(told) != 0 {
		t.Errorf("a target that is gone is told of: %+v", told)
	}
	r.Targets([]shelfshelf.Target{first})
	if !r.Said(key).Leaving || r.Leaving() != 1 || len(r.Told()) != 1 {
		t.Errorf("after its entry came back: %+v, told %+v", r.Said(key), r.Told())
	}
	first.Leaving = true
	r.Targets([]shelfshelf.Target{first})
	if r.Leaving() != 0 || len(r.Told()) != 0 {
		t.Errorf("what the entry says is told: %+v", r.Told())
	}
	r.Targets([]shelfshelf.Target{second})
	if r.Said(key).Leaving {
		t.Error("its second life leaves too")
	}
	// Words of its first life still come, and the store may list it from an older copy.
	r.Heard([]shelfshelf.TargetWord{{Target: key, Born: first.Born, Leaving: true, Version: 9, Limit: shelfshelf.RateLimit{Named: true}}})
	r.Answered(first, shelfshelf.Answer{Leaving: true}, clock.Now())
	r.Targets([]shelfshelf.Target{first})
	if said := r.Said(key); said.Leaving || said.Limit.Named {
		t.Errorf("its first life speaks for its second one: %+v", said)
	}
}

// A rest is no word to other instances, outlives the target's entry and ends with its life; of
// several the one that ends last counts.
func TestRestIsAskedOfOneInstance(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	first := shelfshelf.Target{Name: name, Born: time.Unix(1, 0)}
	r.Targets([]shelfshelf.Target{first})
	began := clock.Now()
	for _, rest := range []time.Duration{3 * time.Second, time.Second, 10 * time.Minute, 0} {
		r.Answered(first, shelfshelf.Answer{Rest: rest}, clock.Now())
	}
	if told := r.Told(); len(told) != 0 {
		t.Errorf("%+v", told)
	}
	r.Targets(nil)
	clock.Advance(9 * time.Minute)
	r.Targets([]shelfshelf.Target{first})
	if got := r.Said(key).RestUntil.Sub(began); got != 10*time.Minute || r.Resting() != 1 {
		t.Errorf("it rests for %v, %d rest", got, r.Resting())
	}
	r.Targets([]shelfshelf.Target{{Name: name, Born: time.Unix(2, 0)}})
	if !r.Said(key).RestUntil.IsZero() || r.Resting() != 0 {
		t.Errorf("in its second life: %+v", r.Said(key))
	}
}

// A word that leaves nothing to read changes nothing.
func TestUnreadWordsChangeNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecord(clock)
	r.Answered(target, shelfshelf.Answer{LeavingUnread: "soon", LimitUnread: "few", RestUnread: "a while"}, clock.Now())
	r.Answered(target, shelfshelf.Answer{Leaving: true, OtherTarget: true}, clock.Now())
	if said := r.Said(key); said != (shelfshelf.TargetWord{Target: key}) {
		t.Errorf("%+v", said)
	}
	r.Answered(target, shelfshelf.Answer{Leaving: true, LimitUnread: "few"}, clock.Now())
	if !r.Said(key).Leaving {
		t.Error("beside a limit that can't be read the word of leaving isn't read either")
	}
}

// However words are lost, repeated and come in another order, instances that have heard the
// same say the same, and the word that was read last by one that knew all others counts. Who
// has read that a target leaves knows it until it hears of a later life.
func TestInstancesAgreeOnWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lives := rapid.Bool().Draw(t, "lives are told")
		var newest time.Time
		born := func(t *rapid.T) time.Time {
			if !lives {
				return time.Time{}
			}
			at := time.Unix(rapid.Int64Range(1, 3).Draw(t, "born"), 0)
			if at.After(newest) {
				newest = at
			}
			return at
		}
		var left [4]shelfshelf.TargetWord
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
					answer = named(rapid.Float64Range(0, 9).Draw(t, "limit"))
				}
				answer.Leaving = rapid.IntRange(0, 5).Draw(t, "leaves") == 0
				clock.Advance(time.Millisecond)
				by := pick.Draw(t, "by")
				of := shelfshelf.Target{Name: name, Born: born(t)}
				records[by].Answered(of, answer, clock.Now())
				if answer.Leaving && !of.Born.Before(left[by].Born) {
					left[by] = shelfshelf.TargetWord{Leaving: true, Born: of.Born}
				}
			},
			"list": func(t *rapid.T) {
				records[pick.Draw(t, "at")].Targets([]shelfshelf.Target{{Name: name, Born: born(t)}})
			},
			"": func(t *rapid.T) {
				for i, r := range records {
					said := r.Said(key)
					if left[i].Leaving && !said.Leaving && !said.Born.After(left[i].Born) {
						t.Fatalf("%+v, though it leaves: %+v", said, left[i])
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
		// All come to read the same list.
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
			if diff := cmp.Diff(said(records[0]), said(r)); diff != "" {
				t.Fatal(diff)
			}
		}
		clock.Advance(time.Millisecond)
		last := rapid.Float64Range(10, 20).Draw(t, "last")
		records[0].Answered(shelfshelf.Target{Name: name, Born: records[0].Said(key).Born}, named(last), clock.Now())
		for _, r := range records {
			r.Heard(records[0].Told())
			r.Heard(append([]shelfshelf.TargetWord(nil), records[1].Told()...))
			if perSecond(r) != last {
				t.Fatalf("%v, not %v", perSecond(r), last)
			}
		}
	})
}
