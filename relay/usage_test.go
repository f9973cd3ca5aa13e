package relay_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shelfshelf/shelfshelf"
)

// An instance fetches the usage of customers, with its age, from another one. The answer that no usage
// was saved differs from the answer that the usage is not known yet.
func TestUsageIsFetchedFromOtherInstances(t *testing.T) {
	t.Parallel()
	simulate(t, func(d *deployment) {
		d.start(2, narrowLink, 0)
		answer := shelfshelf.SavedUsages{}
		var failure error
		d.instances[0].relay.Usage = func() (shelfshelf.SavedUsages, error) { return answer, failure }
		fetch := func() (shelfshelf.SavedUsages, error) {
			return d.instances[1].relay.FetchUsage(d.ctx, d.instances[0].name+":80")
		}
		answer = shelfshelf.SavedUsages{Age: time.Second, Usage: []shelfshelf.SavedUsage{
			{DataCentre: "a", Customer: 7, Buckets: [shelfshelf.UsageBuckets]float64{1, 2, 3, 4}},
		}, Gaps: []shelfshelf.UsageGap{{From: 3 * time.Second, To: time.Second}}}
		got, err := fetch()
		if err != nil || cmp.Diff(answer.Usage, got.Usage) != "" || cmp.Diff(answer.Gaps, got.Gaps) != "" || got.Age < answer.Age || got.Age > answer.Age+time.Second {
			t.Errorf("%+v %v", got, err)
		}
		failure = shelfshelf.ErrNotFound
		if _, err := fetch(); !errors.Is(err, shelfshelf.ErrNotFound) {
			t.Errorf("nothing saved: %v", err)
		}
		failure = shelfshelf.ErrUnavailable
		if _, err := fetch(); err == nil || errors.Is(err, shelfshelf.ErrNotFound) {
			t.Errorf("not known: %v", err)
		}
	})
}
