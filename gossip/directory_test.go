package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

// counted is a directory that counts its calls and may be down.
type counted struct {
	mu       sync.Mutex
	all      []shelfshelf.Instance
	down     bool
	reads    int
	announce int
}

var errDirectoryDown = errors.New("down")

func (d *counted) Announce(_ context.Context, _ string, instance shelfshelf.Instance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announce++
	if d.down {
		return errDirectoryDown
	}
	d.all = append(d.all, instance)
	return nil
}

func (d *counted) InstancesIn(context.Context, string) ([]shelfshelf.Instance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if d.down {
		return nil, errDirectoryDown
	}
	return append([]shelfshelf.Instance(nil), d.all...), nil
}

// An instance that is listed as it is costs the platform one call, one that isn't three,
// and one that can't reach the directory tries ever more rarely.
func TestDirectoryCostsFewCalls(t *testing.T) {
	t.Parallel()
	self := shelfshelf.Instance{ID: "a", DataCentre: "dc", Address: "10.0.0.1:1", State: shelfshelf.InstanceLive, LinkMbps: 20}
	moved := self
	moved.Address = "10.0.0.2:1"
	for name, c := range map[string]struct {
		listed   []shelfshelf.Instance
		first    bool
		down     bool
		reads    int
		announce int
	}{
		"listed":           {listed: []shelfshelf.Instance{self}, reads: 1},
		"not listed":       {reads: 2, announce: 1},
		"listed elsewhere": {listed: []shelfshelf.Instance{moved}, reads: 2, announce: 1},
		"first start":      {first: true, reads: 1, announce: 1},
		// After 0, 0.3, 0.9, 2.1, 4.5, 6.9, 9.3 and 11.7 s, each pause 0.15 shorter at least.
		"down": {down: true, reads: 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &counted{all: c.listed, down: c.down}
				n := &Node{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Self: self, Directory: d, FirstStart: c.first}
				n.Init()
				ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
				defer cancel()
				if err := n.directoryLoop(ctx); err != nil {
					t.Error(err)
				}
				if d.reads > c.reads || d.announce != c.announce || d.reads == 0 {
					t.Errorf("%d reads, %d announcements; at most %d and %d", d.reads, d.announce, c.reads, c.announce)
				}
			})
		})
	}
}

// Two sides of a cut that lasted longer than instances count as there still meet again
// without the directory, and count as lost meanwhile.
func TestForgottenInstancesMeetAgain(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	n := &Node{Clock: clock, Log: log.New(io.Discard), Self: shelfshelf.Instance{ID: "m", DataCentre: "dc"}}
	n.Init()
	other := shelfshelf.Instance{ID: "o", DataCentre: "dc", Address: "127.0.0.1:1"}
	hear := func(sequence uint64) {
		p := n.ensurePeer(other, clock.Now())
		p.accept(message{status: shelfshelf.Status{From: other, Incarnation: 1, Sequence: sequence}}, clock.Now())
		p.seen = true
	}
	hear(1)
	for _, c := range []struct {
		after time.Duration
		known int
		pause time.Duration
	}{
		{500 * time.Millisecond, 2, 0},
		{2 * time.Second, 2, silentPeerInterval},
		{dormantAfter, 1, dormantPeerInterval},
	} {
		clock.Advance(c.after)
		n.expirePeers(clock.Now())
		p := n.peers["o"]
		if p == nil || n.statusInterval(p) != c.pause || n.Census().Known != c.known {
			t.Fatalf("after another %v: %+v, %+v", c.after, p, n.Census())
		}
	}
	hear(2)
	if p := n.peers["o"]; p.dormant || n.Census().Known != 2 {
		t.Errorf("heard again: %+v, %+v", p, n.Census())
	}
	clock.Advance(dormantAfter + dormantRetention + time.Second)
	n.expirePeers(clock.Now())
	if len(n.peers) > 0 {
		t.Error("one that is gone is remembered for good")
	}
}

// Who goes before whom at the start is known from the directory alone.
func TestStartedCountsWhoGoesBefore(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	n := &Node{Clock: clock, Log: log.New(io.Discard), Self: shelfshelf.Instance{ID: "m", DataCentre: "dc", LinkMbps: 20}}
	n.Init()
	if s := n.Started(); s.Listed >= 0 {
		t.Errorf("listed before: %+v", s)
	}
	d := &counted{}
	for i, c := range []struct {
		id   string
		dc   shelfshelf.DataCentre
		link float64
	}{{"z", "dc", 200}, {"a", "dc", 20}, {"n", "dc", 20}, {"b", "dc", 10}, {"c", "other", 200}} {
		d.all = append(d.all, shelfshelf.Instance{
			ID: shelfshelf.InstanceID(c.id), DataCentre: c.dc, LinkMbps: c.link, Address: fmt.Sprintf("127.0.0.1:%d", i+1),
		})
	}
	n.Directory = d
	if _, err := n.readDirectory(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	if s := n.Started(); s.Listed != time.Second || s.Before != 2 {
		t.Errorf("%+v", s)
	}
}
