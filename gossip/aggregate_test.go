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

// newNodeWithPeers returns a node that has received a status from count other instances of its data
// centre; those with lower numbers have wider links.
func newNodeWithPeers(count int, selfLink float64) (*Node, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	n := &Node{Clock: clock, Log: log.New(io.Discard), Self: shelfshelf.Instance{ID: "m", DataCentre: "dc", LinkMbps: selfLink}, Handler: &testInstance{}}
	n.Init()
	for i := range count {
		n.receiveFromPeer(i, 1)
	}
	n.electAggregators(clock.Now())
	return n, clock
}

// receiveFromPeer simulates a status from peer number i.
func (n *Node) receiveFromPeer(i int, sequence uint64) {
	from := shelfshelf.Instance{
		ID: shelfshelf.InstanceID(fmt.Sprintf("o%02d", i)), DataCentre: "dc", Address: fmt.Sprintf("127.0.0.1:%d", i+1),
		LinkMbps: float64(100 - i),
	}
	p := n.ensurePeer(from, n.Clock.Now())
	p.accept(message{status: shelfshelf.Status{From: from, Incarnation: 1, Sequence: sequence, Revision: 1}}, n.Clock.Now())
	p.seen = true
	p.silent = false
}

// In a small data centre all instances send each other statuses at the full rate. In a large one, only
// statuses to and from the two aggregators go at that rate; other peers get them rarely, and their
// silence timeout is correspondingly longer.
func TestOnlyLargeDataCentresAreSparse(t *testing.T) {
	t.Parallel()
	small, _ := newNodeWithPeers(maxFullMeshInstances-1, 10)
	for id, p := range small.peers {
		if small.statusInterval(p) != 0 || small.silenceTimeout(p) != SilentAfter {
			t.Fatalf("%s of %d has a status interval of %v", id, maxFullMeshInstances, small.statusInterval(p))
		}
	}
	if _, aggregating := small.aggregatedDigest(); aggregating {
		t.Error("an instance of a small data centre sends an aggregated digest")
	}
	large, _ := newNodeWithPeers(47, 10)
	for id, p := range large.peers {
		interval := large.statusInterval(p)
		if aggregator := id == "o00" || id == "o01"; aggregator != (interval == 0) {
			t.Errorf("%s has a status interval of %v", id, interval)
		}
		if interval > 0 && large.silenceTimeout(p) < 2*interval {
			t.Errorf("%s has a silence timeout of %v and a status interval of %v", id, large.silenceTimeout(p), interval)
		}
	}
	wide, _ := newNodeWithPeers(47, 200)
	if digest, aggregating := wide.aggregatedDigest(); !aggregating || digest.DataCentre != "dc" || digest.Instances != 48 {
		t.Errorf("aggregated digest of the instance with the widest link: %+v, %v", digest, aggregating)
	}
}

// When the aggregators fall silent, the next instances in order take their place.
func TestAggregatorsAreReplaced(t *testing.T) {
	t.Parallel()
	n, clock := newNodeWithPeers(47, 10)
	clock.Advance(SilentAfter + time.Millisecond)
	for i := 2; i < 47; i++ {
		n.receiveFromPeer(i, 2)
	}
	n.expirePeers(clock.Now())
	n.electAggregators(clock.Now())
	if !n.isAggregator("o02") || !n.isAggregator("o03") {
		t.Errorf("aggregators: %v", n.aggregators)
	}
}

// While reads of the store fail for the first instances of a data centre, those keep retrying at the
// full rate and the others retry rarely.
func TestOnlyFirstInstancesKeepRetryingStore(t *testing.T) {
	t.Parallel()
	markSourceLost := func(n *Node, ids ...shelfshelf.InstanceID) {
		for _, id := range ids {
			n.peers[id].sourceLost = true
		}
	}
	last, clock := newNodeWithPeers(47, 10)
	markSourceLost(last, "o00", "o01")
	if got := last.StoreRetryInterval(); got != 0 {
		t.Errorf("with 2 failing instances: %v", got)
	}
	markSourceLost(last, "o02")
	if got := last.StoreRetryInterval(); got != 48*storeRetryIntervalPerInstance {
		t.Errorf("with 3 failing instances: %v", got)
	}
	clock.Advance(time.Minute)
	if got := last.StoreRetryInterval(); got != 0 {
		t.Errorf("after the failing instances fell silent: %v", got)
	}
	third, _ := newNodeWithPeers(47, 98.5)
	markSourceLost(third, "o00", "o01", "o02", "o03", "o04")
	if got := third.StoreRetryInterval(); got != 0 {
		t.Errorf("one of the first three has a retry interval of %v", got)
	}
}
