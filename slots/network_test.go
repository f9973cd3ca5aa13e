package slots

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
func (net *network) cutLink(from, to netip.AddrPort) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.cutLinks[[2]netip.AddrPort{from, to}] = true
}

// setDelay sets how long each message takes.
func (net *network) setDelay(delay time.Duration) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.delay = delay
}

func (net *network) currentDelay() time.Duration {
	net.mu.Lock()
	defer net.mu.Unlock()
	return net.delay
}

// setLossRate sets the share of the messages that are lost.
func (net *network) setLossRate(rate float64) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.lossRate = rate
}

// kill silences an instance; listed says whether the others still consider it alive.
func (net *network) kill(address netip.AddrPort, listed bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.dead[address] = true
	if !listed {
		delete(net.clients, address)
	}
}

// revive ends the silence of an instance.
func (net *network) revive(address netip.AddrPort) {
	net.mu.Lock()
	defer net.mu.Unlock()
	delete(net.dead, address)
}

// receiver returns the client that gets a message, or nil if it is lost.
func (net *network) receiver(from, to netip.AddrPort) *Client {
	net.mu.Lock()
	defer net.mu.Unlock()
	if rand.Float64() < net.lossRate || net.dead[to] || net.dead[from] || net.cutLinks[[2]netip.AddrPort{from, to}] {
		return nil
	}
	return net.clients[to]
}

func (net *network) candidates(shelfshelf.DataCentre) []shelfshelf.Member {
	net.mu.Lock()
	defer net.mu.Unlock()
	var all []shelfshelf.Member
	for other := range net.clients {
		all = append(all, shelfshelf.Member{Hash: xxhash.Sum64String(other.String()), Address: other})
	}
	return all
}

func addressOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
}

func newNetwork(ctx context.Context, size int) *network {
	net := &network{
		clients:  make(map[netip.AddrPort]*Client),
		dead:     make(map[netip.AddrPort]bool),
		cutLinks: make(map[[2]netip.AddrPort]bool),
		delay:    time.Millisecond,
	}
	for n := range size {
		net.add(ctx, addressOf(n+1), 1)
	}
	return net
}

func (net *network) add(ctx context.Context, address netip.AddrPort, incarnation uint64) {
	c := &Client{
		Clock:      clockwork.NewRealClock(),
		Log:        log.New(io.Discard),
		Self:       Holder{Address: address, Incarnation: incarnation},
		Candidates: net.candidates,
	}
	c.Send = func(to netip.AddrPort, content []byte) {
		if receiver := net.receiver(address, to); receiver != nil {
			time.AfterFunc(net.currentDelay(), func() { receiver.Receive(content, address) })
		}
	}
	c.Table = &SlotTable{
		Clock:     c.Clock,
		Capacity:  func(shelfshelf.TargetKey) (Capacity, bool) { return Capacity{Slots: testSlots}, true },
		SendGrant: c.SendGrant,
	}
	net.mu.Lock()
	net.clients[address] = c
	net.mu.Unlock()
	go func() { _ = c.Run(ctx) }()
}

// held returns the highest number of taken slots of a target in the slot table of any instance that
// is alive.
func (net *network) held(target shelfshelf.TargetKey) int {
	net.mu.Lock()
	defer net.mu.Unlock()
	highest := 0
	for address, c := range net.clients {
		if !net.dead[address] {
			highest = max(highest, c.Table.Held(target))
		}
	}
	return highest
}

func inNetwork(t *testing.T, size int, body func(ctx context.Context, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		body(ctx, newNetwork(ctx, size))
		cancel()
		synctest.Wait()
	})
}

func requestFor(target shelfshelf.TargetKey, wait time.Duration) shelfshelf.SlotRequest {
	return shelfshelf.SlotRequest{Target: target, MaxWait: wait}
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
