package announced_test

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
)

// How brittle a target is reaches other instances beside its limit, in an entry of its own whose rate no older
// build takes for a limit.
func TestBrittleTargetsAreToldBesideTheirLimits(t *testing.T) {
	known := shelfshelf.TargetAnnouncement{
		Target: 7, StartedAt: time.UnixMilli(5), Limit: shelfshelf.RateLimit{Set: true, PerSecond: 3}, Version: 2, Brittle: 4, BrittleVersion: 1,
	}
	wire := announced.ToWire([]shelfshelf.TargetAnnouncement{known})
	for _, entry := range wire[1:] {
		if (shelfshelf.RateLimit{Set: entry.Named, PerSecond: entry.PerSecond}).Valid() {
			t.Errorf("an older build takes %+v for a limit", entry)
		}
	}
	got := announced.FromWire(wire)
	if len(got) != 2 || got[0].Limit != known.Limit || got[0].Version != 2 || got[0].BrittleVersion != 0 {
		t.Fatalf("%+v", got)
	}
	if got[1].Brittle != 4 || got[1].BrittleVersion != 1 || got[1].Version != 0 || !got[1].StartedAt.Equal(known.StartedAt) {
		t.Errorf("%+v", got[1])
	}
	ended := shelfshelf.TargetAnnouncement{Target: 7, BrittleVersion: 2}
	if got := announced.FromWire(announced.ToWire([]shelfshelf.TargetAnnouncement{ended})); got[len(got)-1].Brittle != 0 || got[len(got)-1].BrittleVersion != 2 {
		t.Errorf("%+v", got)
	}
}
