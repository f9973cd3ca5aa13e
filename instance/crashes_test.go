package instance_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/instance"
)

// What one instance has seen a request do, the others know with its next heartbeat.
func TestHeartbeatsTellOfCrashes(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	var cores []*instance.Core
	for _, id := range []shelfshelf.InstanceID{"a", "b"} {
		core := &instance.Core{Clock: clock, Log: log.New(io.Discard), ID: id, DataCentre: "z", PeerAddress: string(id)}
		core.Build()
		cores = append(cores, core)
	}
	const deadly = shelfshelf.Fingerprint(1)
	for i := range 3 {
		target := shelfshelf.Target{Name: shelfshelf.TargetName(fmt.Sprint("t", i))}
		cores[0].Server.Crashes.RecordCrash(target, []shelfshelf.Fingerprint{deadly}, clock.Now())
	}
	cores[1].PeerHandler().Heard(cores[0].Members.Beat())
	if _, held := cores[1].Server.Crashes.CheckQuarantine(deadly, "r"); !held {
		t.Error("the other instance lets it through")
	}
}
