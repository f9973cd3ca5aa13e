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
	// statusIntervalPerInstance, multiplied by the number of instances in the data centre, is the
	// interval between two statuses, so that an instance receives about as many a second at any size.
	// minStatusInterval and maxStatusInterval bound it.
	statusIntervalPerInstance = 7 * time.Millisecond
	minStatusInterval         = 30 * time.Millisecond
	maxStatusInterval         = 250 * time.Millisecond
	// exchangeInterval is how often a data centre exchanges digests with each other one; any of its
	// instances may do so.
	exchangeInterval = 80 * time.Millisecond
	// SilentAfter is how long an instance or a data centre may be silent and still count as live.
	SilentAfter = time.Second
	// silentPeerInterval is the minimum interval between statuses to an instance that is silent.
	silentPeerInterval = 500 * time.Millisecond
	// dormantAfter is how long a silent instance still counts as existing. After that it is dormant: it
	// is sent a status every dormantPeerInterval and is forgotten after a further dormantRetention. If
	// both sides of a network partition forgot each other sooner, they would need the directory to
	// reconnect.
	dormantAfter        = 30 * time.Second
	dormantRetention    = 10 * time.Minute
	dormantPeerInterval = 5 * time.Second
	// maxDatagramBytes is the size limit of a message.
	maxDatagramBytes = 60 << 10
)

// Handler supplies the content of outgoing messages and processes that of incoming ones.
type Handler interface {
	// Status returns this instance's status; Node fills in the sender.
	Status() shelfshelf.Status
	// Observations returns what this instance has observed of targets since the last call.
	Observations() []shelfshelf.TargetSpeed
	// Crashes returns the target crashes that this instance has learnt of recently. Unless wide is set,
	// it leaves out those that the other instances of its data centre can have learnt from the same
	// source.
	Crashes(wide bool) []shelfshelf.Crash
	// Digest returns the aggregated state of this data centre; Node fills in the data centre and its
	// instances.
	Digest() shelfshelf.Digest
	// HandleStatus processes the status of another instance: configuration, targets and, within the same data
	// centre, the sender's own load. The status is no older than at, an instant on this instance's
	// clock; at is zero if its age is unknown.
	HandleStatus(status shelfshelf.Status, at time.Time)
	// HandleDigest processes the digest of another data centre or, at a non-aggregator of a large data
	// centre, of this one.
	HandleDigest(digest shelfshelf.Digest)
}

// Node exchanges messages with the other instances. Its exported fields are set before Run.
type Node struct {
	Clock       shelfshelf.Clock
	Log         *log.Logger
	Self        shelfshelf.Instance
	Incarnation uint64
	// FirstStart says that the whole deployment starts for the first time, so that the directory is
	// still empty.
	FirstStart bool
	Conn       net.PacketConn
	Handler    Handler
	Directory  shelfshelf.InstanceDirectory
	// DataCentres are the data centres of the deployment; each has its own partition of the directory. If
	// this instance's data centre is not among them, all instances share one partition.
	DataCentres []shelfshelf.DataCentre
	// FetchInstances asks the instance at an address for all instances that it knows. If it is nil, instances are
	// learnt from the directory only.
	FetchInstances func(ctx context.Context, address string) (shelfshelf.KnownInstances, error)
	// HandleDatagram holds the handlers of datagrams of other protocols on the same socket, by their first byte.
	HandleDatagram map[byte]func(content []byte, from netip.AddrPort)

	startedAt   time.Time
	sendNow     chan struct{}
	mu          sync.Mutex
	peers       map[shelfshelf.InstanceID]*peerState
	dataCentres map[shelfshelf.DataCentre]*dataCentreState
	sequence    uint64
	leaving     bool
	// sourceLost says that this instance's reads of the store failed as it last sent a status.
	sourceLost bool
	// selfMember is this instance as a member of its data centre.
	selfMember shelfshelf.Member
	// localPeers is the number of other instances in this data centre that are not dormant. aggregators
	// are the instances that send its digest to the others if it is large.
	localPeers  int
	aggregators []shelfshelf.InstanceID
	// directoryReadAt is when the listed instances of this data centre were first known, from the directory or from
	// another instance that knows all; zero if they never were.
	directoryReadAt time.Time
	// remotesKnown says that the listed instances of the other data centres are known.
	remotesKnown bool
	// registeredAt is when this instance last tried to register itself. registrationLost receives a
	// value when that registration may have been lost.
	registeredAt     time.Time
	registrationLost chan struct{}
}

// Run registers this instance in the directory and exchanges messages until the context ends.
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

// Init initializes the node. It must be called before any other method.
func (n *Node) Init() {
	n.sendNow = make(chan struct{}, 1)
	n.registrationLost = make(chan struct{}, 1)
	n.startedAt = n.Clock.Now()
	n.peers = make(map[shelfshelf.InstanceID]*peerState)
	n.dataCentres = make(map[shelfshelf.DataCentre]*dataCentreState)
	if address, err := netip.ParseAddrPort(n.Self.Address); err == nil {
		n.selfMember = shelfshelf.Member{Hash: hashInstanceID(n.Self.ID), Address: address, LinkMbps: wholeMbps(n.Self.LinkMbps)}
	}
}

// SendNow makes the next status be sent immediately, for example after a change that others wait for.
func (n *Node) SendNow() {
	select {
	case n.sendNow <- struct{}{}:
	default:
	}
}

// Leave tells the other instances, from the next status on, that this one is shutting down.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.SendNow()
}

func (n *Node) receiveLoop(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The socket also reports an error when an earlier datagram reached a closed port.
			n.Log.Debug("Reading a datagram failed.", "error", err)
			continue
		}
		if size > 0 && n.HandleDatagram[buffer[0]] != nil {
			n.handleDatagram(buffer[:size], from)
			continue
		}
		m, err := decode(buffer[:size])
		if err != nil {
			n.Log.Warn("Decoding a message failed.", "from", from, "error", err)
			continue
		}
		n.handleMessage(m)
	}
}

// handleDatagram passes a datagram of another protocol to its handler.
func (n *Node) handleDatagram(content []byte, from net.Addr) {
	if sender, ok := from.(*net.UDPAddr); ok {
		address := sender.AddrPort()
		n.HandleDatagram[content[0]](content, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
}

// SendDatagram sends a datagram, for example one of another protocol. A failed send is only logged:
// datagrams may be lost on the way as well.
func (n *Node) SendDatagram(to netip.AddrPort, content []byte) {
	if _, err := n.Conn.WriteTo(content, net.UDPAddrFromAddrPort(to)); err != nil {
		n.Log.Debug("Sending a datagram failed.", "to", to, "error", err)
	}
}

// handleMessage processes a message unless it is this instance's own or not newer than the last one from
// its sender.
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
	var newDigests []shelfshelf.Digest
	for _, digest := range m.status.Digests {
		if n.storeDigest(digest, now, m.kind != kindStatus) {
			newDigests = append(newDigests, digest)
		}
	}
	n.mu.Unlock()
	if regained && n.isLocal(m.status.From) {
		n.Log.Info("An instance is sending statuses.", "instance", id, "address", m.status.From.Address)
	}
	n.Handler.HandleStatus(m.status, at)
	for _, digest := range newDigests {
		n.Handler.HandleDigest(digest)
	}
	if m.kind == kindExchangeRequest {
		n.sendDigest(kindExchangeReply, id)
	}
}

// isLocal reports whether an instance is in this data centre.
func (n *Node) isLocal(instance shelfshelf.Instance) bool {
	return instance.DataCentre == n.Self.DataCentre
}

// sendLoop sends statuses to the other instances of this data centre.
func (n *Node) sendLoop(ctx context.Context) error {
	immediate := false
	for {
		localPeers := n.sendStatus(immediate)
		period := time.Duration(localPeers+1) * statusIntervalPerInstance
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

// sendStatus sends this instance's status to the other instances of its data centre that are due one,
// or to all that are not silent if immediate is set. It returns how many others there are.
func (n *Node) sendStatus(immediate bool) int {
	status := n.Handler.Status()
	status.Speeds = n.Handler.Observations()
	ownDigest, aggregating := n.aggregatedDigest()
	// Aggregators of a large data centre receive crash reports that other instances don't, and pass
	// them on.
	status.Crashes = n.Handler.Crashes(aggregating)
	now := n.Clock.Now()
	n.mu.Lock()
	n.setSender(&status)
	room := maxDatagramBytes - maxStatusSize(status)
	if aggregating {
		room -= maxDigestSize(ownDigest)
	}
	n.sourceLost = status.StoreUnreachable
	status.Digests = n.takePendingDigests(now, room)
	if aggregating {
		status.Digests = append(status.Digests, ownDigest)
	}
	n.expirePeers(now)
	n.electAggregators(now)
	var due []*peerState
	localPeers := n.localPeers
	for _, p := range n.peers {
		if !n.isLocal(p.instance) {
			continue
		}
		interval := n.statusInterval(p)
		if tooEarly := now.Sub(p.lastSent) < interval; tooEarly && (!immediate || p.silent) {
			continue
		}
		first := p.lastSent.IsZero()
		p.lastSent = now
		if first {
			// Backdates the first send at random, so that peers that were discovered together don't get
			// all their statuses together.
			p.lastSent = now.Add(-time.Duration(rand.Float64() * float64(interval)))
		}
		due = append(due, p)
	}
	messages, addresses := n.addressMessages(kindStatus, status, due, now)
	n.mu.Unlock()
	for i := range messages {
		n.send(messages[i], addresses[i])
	}
	return localPeers
}

// setSender fills in the sender of a status and its sequence number. The caller must hold n.mu.
func (n *Node) setSender(status *shelfshelf.Status) {
	n.sequence++
	status.From = n.Self
	status.Incarnation = n.Incarnation
	status.Sequence = n.sequence
	if n.leaving {
		status.From.State = shelfshelf.InstanceLeaving
	}
}

// addressMessages makes a message for each receiver. The caller must hold n.mu.
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
		n.Log.Error("Encoding a message failed.", "error", err)
		return
	}
	if len(content) > maxDatagramBytes {
		n.Log.Error("A message is too large to send.", "to", to, "bytes", len(content),
			"loads", len(m.status.Loads), "uses", len(m.status.Usage), "digests", len(m.status.Digests))
		return
	}
	n.SendDatagram(to, content)
}

// jitter varies an interval by up to 15 %, so that instances that started together don't send together.
func jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.85 + 0.3*rand.Float64()))
}
