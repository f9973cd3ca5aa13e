package catalog

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

// What a read brings was changed just now only if the read waited for it and nothing was missed before.
func TestChangesOfReadsThatDontWaitCountFromTheLastAnswer(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		answered, start, want time.Time
	}{
		"the whole list":                  {time.Time{}, ago(5 * time.Millisecond), time.Time{}},
		"waited":                          {ago(time.Second), ago(time.Second), ago(promptAnswer)},
		"at once":                         {ago(6 * time.Millisecond), ago(5 * time.Millisecond), ago(6 * time.Millisecond)},
		"at once after a pause":           {ago(3 * time.Second), ago(5 * time.Millisecond), ago(3 * time.Second)},
		"a slow answer, after a pause":    {ago(3 * time.Second), ago(400 * time.Millisecond), ago(3 * time.Second)},
		"waited right after the last one": {ago(2*time.Second + promptAnswer/2), ago(2 * time.Second), ago(promptAnswer)},
	} {
		if got := (&targetReads{answeredAt: c.answered}).changedSince(c.start, now); !got.Equal(c.want) {
			t.Errorf("%s: %v ago, not %v", name, now.Sub(got), now.Sub(c.want))
		}
	}
}

// An instance that learns late that a target leaves counted from then.
func TestTargetsLeaveSinceTheyWereLastKnownToStay(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	c := &Catalog{Clock: clock, Log: log.New(io.Discard)}
	version := uint64(0)
	offer := func(leaving bool, told time.Duration, names ...shelfshelf.TargetName) {
		version++
		snapshot := Snapshot{Version: version, ValidAt: clock.Now(), LeavingSince: make(map[shelfshelf.TargetName]time.Time)}
		for _, name := range names {
			snapshot.Targets = append(snapshot.Targets, shelfshelf.Target{Name: name, Pool: "p", Leaving: leaving})
			if told > 0 {
				snapshot.LeavingSince[name] = clock.Now().Add(-told)
			}
		}
		c.OfferTargets(snapshot, "another")
	}
	check := func(what string, name shelfshelf.TargetName, want time.Time) {
		t.Helper()
		if got := c.LeavingSince(name); !got.Equal(want) {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	offer(false, 0, "a", "b")
	stayed := clock.Now()
	check("stays", "a", time.Time{})
	clock.Advance(5 * time.Second)
	offer(true, 0, "a", "b", "late")
	check("learnt late", "a", stayed)
	check("leaving as it was first listed", "late", time.Time{})
	clock.Advance(time.Second)
	offer(true, 2*time.Second, "a", "b", "late")
	check("told since when", "a", clock.Now().Add(-2*time.Second))
	check("first listed as leaving, and told", "late", clock.Now().Add(-2*time.Second))
	clock.Advance(time.Second)
	offer(true, 0, "a", "b", "late")
	check("told no more", "a", clock.Now().Add(-3*time.Second))
	if since := c.Targets().LeavingSince["a"]; !since.Equal(clock.Now().Add(-3 * time.Second)) {
		t.Errorf("others are told %v", since)
	}
	offer(false, 0, "a", "b", "late")
	check("stays again", "a", time.Time{})
	offer(true, 0, "b")
	check("gone", "a", time.Time{})
}
