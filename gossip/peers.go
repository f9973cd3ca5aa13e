package gossip

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// suspectAfter is how many exchanges in a row an instance of another data centre
	// may leave unanswered before others are asked instead.
	suspectAfter = 2
	// suspectProbeOneIn is how rarely suspects are asked all the same.
	suspectProbeOneIn = 8
)

// peerState is what is known of another instance.
type peerState struct {
	instance shelfshelf.Instance
	address  netip.AddrPort
	// hash is drawn from the name; 0 until it is asked for.
	hash        uint64
	incarnation uint64
	sequence    uint64
	// timestamp is the sender's clock in its latest message.
	timestamp time.Duration
	// lastSeen is when the latest message came, learned when it was first named, told
	// when it was last sent one.
	lastSeen     time.Time
	discoveredAt time.Time
	lastSent     time.Time
	// seen and silent tell what was logged last.
	seen   bool
	silent bool
	// dormant says that it has been silent for so long that it no longer counts.
	dormant    bool
	sourceLost bool
	revision   shelfshelf.Revision
	// recalled says that it knows what customers used before it started.
	recalled bool
	// unanswered counts exchanges without an answer.
	unanswered int
}

// dataCentreState is what is known of another data centre.
type dataCentreState struct {
	// asOf is when its latest digest was made, and untold whether this instance must
	// still pass it on.
	asOf           time.Time
	digest         shelfshelf.Digest
	forwardPending bool
	// forwardedAt is when it was passed on last.
	forwardedAt time.Time
}

// accept notes a message; it returns false if a newer one is known.
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
	p.sourceLost = m.status.SourceLost
	p.revision = m.status.Revision
	p.recalled = m.status.Recalled
	p.dormant = false
	p.unanswered = 0
	return true
}

// ensurePeer notes that an instance exists; the lock is held.
func (n *Node) ensurePeer(instance shelfshelf.Instance, now time.Time) *peerState {
	p := n.peers[instance.ID]
	if p == nil {
		p = &peerState{instance: instance, discoveredAt: now}
		n.peers[instance.ID] = p
	}
	if p.address.String() != instance.Address {
		address, err := netip.ParseAddrPort(instance.Address)
		if err != nil {
			n.Log.Warn("An instance's address can't be read.", "instance", instance.ID, "address", instance.Address)
			return p
		}
		p.address = address
	}
	return p
}

// storeDigest notes a digest that is newer than the one known; the lock is held.
// One that came straight from its data centre is to be passed on.
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
	c.forwardPending = direct && !own
	return true
}

// takePendingDigests returns the digests that are to be passed on and have room in so many bytes,
// at least one; the others wait for the next status. The lock is held. At 600 targets and
// 520 customers a digest has some 20 KB, and a datagram larger than maxDatagram is not sent.
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

// expirePeers marks instances of this data centre that have fallen silent, and
// forgets those that have been for long; the lock is held.
func (n *Node) expirePeers(now time.Time) {
	for id, p := range n.peers {
		last := p.lastSeen
		if last.IsZero() {
			last = p.discoveredAt
		}
		silence := now.Sub(last)
		if n.isLocal(p.instance) && !p.silent && silence > n.silenceTimeout(p) {
			p.silent = true
			n.Log.Warn("An instance is silent.", "instance", id, "quiet", silence)
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

// countLiveLocals returns how many instances of this data centre are heard, this one
// included; the lock is held.
func (n *Node) countLiveLocals() int {
	count := 1
	for _, p := range n.peers {
		if n.isLocal(p.instance) && !p.silent && !p.lastSeen.IsZero() {
			count++
		}
	}
	return count
}

// Census is how many instances there are, this one included.
type Census struct {
	// Known are there or were lately.
	Known int
	// Heard are those whose word, or whose data centre's, is fresh.
	Heard int
	// Local are those heard of this data centre.
	Local int
}

// Census counts the instances.
func (n *Node) Census() Census {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	census := Census{Known: 1, Heard: 1}
	knownRemotes := make(map[shelfshelf.DataCentre]int)
	for _, p := range n.peers {
		if !n.isLocal(p.instance) {
			knownRemotes[p.instance.DataCentre]++
			continue
		}
		if p.seen {
			census.Known++
		}
		if n.isLive(p, now) {
			census.Heard++
		}
	}
	census.Local = census.Heard
	starting := now.Sub(n.startedAt) < SilentAfter
	for centre, count := range knownRemotes {
		c := n.dataCentres[centre]
		if c == nil && starting {
			// Nobody has had the time to be heard: all may have started together.
			continue
		}
		if c == nil || now.Sub(c.asOf) >= SilentAfter {
			census.Known += count
			continue
		}
		census.Known += c.digest.Instances
		census.Heard += c.digest.Instances
	}
	return census
}

// First reports that this instance comes first among those of its data centre that
// are heard, know a configuration, aren't leaving and have not lost the store: the widest
// link comes first, since who is first reads the store for the others, the whole
// configuration at each change. 4,250 routes more are in force on 14 instances, 12 of them
// on 10 Mbit/s, after 0.76 s with a reader on 200 Mbit/s and 1.86 s with one on 10, 8,500
// after 1.14 and 3.22 s (simulated).
func (n *Node) First() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	for _, p := range n.peers {
		eligible := n.isLocal(p.instance) && n.isLive(p, now) && !p.sourceLost &&
			p.revision > 0 && p.instance.State != shelfshelf.InstanceLeaving
		if eligible && n.precedesSelf(p.instance) {
			return false
		}
	}
	return true
}

const (
	// storeProbers is how many instances of a data centre, in their order, go on trying a
	// store that fails them.
	storeProbers = 3
	// storeRetryIntervalPerInstance times the instances of the data centre is the mean time between two
	// tries of any other one: all of them together try ten times a second.
	storeRetryIntervalPerInstance = 100 * time.Millisecond
)

// Pace returns the mean time between two reads of the store by this instance while it
// fails the first few of the data centre; 0 while it doesn't, or for one of them.
func (n *Node) Pace() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	lost, locals := 0, 1
	for _, p := range n.peers {
		if !n.isLocal(p.instance) || !n.isLive(p, now) {
			continue
		}
		locals++
		if p.sourceLost && n.precedesSelf(p.instance) {
			lost++
		}
	}
	if lost < storeProbers {
		return 0
	}
	return time.Duration(locals) * storeRetryIntervalPerInstance
}

// precedesSelf reports that another instance goes precedesSelf this one where one does something for
// all: the one with the wider link, and of equal ones the first by name.
func (n *Node) precedesSelf(other shelfshelf.Instance) bool {
	return compareInstances(other, n.Self) < 0
}

// compareInstances orders instances: wider links first, and of equal ones by name.
func compareInstances(a, b shelfshelf.Instance) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.ID, b.ID))
}

// Started is what an instance that has just started knows of the others of its data
// centre.
type Started struct {
	// Running is the time since the start.
	Running time.Duration
	// Listed is the time since the directory of instances was read; negative if it has not
	// been.
	Listed time.Duration
	// Before counts the instances of the directory that go before this one.
	Before int
}

// Started tells how far this instance's start has come.
func (n *Node) Started() Started {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	started := Started{Running: now.Sub(n.startedAt), Listed: -1}
	if !n.directoryReadAt.IsZero() {
		started.Listed = now.Sub(n.directoryReadAt)
	}
	for _, p := range n.peers {
		if n.isLocal(p.instance) && !p.dormant && p.instance.State != shelfshelf.InstanceLeaving && n.precedesSelf(p.instance) {
			started.Before++
		}
	}
	return started
}

// Knowing returns the addresses of those instances of this data centre that are heard and
// fulfil a condition on what they told.
func (n *Node) Knowing(matches func(Told) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	var addresses []string
	for _, p := range n.peers {
		if n.isLocal(p.instance) && n.isLive(p, now) && matches(Told{Revision: p.revision, Recalled: p.recalled}) {
			addresses = append(addresses, p.instance.Address)
		}
	}
	return addresses
}

// Local reports that an address is that of another instance of this data centre.
func (n *Node) Local(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if n.isLocal(p.instance) && p.instance.Address == address {
			return true
		}
	}
	return false
}

// Told is what an instance has told of its knowledge.
type Told struct {
	Revision shelfshelf.Revision
	Recalled bool
}

// LeadingCentre reports that this data centre is among the first so many of those
// that are heard.
func (n *Node) LeadingCentre(count int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	before := 0
	for name, c := range n.dataCentres {
		if name < n.Self.DataCentre && now.Sub(c.asOf) < SilentAfter {
			before++
		}
	}
	return before < count
}

// SpreadTime is how long it takes until every instance knows what happened here: a
// status within the data centre, an exchange with the others, and a status there.
func (n *Node) SpreadTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	period := min(max(time.Duration(n.countLiveLocals())*statusIntervalPerInstance, minStatusInterval), maxStatusInterval)
	return 2*period + exchangeInterval
}

// rolloutGracePeriod is how long an instance of this data centre that is no longer heard still
// counts as one that may be sending requests.
const rolloutGracePeriod = 4 * time.Second

// Addresses returns those of the other instances that were heard of lately, of this data
// centre or of all.
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
