package gossip

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

// In a data centre of up to maxFullMeshInstances, every instance sends its full status to every other
// at the normal rate (full mesh). In a larger one, a few aggregators receive the statuses of all
// instances at that rate and send everyone the data centre's aggregated digest; any other two instances
// exchange statuses only rarely, to show that they are alive and which configuration they have. With a
// full mesh, each of 48 instances sent and received 190 statuses a second (57,000 a second across 295
// instances), which was most of their work.
const (
	maxFullMeshInstances = int(maxStatusInterval / statusIntervalPerInstance)
	// aggregatorCount is the number of aggregators in a large data centre. There is more than one, so
	// that the loss of one goes unnoticed.
	aggregatorCount = 2
	// sparseIntervalPerInstance, multiplied by the number of other instances in the data centre, is the
	// interval between statuses of two non-aggregators. An instance then receives about 50 such
	// statuses a second whatever the size of the data centre.
	sparseIntervalPerInstance = 20 * time.Millisecond
	// digestForwardInterval is the minimum interval at which the digest of another data centre is
	// forwarded to all instances of a large one: 48 instances x 5 digests of 3 KB every 250 ms would be
	// 23 Mbit/s.
	digestForwardInterval = 400 * time.Millisecond
	// memberListLifetime is how long the member list in a data centre's digest is used. Other
	// information about its instances may be far older.
	memberListLifetime = 5 * time.Second
	// silentIntervals is the number of status intervals that an instance may be silent and still count
	// as live; the timeout is never below SilentAfter.
	silentIntervals = 3
)

// isSparse reports whether this data centre is too large for a full mesh. The caller must hold n.mu.
func (n *Node) isSparse() bool { return n.localPeers+1 > maxFullMeshInstances }

// isAggregator reports whether an instance of this data centre is an aggregator. The caller must hold
// n.mu.
func (n *Node) isAggregator(id shelfshelf.InstanceID) bool {
	return slices.Contains(n.aggregators, id)
}

// electAggregators counts the other instances of this data centre and selects its aggregators: the live
// instances with the widest links that are not leaving. The caller must hold n.mu.
func (n *Node) electAggregators(now time.Time) {
	localPeers := 0
	candidates := []shelfshelf.Instance{n.Self}
	for _, p := range n.peers {
		if !n.isLocal(p.instance) || p.dormant {
			continue
		}
		localPeers++
		if p.seen && now.Sub(p.lastSeen) < n.silenceTimeout(p) && p.instance.State != shelfshelf.InstanceLeaving {
			candidates = append(candidates, p.instance)
		}
	}
	n.localPeers = localPeers
	slices.SortFunc(candidates, compareInstances)
	n.aggregators = n.aggregators[:0]
	for _, instance := range candidates[:min(len(candidates), aggregatorCount)] {
		n.aggregators = append(n.aggregators, instance.ID)
	}
}

// statusInterval returns the minimum interval between two statuses to an instance of this data centre.
// The caller must hold n.mu.
func (n *Node) statusInterval(p *peerState) time.Duration {
	interval := time.Duration(0)
	if n.isSparse() && !n.isAggregator(n.Self.ID) && !n.isAggregator(p.instance.ID) {
		interval = time.Duration(n.localPeers) * sparseIntervalPerInstance
	}
	switch {
	case p.dormant:
		return dormantPeerInterval
	case p.silent:
		return max(interval, silentPeerInterval)
	}
	return interval
}

// silenceTimeout returns how long an instance of this data centre may be silent and still count as live.
// The caller must hold n.mu.
func (n *Node) silenceTimeout(p *peerState) time.Duration {
	if p.dormant || p.silent {
		return SilentAfter
	}
	return max(SilentAfter, silentIntervals*n.statusInterval(p))
}

// isLive reports whether an instance of this data centre was heard from recently enough. The caller must
// hold n.mu.
func (n *Node) isLive(p *peerState, now time.Time) bool {
	return p.seen && now.Sub(p.lastSeen) < n.silenceTimeout(p)
}

// aggregatedDigest returns the digest of this data centre if this instance is an aggregator of a large
// one; otherwise it returns false.
func (n *Node) aggregatedDigest() (shelfshelf.Digest, bool) {
	n.mu.Lock()
	aggregating := n.isSparse() && n.isAggregator(n.Self.ID)
	n.mu.Unlock()
	if !aggregating {
		return shelfshelf.Digest{}, false
	}
	digest := n.Handler.Digest()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fillDigest(&digest, n.Clock.Now())
	return digest, true
}

// fillDigest sets the digest's data centre and that data centre's instances. The caller must hold n.mu.
func (n *Node) fillDigest(digest *shelfshelf.Digest, now time.Time) {
	digest.DataCentre = n.Self.DataCentre
	digest.Instances = n.countLiveLocals()
	digest.Members = n.liveMembers(now)
}

// liveMembers returns the live instances of this data centre that are not leaving, including this one.
// The caller must hold n.mu.
func (n *Node) liveMembers(now time.Time) []shelfshelf.Member {
	var members []shelfshelf.Member
	if !n.leaving {
		members = append(members, n.selfMember)
	}
	for _, p := range n.peers {
		stays := p.instance.State != shelfshelf.InstanceLeaving && p.address.IsValid()
		if n.isLocal(p.instance) && stays && n.isLive(p, now) {
			members = append(members, p.asMember())
		}
	}
	return members
}

// Members returns the instances of a data centre that may own targets. All instances have to agree on
// them; otherwise a target has two owners that don't know of each other's requests. For another data
// centre, and for non-aggregators of a large one, the member list in the data centre's own digest
// therefore takes precedence over what this instance knows itself.
func (n *Node) Members(centre shelfshelf.DataCentre) []shelfshelf.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	state := n.dataCentres[centre]
	current := state != nil && now.Sub(state.asOf) < memberListLifetime && len(state.digest.Members) > 0
	own := centre == n.Self.DataCentre
	if current && (!own || n.isSparse() && !n.isAggregator(n.Self.ID)) {
		return state.digest.Members
	}
	if own {
		return n.liveMembers(now)
	}
	var members []shelfshelf.Member
	for _, p := range n.peers {
		if p.instance.DataCentre == centre && p.address.IsValid() && p.unanswered < suspectAfter {
			members = append(members, p.asMember())
		}
	}
	return members
}

// LivePeers returns the addresses of the other instances that are live and not leaving, as far as is known:
// those of this data centre and those of the others.
func (n *Node) LivePeers() (local, remote []string) {
	for _, centre := range n.knownDataCentres() {
		for _, member := range n.Members(centre) {
			address := member.Address.String()
			switch {
			case address == n.Self.Address:
			case centre == n.Self.DataCentre:
				local = append(local, address)
			default:
				remote = append(remote, address)
			}
		}
	}
	return local, remote
}

// MembersByDataCentre returns the live instances that aren't leaving, as far as is known, by data centre.
func (n *Node) MembersByDataCentre() map[shelfshelf.DataCentre][]shelfshelf.Member {
	members := make(map[shelfshelf.DataCentre][]shelfshelf.Member)
	for _, centre := range n.knownDataCentres() {
		members[centre] = n.Members(centre)
	}
	return members
}

// knownDataCentres returns the data centres in which instances are known.
func (n *Node) knownDataCentres() []shelfshelf.DataCentre {
	n.mu.Lock()
	defer n.mu.Unlock()
	centres := map[shelfshelf.DataCentre]bool{n.Self.DataCentre: true}
	for _, p := range n.peers {
		centres[p.instance.DataCentre] = true
	}
	return slices.Collect(maps.Keys(centres))
}

// IsInstanceHost reports whether an instance is known at a host's IP address: as a peer or, of an instance of
// another data centre that this one has not met, from that data centre's digest.
func (n *Node) IsInstanceHost(host string) bool {
	address, err := netip.ParseAddr(host)
	if err != nil {
		return false
	}
	address = address.Unmap()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if p.address.Addr() == address {
			return true
		}
	}
	for _, centre := range n.dataCentres {
		for _, member := range centre.digest.Members {
			if member.Address.Addr() == address {
				return true
			}
		}
	}
	return false
}

// SubstituteMembers returns the instances that take over rate limiting for the targets of a data centre that
// has had no instance for 30 s: the members of the first other data centre by name. It returns none
// while an instance may still be there, reachable or not, since that instance may be granting the same
// capacity.
func (n *Node) SubstituteMembers(centre shelfshelf.DataCentre) []shelfshelf.Member {
	first, empty := n.firstDataCentre(centre)
	if !empty {
		return nil
	}
	return n.Members(first)
}

// firstDataCentre returns the first data centre by name that has instances, with empty set if other has
// none. If a known peer is in other, first is "".
func (n *Node) firstDataCentre(other shelfshelf.DataCentre) (first shelfshelf.DataCentre, empty bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	first = n.Self.DataCentre
	for _, p := range n.peers {
		if p.dormant {
			continue
		}
		if p.instance.DataCentre == other {
			return "", false
		}
		first = min(first, p.instance.DataCentre)
	}
	return first, other != n.Self.DataCentre
}

// asMember returns the peer as a member of its data centre. The caller must hold the mutex of the Node.
func (p *peerState) asMember() shelfshelf.Member {
	if p.hash == 0 {
		p.hash = hashInstanceID(p.instance.ID)
	}
	return shelfshelf.Member{Hash: p.hash, Address: p.address, LinkMbps: wholeMbps(p.instance.LinkMbps)}
}

// maxLinkMbps bounds the bandwidth that is told of a link, for the size of messages.
const maxLinkMbps = 1_000_000

// wholeMbps rounds the bandwidth of a link, so that its instance and those that learn of it from messages agree.
func wholeMbps(mbps float64) uint32 {
	return uint32(math.Round(min(max(mbps, 0), maxLinkMbps)))
}

func hashInstanceID(id shelfshelf.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// LiveShare returns the share of this data centre's instances that are live. It counts this instance
// and all others that existed within the last 30 s and have not said that they are leaving.
func (n *Node) LiveShare() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	known, live := 1, 1
	for _, p := range n.peers {
		if !n.isLocal(p.instance) || p.dormant || p.instance.State == shelfshelf.InstanceLeaving {
			continue
		}
		known++
		if n.isLive(p, now) {
			live++
		}
	}
	return float64(live) / float64(known)
}
