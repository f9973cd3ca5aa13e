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

// crowd returns an instance that has heard so many others of its data centre, the first
// of them with the widest links.
func crowd(count int, self float64) (*Node, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	n := &Node{Clock: clock, Log: log.New(io.Discard), Self: shelfshelf.Instance{ID: "m", DataCentre: "dc", LinkMbps: self}, Handler: &member{}}
	n.Init()
	for i := range count {
		n.hearOne(i, 1)
	}
	n.electAggregators(clock.Now())
	return n, clock
}

// hearOne hears one of the others.
func (n *Node) hearOne(i int, sequence uint64) {
	from := shelfshelf.Instance{
		ID: shelfshelf.InstanceID(fmt.Sprintf("o%02d", i)), DataCentre: "dc", Address: fmt.Sprintf("127.0.0.1:%d", i+1),
		LinkMbps: float64(100 - i),
	}
	p := n.ensurePeer(from, n.Clock.Now())
	p.accept(message{status: shelfshelf.Status{From: from, Incarnation: 1, Sequence: sequence, Revision: 1}}, n.Clock.Now())
	p.seen = true
	p.silent = false
}

// Few instances tell each other all; of many, all but the first two tell each other rarely
// and count as heard for as much longer.
func TestOnlyLargeDataCentresAreSparse(t *testing.T) {
	t.Parallel()
	small, _ := crowd(maxFullMeshInstances-1, 10)
	for id, p := range small.peers {
		if small.statusInterval(p) != 0 || small.silenceTimeout(p) != SilentAfter {
			t.Fatalf("%s of %d is told after %v", id, maxFullMeshInstances, small.statusInterval(p))
		}
	}
	if _, tells := small.aggregatedDigest(); tells {
		t.Error("sums are told in a small data centre")
	}
	large, _ := crowd(47, 10)
	for id, p := range large.peers {
		pause := large.statusInterval(p)
		if first := id == "o00" || id == "o01"; first != (pause == 0) {
			t.Errorf("%s is told after %v", id, pause)
		}
		if pause > 0 && large.silenceTimeout(p) < 2*pause {
			t.Errorf("%s counts as silent after %v, and is told after %v", id, large.silenceTimeout(p), pause)
		}
	}
	wide, _ := crowd(47, 200)
	if digest, tells := wide.aggregatedDigest(); !tells || digest.DataCentre != "dc" || digest.Instances != 48 {
		t.Errorf("the instance with the widest link tells %+v, %v", digest, tells)
	}
}

// When one that tells the sums falls silent, the next takes its place.
func TestAggregatorsAreReplaced(t *testing.T) {
	t.Parallel()
	n, clock := crowd(47, 10)
	clock.Advance(SilentAfter + time.Millisecond)
	for i := 2; i < 47; i++ {
		n.hearOne(i, 2)
	}
	n.expirePeers(clock.Now())
	n.electAggregators(clock.Now())
	if !n.isAggregator("o02") || !n.isAggregator("o03") {
		t.Errorf("sums are told by %v", n.aggregators)
	}
}

// While the store fails the first instances of a data centre, those go on trying and the
// others do so rarely.
func TestOnlyTheFirstTryALostStore(t *testing.T) {
	t.Parallel()
	lose := func(n *Node, ids ...shelfshelf.InstanceID) {
		for _, id := range ids {
			n.peers[id].sourceLost = true
		}
	}
	last, clock := crowd(47, 10)
	lose(last, "o00", "o01")
	if got := last.Pace(); got != 0 {
		t.Errorf("two are lost: %v", got)
	}
	lose(last, "o02")
	if got := last.Pace(); got != 48*storeRetryIntervalPerInstance {
		t.Errorf("three are lost: %v", got)
	}
	clock.Advance(time.Minute)
	if got := last.Pace(); got != 0 {
		t.Errorf("those that were lost are not heard any more: %v", got)
	}
	third, _ := crowd(47, 98.5)
	lose(third, "o00", "o01", "o02", "o03", "o04")
	if got := third.Pace(); got != 0 {
		t.Errorf("one of the first three waits %v", got)
	}
}
