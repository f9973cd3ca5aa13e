package gossip

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

func newCountingNode(clock shelfshelf.Clock) *Node {
	n := &Node{
		Clock: clock, Log: log.New(io.Discard), DataCentres: []shelfshelf.DataCentre{"a", "b", "c"},
		Handler: &testInstance{receivedAt: make(map[shelfshelf.InstanceID]time.Time), digests: make(map[shelfshelf.DataCentre]int)},
		Self:    shelfshelf.Instance{ID: "a0", DataCentre: "a", Address: "10.0.0.1:1"},
	}
	n.Init()
	return n
}

func listed(centre shelfshelf.DataCentre, count int) []shelfshelf.Instance {
	var instances []shelfshelf.Instance
	for i := range count {
		id := shelfshelf.InstanceID(fmt.Sprintf("%s%d", centre, i+1))
		instances = append(instances, shelfshelf.Instance{ID: id, DataCentre: centre, Address: "10.0.0.2:1"})
	}
	return instances
}

// An instance that has just started must not take itself for the only one: it counts those that are
// listed, and data centres whose list it has not read, until it could have heard from them.
func TestStartingInstancesCountThoseNotHeardYet(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newCountingNode(clock)
	check := func(what string, want Census) {
		t.Helper()
		if got := n.Census(); got != want {
			t.Errorf("%s: %+v, want %+v", what, got, want)
		}
	}
	check("nothing is listed", Census{Known: 3, Live: 3, LiveLocal: 1, Unheard: 3})
	n.addPeers(listed("a", 1))
	check("its data centre is listed", Census{Known: 6, Live: 6, LiveLocal: 1, Unheard: 6})
	n.addPeers(listed("b", 2))
	n.addPeers(listed("c", 1))
	n.setRemotesKnown()
	check("all are listed", Census{Known: 5, Live: 5, LiveLocal: 1, Unheard: 4})
	n.handleMessage(message{kind: kindStatus, status: shelfshelf.Status{
		From: listed("a", 1)[0], Incarnation: 1, Sequence: 1,
		Digests: []shelfshelf.Digest{{DataCentre: "b", Instances: 2}, {DataCentre: "c", Instances: 1}},
	}})
	check("all are heard", Census{Known: 5, Live: 5, LiveLocal: 2})
	clock.Advance(SilentAfter)
	check("all are silent", Census{Known: 5, Live: 1, LiveLocal: 1})
}
