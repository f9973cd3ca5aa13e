package relay_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shelfshelf/shelfshelf"
)

// What is known of targets that ended comes whole from another instance; one that has not
// recalled it yet says so, rather than that there is nothing.
func TestCrashesComeFromOtherInstances(t *testing.T) {
	t.Parallel()
	simulate(t, func(d *deployment) {
		d.start(2, narrow, 0)
		known := []shelfshelf.Crash{{ID: 1<<64 - 1, Age: time.Minute, Runs: []shelfshelf.CrashedRun{{Request: 3}, {Request: 1<<64 - 1, Outlived: true}}}}
		var failure error
		d.members[0].relay.Crashes = func() ([]shelfshelf.Crash, error) { return known, failure }
		got, err := d.members[1].relay.FetchCrashes(d.ctx, d.members[0].name+":80")
		if diff := cmp.Diff(known, got); err != nil || diff != "" {
			t.Errorf("%v %s", err, diff)
		}
		failure = shelfshelf.ErrUnavailable
		if _, err := d.members[1].relay.FetchCrashes(d.ctx, d.members[0].name+":80"); err == nil {
			t.Error("nothing is taken for all")
		}
	})
}
