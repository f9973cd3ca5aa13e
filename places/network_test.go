package places

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

const testSlots = 3

// network connects instances by datagrams that may be delayed or lost.
type network struct {
	mu       sync.Mutex
	clients  map[netip.AddrPort]*Client
	lossRate float64
	delay    time.Duration
	dead     map[netip.AddrPort]bool
	// cutLinks are the links (from, to) on which nothing is delivered.
	cutLinks map[[2]netip.AddrPort]bool
}

// cutLink drops everything from one instance to another; the reverse direction stays open.
func (w *network) cutLink(from, to netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutLinks[[2]netip.AddrPort{from, to}] = true
}

// setDelay sets how long each message takes.
func (w *network) setDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = delay
}

func (w *network) currentDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delay
}

// setLossRate sets the share of the messages that are lost.
func (w *network) setLossRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossRate = rate
}

// kill silences an instance; listed says whether the others still consider it alive.
func (w *network) kill(address netip.AddrPort, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[address] = true
	if !listed {
		delete(w.clients, address)
	}
}

// revive ends the silence of an instance.
func (w *network) revive(address netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.dead, address)
}

// receiver returns the client that gets a message, or nil if it is lost.
func (w *network) receiver(from, to netip.AddrPort) *Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	if rand.Float64() < w.lossRate || w.dead[to] || w.dead[from] || w.cutLinks[[2]netip.AddrPort{from, to}] {
		return nil
	}
	return w.clients[to]
}

func (w *network) candidates(shelfshelf.DataCentre) []shelfshelf.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []shelfshelf.Member
	for other := range w.clients {
		all = append(all, shelfshelf.Member{Hash: xxhash.Sum64String(other.String()), Address: other})
	}
	return all
}

func addressOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
}

func newNetwork(ctx context.Context, size int) *network {
	w := &network{
		clients:  make(map[netip.AddrPort]*Client),
		dead:     make(map[netip.AddrPort]bool),
		cutLinks: make(map[[2]netip.AddrPort]bool),
		delay:    time.Millisecond,
	}
	for n := range size {
		w.add(ctx, addressOf(n+1), 1)
	}
	return w
}

func (w *network) add(ctx context.Context, address netip.AddrPort, incarnation uint64) {
	c := &Client{
		Clock:      clockwork.NewRealClock(),
		Log:        log.New(io.Discard),
		Self:       Holder{Address: address, Incarnation: incarnation},
		Candidates: w.candidates,
	}
	c.Send = func(to netip.AddrPort, content []byte) {
		if receiver := w.receiver(address, to); receiver != nil {
			time.AfterFunc(w.currentDelay(), func() { receiver.Receive(content, address) })
		}
	}
	c.Book = &Book{
		Clock:    c.Clock,
		Capacity: func(shelfshelf.TargetKey) (Capacity, bool) { return Capacity{Slots: testSlots}, true },
		Grant:    c.Grant,
	}
	w.mu.Lock()
	w.clients[address] = c
	w.mu.Unlock()
	go func() { _ = c.Run(ctx) }()
}

// held returns the highest number of taken slots of a target in the book of any instance that is
// alive.
func (w *network) held(target shelfshelf.TargetKey) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	highest := 0
	for address, c := range w.clients {
		if !w.dead[address] {
			highest = max(highest, c.Book.Held(target))
		}
	}
	return highest
}

func inNetwork(t *testing.T, size int, body func(ctx context.Context, w *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		body(ctx, newNetwork(ctx, size))
		cancel()
		synctest.Wait()
	})
}

func requestFor(target shelfshelf.TargetKey, wait time.Duration) shelfshelf.PlaceAsk {
	return shelfshelf.PlaceAsk{Target: target, Wait: wait}
}

// targetOwnedElsewhere returns a target that another instance owns, and its owner.
func targetOwnedElsewhere(requester *Client) (shelfshelf.TargetKey, netip.AddrPort) {
	target := shelfshelf.TargetKey(0)
	owner, _ := requester.respondingOwner(target, "")
	for owner == requester.Self.Address {
		target++
		owner, _ = requester.respondingOwner(target, "")
	}
	return target, owner
}
