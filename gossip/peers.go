package gossip

import (
	"net/netip"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// suspectAfter is the number of consecutive exchanges that an instance of another data centre may
	// leave unanswered before it is a suspect and others are preferred.
	suspectAfter = 2
	// One exchange in suspectProbeOneIn ignores suspicion and picks among all instances of a data
	// centre.
	suspectProbeOneIn = 8
)

// peerState holds what is known of another instance.
type peerState struct {
	instance shelfshelf.Instance
	address  netip.AddrPort
	// hash is the hash of the instance ID; 0 until first needed.
	hash        uint64
	incarnation uint64
	sequence    uint64
	// timestamp is the sender's clock in its latest message.
	timestamp time.Duration
	// lastSeen is when the latest message was received, discoveredAt when the instance was first learnt
	// of, and lastSent when a status was last sent to it.
	lastSeen     time.Time
	discoveredAt time.Time
	lastSent     time.Time
	// seen says that a message was received since the instance was discovered or last became dormant.
	// silent says that it has exceeded its silence timeout. Together they decide when a change is
	// logged.
	seen   bool
	silent bool
	// dormant says that the instance has been silent for so long that it no longer counts as existing.
	dormant bool
	// sourceLost says that the instance's reads of the store fail.
	sourceLost bool
	revision   shelfshelf.Revision
	// recalled says that the instance has learnt the customers' usage from before it started.
	recalled bool
	// unanswered is the number of consecutive exchanges without an answer.
	unanswered int
}

// dataCentreState holds the latest digest of a data centre.
type dataCentreState struct {
	// asOf is when the digest was made. forwardPending says that this instance still has to forward it
	// within its own data centre.
	asOf           time.Time
	digest         shelfshelf.Digest
	forwardPending bool
	// forwardedAt is when a digest was last forwarded.
	forwardedAt time.Time
	// known is the most instances that a digest has counted in the last dormantAfter, and knownAt when
	// one last did.
	known   int
	knownAt time.Time
}

// accept updates the peer from a message. It returns false, and changes nothing, if the message is not
// newer than the last one or the peer's address is not known. The caller must hold the mutex of the
// Node.
func (p *peerState) accept(m message, now time.Time) bool {
	newer := m.status.Incarnation > p.incarnation ||
		m.status.Incarnation == p.incarnation && m.status.Sequence > p.sequence
	if !newer || p.address == (netip.AddrPort{}) {
		return false
	}
	p.incarnation = m.status.Incarnation
	p.sequence = m.status.Sequence
	p.timestamp = m.timestamp
	p.lastSeen = now
	p.instance = m.status.From
	p.sourceLost = m.status.StoreUnreachable
	p.revision = m.status.Revision
	p.recalled = m.status.UsageRestored
	p.dormant = false
	p.unanswered = 0
	return true
}

// ensurePeer returns the state of an instance, adding it if it is new and updating its address. The
// caller must hold n.mu.
func (n *Node) ensurePeer(instance shelfshelf.Instance, now time.Time) *peerState {
	p := n.peers[instance.ID]
	if p == nil {
		p = &peerState{instance: instance, discoveredAt: now}
		n.peers[instance.ID] = p
	}
	if p.address.String() != instance.Address {
		address, err := netip.ParseAddrPort(instance.Address)
		if err != nil {
			n.Log.Warn("An instance has an invalid address.", "instance", instance.ID, "address", instance.Address)
			return p
		}
		p.address = address
	}
	return p
}

// storeDigest stores a digest and returns true if it is newer than the known one. A digest received
// directly from another data centre is marked to be forwarded. The caller must hold n.mu.
func (n *Node) storeDigest(digest shelfshelf.Digest, now time.Time, direct bool) bool {
	own := digest.DataCentre == n.Self.DataCentre
	if own && n.isAggregator(n.Self.ID) {
		return false
	}
	c := n.dataCentres[digest.DataCentre]
	if c == nil {
		c = &dataCentreState{}
		n.dataCentres[digest.DataCentre] = c
	}
	at := now.Add(-digest.Age)
	if !at.After(c.asOf) {
		return false
	}
	c.asOf = at
	c.digest = digest
	if digest.Instances >= c.known || now.Sub(c.knownAt) > dormantAfter {
		c.known = digest.Instances
		c.knownAt = now
	}
	c.forwardPending = direct && !own
	return true
}

// takePendingDigests returns the digests to be forwarded that fit into room bytes, and always at least
// one if any is due; the others wait for the next status. At 600 targets and 520 customers a digest
// takes about 20 KB, and a message larger than maxDatagramBytes is not sent. The caller must hold n.mu.
func (n *Node) takePendingDigests(now time.Time, room int) []shelfshelf.Digest {
	var digests []shelfshelf.Digest
	for _, c := range n.dataCentres {
		size := maxDigestSize(c.digest)
		tooEarly := n.isSparse() && now.Sub(c.forwardedAt) < digestForwardInterval
		if !c.forwardPending || tooEarly || len(digests) > 0 && size > room {
			continue
		}
		c.forwardPending = false
		c.forwardedAt = now
		room -= size
		digest := c.digest
		digest.Age = now.Sub(c.asOf)
		digests = append(digests, digest)
	}
	return digests
}

// expirePeers marks instances of this data centre as silent or dormant, and deletes those that have been
// dormant for dormantRetention. The caller must hold n.mu.
func (n *Node) expirePeers(now time.Time) {
	for id, p := range n.peers {
		last := p.lastSeen
		if last.IsZero() {
			last = p.discoveredAt
		}
		silence := now.Sub(last)
		if n.isLocal(p.instance) && !p.silent && silence > n.silenceTimeout(p) {
			p.silent = true
			n.Log.Warn("An instance stopped sending statuses.", "instance", id, "quiet", silence)
		}
		if silence > dormantAfter && n.isLocal(p.instance) {
			p.dormant = true
			p.seen = false
		}
		if silence > dormantAfter+dormantRetention && n.isLocal(p.instance) {
			delete(n.peers, id)
		}
	}
}

// countLiveLocals returns the number of instances of this data centre that have been heard from and are
// not marked silent, including this one. The caller must hold n.mu.
func (n *Node) countLiveLocals() int {
	count := 1
	for _, p := range n.peers {
		if n.isLocal(p.instance) && !p.silent && !p.lastSeen.IsZero() {
			count++
		}
	}
	return count
}

// StartupState describes what an instance that has just started knows of the others in its data centre.
type StartupState struct {
	// Running is the time since the start.
	Running time.Duration
	// SinceDirectoryRead is the time since the directory was first read; negative if it has not been.
	SinceDirectoryRead time.Duration
	// Preceding is the number of known instances of the data centre that come before this one (see
	// compareInstances).
	Preceding int
}

// Started returns the StartupState: how far this instance's start has progressed.
func (n *Node) Started() StartupState {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	started := StartupState{Running: now.Sub(n.startedAt), SinceDirectoryRead: -1}
	if !n.directoryReadAt.IsZero() {
		started.SinceDirectoryRead = now.Sub(n.directoryReadAt)
	}
	for _, p := range n.peers {
		if n.isLocal(p.instance) && !p.dormant && p.instance.State != shelfshelf.InstanceLeaving && n.precedesSelf(p.instance) {
			started.Preceding++
		}
	}
	return started
}

// AddressesWhere returns the addresses of the live instances of this data centre whose latest status matches a
// condition.
func (n *Node) AddressesWhere(matches func(PeerKnowledge) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	var addresses []string
	for _, p := range n.peers {
		if n.isLocal(p.instance) && n.isLive(p, now) && matches(PeerKnowledge{Revision: p.revision, Recalled: p.recalled}) {
			addresses = append(addresses, p.instance.Address)
		}
	}
	return addresses
}

// IsLocalAddress reports whether an address belongs to another instance of this data centre.
func (n *Node) IsLocalAddress(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if n.isLocal(p.instance) && p.instance.Address == address {
			return true
		}
	}
	return false
}

// PeerKnowledge is the part of an instance's latest status that says what it knows.
type PeerKnowledge struct {
	Revision shelfshelf.Revision
	Recalled bool
}

// SpreadTime returns how long an event here takes to become known to every instance: one status within
// the data centre, one exchange with the others, and one status there.
func (n *Node) SpreadTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	period := min(max(time.Duration(n.countLiveLocals())*statusIntervalPerInstance, minStatusInterval), maxStatusInterval)
	return 2*period + exchangeInterval
}

// rolloutGracePeriod is how long an instance of this data centre that is no longer live is still
// assumed to send requests.
const rolloutGracePeriod = 4 * time.Second

// Addresses returns the addresses of the other instances that were heard from or learnt of recently, in
// this data centre or in all.
func (n *Node) Addresses(all bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	var addresses []string
	for _, p := range n.peers {
		local := n.isLocal(p.instance)
		recent := local && (n.isLive(p, now) || now.Sub(p.lastSeen) < rolloutGracePeriod) || !local && !p.dormant
		if recent && (all || local) {
			addresses = append(addresses, p.instance.Address)
		}
	}
	return addresses
}
