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
		answer := shelfshelf.SavedUses{}
		var failure error
		d.instances[0].relay.Uses = func() (shelfshelf.SavedUses, error) { return answer, failure }
		fetch := func() (shelfshelf.SavedUses, error) {
			return d.instances[1].relay.FetchUses(d.ctx, d.instances[0].name+":80")
		}
		answer = shelfshelf.SavedUses{Age: time.Second, Uses: []shelfshelf.SavedUse{
			{DataCentre: "a", Customer: 7, Parts: [shelfshelf.UseParts]float64{1, 2, 3, 4}},
		}}
		got, err := fetch()
		if err != nil || cmp.Diff(answer.Uses, got.Uses) != "" || got.Age < answer.Age || got.Age > answer.Age+time.Second {
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
