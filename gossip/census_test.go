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
	check("nothing is listed", Census{Known: 6, Live: 6, LiveLocal: 1, Unheard: 6})
	clock.Advance(SilentAfter)
	check("nothing can be listed for long", Census{Known: 6, Live: 6, LiveLocal: 1, Unheard: 6})
	n.startedAt, n.directoryReadAt = clock.Now(), clock.Now()
	n.addPeers(listed("a", 1))
	check("its data centre is listed", Census{Known: 6, Live: 6, LiveLocal: 1, Unheard: 5})
	n.addPeers(listed("b", 2))
	n.addPeers(listed("c", 1))
	check("all are known", Census{Known: 5, Live: 5, LiveLocal: 1, Unheard: 4})
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

// An instance of another data centre that is no longer heard there still counts as one that exists, as in
// its own data centre: it may be cut off and go on.
func TestSilentInstancesElsewhereStayKnown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newCountingNode(clock)
	n.addPeers(listed("b", 3))
	n.setRemotesKnown()
	for sequence, step := range []struct {
		after       time.Duration
		instances   int
		known, live int
	}{
		{0, 3, 4, 4},
		{time.Second, 2, 4, 3},
		{dormantAfter - time.Second, 2, 4, 3},
		{time.Millisecond, 2, 3, 3},
		{time.Second, 3, 4, 4},
	} {
		clock.Advance(step.after)
		n.handleMessage(message{kind: kindExchangeReply, status: shelfshelf.Status{
			From: listed("b", 1)[0], Incarnation: 1, Sequence: uint64(sequence + 1),
			Digests: []shelfshelf.Digest{{DataCentre: "b", Instances: step.instances}},
		}})
		if got := n.Census(); got.Known != step.known || got.Live != step.live {
			t.Errorf("step %d: %+v", sequence, got)
		}
	}
}

// Where the lists of other data centres can't be read, their digests tell all that matters: nobody is
// waited for any more.
func TestHeardDataCentresNeedNoList(t *testing.T) {
	n := newCountingNode(clockwork.NewFakeClock())
	n.directoryReadAt = n.startedAt
	for sequence, centre := range []shelfshelf.DataCentre{"b", "c"} {
		n.handleMessage(message{kind: kindExchangeReply, status: shelfshelf.Status{
			From: listed(centre, 1)[0], Incarnation: 1, Sequence: uint64(sequence + 1),
			Digests: []shelfshelf.Digest{{DataCentre: centre, Instances: 3}},
		}})
	}
	if got, want := n.Census(), (Census{Known: 7, Live: 7, LiveLocal: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
