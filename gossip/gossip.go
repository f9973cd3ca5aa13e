package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// statusIntervalPerInstance times the instances of the data centre is the pause between
	// two statuses, so that an instance hears about as many a second at any size; the
	// two below bound it.
	statusIntervalPerInstance = 7 * time.Millisecond
	minStatusInterval         = 30 * time.Millisecond
	maxStatusInterval         = 250 * time.Millisecond
	// exchangeInterval is how often a data centre exchanges digests with each other one,
	// by any of its instances.
	exchangeInterval = 80 * time.Millisecond
	// SilentAfter is how long an instance or a data centre may be silent and still
	// count as heard.
	SilentAfter = time.Second
	// silentPeerInterval is how often an instance that is silent is still told.
	silentPeerInterval = 500 * time.Millisecond
	// dormantAfter is how long a silent instance counts as one that there is, and
	// rememberFor how long it is still told, every dormantPeriod: two sides of a cut that
	// have forgotten each other would otherwise need the directory to meet again.
	dormantAfter        = 30 * time.Second
	dormantRetention    = 10 * time.Minute
	dormantPeerInterval = 5 * time.Second
	// maxDatagramBytes is the largest message, in bytes.
	maxDatagramBytes = 60 << 10
)

// Handler takes and gives what messages carry.
type Handler interface {
	// Status returns this instance's status; the sender fills in who it is.
	Status() shelfshelf.Status
	// Observations returns what this instance has seen of targets since it was last
	// asked.
	Observations() []shelfshelf.TargetSpeed
	// Crashes returns what this instance has learnt lately of targets that ended; without
	// wide, only what the others of its data centre can't have heard where it did.
	Crashes(wide bool) []shelfshelf.Crash
	// Digest returns what this instance knows of its data centre; the sender fills in
	// which that is and its instances.
	Digest() shelfshelf.Digest
	// Heard takes another's word on the configuration, targets and, in the same data
	// centre, its own load. At is an instant on this instance's clock that the word is
	// surely no older than; zero if that is not known.
	Heard(status shelfshelf.Status, at time.Time)
	// HeardDigest takes the word of another data centre.
	HeardDigest(digest shelfshelf.Digest)
}

// Node exchanges messages with the other instances. Fields are set before Run.
type Node struct {
	Clock       shelfshelf.Clock
	Log         *log.Logger
	Self        shelfshelf.Instance
	Incarnation uint64
	// FirstStart says that the whole deployment starts for the first time, so that nobody
	// has announced itself before.
	FirstStart bool
	Conn       net.PacketConn
	Handler    Handler
	Directory  shelfshelf.InstanceDirectory
	// Centres are the data centres of the deployment, each with a part of the directory; with none
	// that is this one's, all instances are in one part.
	Centres []shelfshelf.DataCentre
	// Fetch asks the instance at an address for all instances that it knows; nil means that nobody
	// tells.
	Fetch func(ctx context.Context, address string) ([]shelfshelf.Instance, error)
	// Other takes the datagrams whose first byte is OtherMarker; nil means that there
	// are none.
	Other       func(content []byte, from netip.AddrPort)
	OtherMarker byte

	startedAt   time.Time
	sendNow     chan struct{}
	mu          sync.Mutex
	peers       map[shelfshelf.InstanceID]*peerState
	dataCentres map[shelfshelf.DataCentre]*dataCentreState
	sequence    uint64
	leaving     bool
	// selfMember is this instance as a member of its data centre.
	selfMember shelfshelf.Member
	// localPeers counts the other instances of this data centre, and first are those that tell
	// its sums.
	localPeers  int
	aggregators []shelfshelf.InstanceID
	// directoryReadAt is when the directory of instances was first read; zero if it never was.
	directoryReadAt time.Time
	// remotesKnown says that the instances of the other data centres are known as they were listed.
	remotesKnown bool
	// announcedAt is when this instance last announced itself, and lost receives when that may
	// be gone.
	announcedAt      time.Time
	announcementLost chan struct{}
}

// Run announces this instance and exchanges messages until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return n.receiveLoop(ctx) }, func(error) {
		cancel()
		_ = n.Conn.Close()
	})
	group.Add(func() error { return n.sendLoop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.exchangeLoop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.directoryLoop(ctx) }, func(error) { cancel() })
	return group.Run()
}

// Init begins the instance's life; it is called before Run and all else.
func (n *Node) Init() {
	n.sendNow = make(chan struct{}, 1)
	n.announcementLost = make(chan struct{}, 1)
	n.startedAt = n.Clock.Now()
	n.peers = make(map[shelfshelf.InstanceID]*peerState)
	n.dataCentres = make(map[shelfshelf.DataCentre]*dataCentreState)
	if address, err := netip.ParseAddrPort(n.Self.Address); err == nil {
		n.selfMember = shelfshelf.Member{Hash: hashInstanceID(n.Self.ID), Address: address}
	}
}

// Kick sends the next status at once, as after a change that others wait for.
func (n *Node) Kick() {
	select {
	case n.sendNow <- struct{}{}:
	default:
	}
}

// Leave tells the others, from the next status on, that this instance stops.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.Kick()
}

func (n *Node) receiveLoop(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram to a closed port comes back as an error of the socket.
			n.Log.Debug("A read of messages failed.", "error", err)
			continue
		}
		if n.Other != nil && size > 0 && buffer[0] == n.OtherMarker {
			n.handleOther(buffer[:size], from)
			continue
		}
		m, err := decode(buffer[:size])
		if err != nil {
			n.Log.Warn("A message can't be read.", "from", from, "error", err)
			continue
		}
		n.handleMessage(m)
	}
}

// handleOther hands a datagram of another package on.
func (n *Node) handleOther(content []byte, from net.Addr) {
	if sender, ok := from.(*net.UDPAddr); ok {
		address := sender.AddrPort()
		n.Other(content, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
}

// SendOther sends a datagram, such as one of another package; what can't be sent is
// lost like one on its way.
func (n *Node) SendOther(to netip.AddrPort, content []byte) {
	if _, err := n.Conn.WriteTo(content, net.UDPAddrFromAddrPort(to)); err != nil {
		n.Log.Debug("A message was not sent.", "to", to, "error", err)
	}
}

// handleMessage takes a message unless a newer one of its sender is known.
func (n *Node) handleMessage(m message) {
	id := m.status.From.ID
	if id == n.Self.ID {
		return
	}
	now := n.Clock.Now()
	n.mu.Lock()
	p := n.ensurePeer(m.status.From, now)
	if !p.accept(m, now) {
		n.mu.Unlock()
		return
	}
	regained := p.silent || !p.seen
	p.silent = false
	p.seen = true
	var at time.Time
	if m.echoIncarnation == n.Incarnation {
		at = n.startedAt.Add(m.echo)
	}
	var fresh []shelfshelf.Digest
	for _, digest := range m.status.Digests {
		if n.storeDigest(digest, now, m.kind != kindStatus) {
			fresh = append(fresh, digest)
		}
	}
	n.mu.Unlock()
	if regained && n.isLocal(m.status.From) {
		n.Log.Info("An instance is heard.", "instance", id, "address", m.status.From.Address)
	}
	n.Handler.Heard(m.status, at)
	for _, digest := range fresh {
		n.Handler.HeardDigest(digest)
	}
	if m.kind == kindExchangeRequest {
		n.sendDigest(kindExchangeReply, id)
	}
}

// isLocal reports that an instance is in this data centre.
func (n *Node) isLocal(instance shelfshelf.Instance) bool {
	return instance.DataCentre == n.Self.DataCentre
}

// sendLoop tells the instances of this data centre.
func (n *Node) sendLoop(ctx context.Context) error {
	immediate := false
	for {
		locals := n.sendStatus(immediate)
		period := time.Duration(locals+1) * statusIntervalPerInstance
		period = jitter(min(max(period, minStatusInterval), maxStatusInterval))
		immediate = false
		select {
		case <-ctx.Done():
			return nil
		case <-n.sendNow:
			immediate = true
		case <-n.Clock.After(period):
		}
	}
}

// sendStatus sends this instance's status to the others of its data centre, to all of them
// if kicked, and returns how many there are.
func (n *Node) sendStatus(immediate bool) int {
	status := n.Handler.Status()
	status.Speeds = n.Handler.Observations()
	ownDigest, aggregating := n.aggregatedDigest()
	// Those that tell the sums of a large data centre hear what others don't.
	status.Crashes = n.Handler.Crashes(aggregating)
	now := n.Clock.Now()
	n.mu.Lock()
	n.setSender(&status)
	room := maxDatagramBytes - maxStatusSize(status)
	if aggregating {
		room -= maxDigestSize(ownDigest)
	}
	status.Digests = n.takePendingDigests(now, room)
	if aggregating {
		status.Digests = append(status.Digests, ownDigest)
	}
	n.expirePeers(now)
	n.electAggregators(now)
	var due []*peerState
	locals := n.localPeers
	for _, p := range n.peers {
		if !n.isLocal(p.instance) {
			continue
		}
		pause := n.statusInterval(p)
		if tooEarly := now.Sub(p.lastSent) < pause; tooEarly && (!immediate || p.silent) {
			continue
		}
		first := p.lastSent.IsZero()
		p.lastSent = now
		if first {
			// Those that are told together the first time are told in turn from then on.
			p.lastSent = now.Add(-time.Duration(rand.Float64() * float64(pause)))
		}
		due = append(due, p)
	}
	messages, addresses := n.addressMessages(kindStatus, status, due, now)
	n.mu.Unlock()
	for i := range messages {
		n.send(messages[i], addresses[i])
	}
	return locals
}

// setSender fills in who a status is from; the lock is held.
func (n *Node) setSender(status *shelfshelf.Status) {
	n.sequence++
	status.From = n.Self
	status.Incarnation = n.Incarnation
	status.Sequence = n.sequence
	if n.leaving {
		status.From.State = shelfshelf.InstanceLeaving
	}
}

// addressMessages makes a message for each receiver; the lock is held.
func (n *Node) addressMessages(k kind, status shelfshelf.Status, to []*peerState, now time.Time) ([]message, []netip.AddrPort) {
	messages := make([]message, len(to))
	addresses := make([]netip.AddrPort, len(to))
	for i, p := range to {
		messages[i] = message{
			kind: k, status: status, timestamp: now.Sub(n.startedAt), echo: p.timestamp, echoIncarnation: p.incarnation,
		}
		addresses[i] = p.address
	}
	return messages, addresses
}

func (n *Node) send(m message, to netip.AddrPort) {
	content, err := encode(m)
	if err != nil {
		n.Log.Error("A message can't be encoded.", "error", err)
		return
	}
	if len(content) > maxDatagramBytes {
		n.Log.Error("A message is too large to be sent.", "to", to, "bytes", len(content),
			"loads", len(m.status.Loads), "uses", len(m.status.Uses), "digests", len(m.status.Digests))
		return
	}
	n.SendOther(to, content)
}

// jitter keeps instances that started together from sending together.
func jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.85 + 0.3*rand.Float64()))
}
