package relay_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shelfshelf/shelfshelf"
)

// An instance fetches all target crashes from another one. An instance that has not restored them yet
// answers with an error instead of an empty list.
func TestCrashesAreFetchedFromOtherInstances(t *testing.T) {
	t.Parallel()
	simulate(t, func(d *deployment) {
		d.start(2, narrowLink, 0)
		records := []shelfshelf.Crash{{ID: 1<<64 - 1, Age: time.Minute, Requests: []shelfshelf.InFlightRequest{{Request: 3}, {Request: 1<<64 - 1, Cleared: true}}}}
		var failure error
		d.instances[0].relay.Crashes = func() ([]shelfshelf.Crash, error) { return records, failure }
		got, err := d.instances[1].relay.FetchCrashes(d.ctx, d.instances[0].name+":80")
		if diff := cmp.Diff(records, got); err != nil || diff != "" {
			t.Errorf("%v %s", err, diff)
		}
		failure = shelfshelf.ErrUnavailable
		if _, err := d.instances[1].relay.FetchCrashes(d.ctx, d.instances[0].name+":80"); err == nil {
			t.Error("an instance that does not know the crashes yet returned no error")
		}
	})
}
