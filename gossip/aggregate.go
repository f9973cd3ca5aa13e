package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

// Up to maxFullMeshInstances instances of a data centre tell each other all they know at the full
// rate. Of more, the first few hear from everyone at that rate and tell everyone the sums;
// any other two tell each other rarely, that they live and what they know of the
// configuration. With a full mesh, each of 48 instances sent and received 190 statuses a
// second, 57,000 over 295, which was most of what they did.
const (
	maxFullMeshInstances = int(maxStatusInterval / statusIntervalPerInstance)
	// aggregatorCount is how many instances of a data centre tell the sums, so that one which
	// dies is not missed.
	aggregatorCount = 2
	// sparseIntervalPerInstance times the instances of the data centre is the pause between two
	// statuses of two others: an instance hears some 50 of them a second at any size.
	sparseIntervalPerInstance = 20 * time.Millisecond
	// digestForwardInterval is the least time between two times that the digest of another data centre
	// is told to all of a large one: 48 instances x 5 digests of 3 KB every 250 ms would be
	// 23 Mbit/s.
	digestForwardInterval = 400 * time.Millisecond
	// memberListLifetime is how long a data centre's word on its instances counts: what is known
	// of them otherwise may be far older.
	memberListLifetime = 5 * time.Second
	// silentIntervals is how many pauses between statuses an instance may be silent and
	// still count as heard, at least SilentAfter.
	silentIntervals = 3
)

// isSparse reports that this data centre is too large for everyone to tell everyone; the
// lock is held.
func (n *Node) isSparse() bool { return n.localPeers+1 > maxFullMeshInstances }

// isAggregator reports that an instance is one that tells the sums; the lock is held.
func (n *Node) isAggregator(id shelfshelf.InstanceID) bool {
	return slices.Contains(n.aggregators, id)
}

// electAggregators counts the instances of this data centre and finds those that tell the sums:
// of those that are heard and stay, the ones with the widest links. The lock is held.
func (n *Node) electAggregators(now time.Time) {
	locals := 0
	candidates := []shelfshelf.Instance{n.Self}
	for _, p := range n.peers {
		if !n.isLocal(p.instance) || p.dormant {
			continue
		}
		locals++
		if p.seen && now.Sub(p.lastSeen) < n.silenceTimeout(p) && p.instance.State != shelfshelf.InstanceLeaving {
			candidates = append(candidates, p.instance)
		}
	}
	n.localPeers = locals
	slices.SortFunc(candidates, compareInstances)
	n.aggregators = n.aggregators[:0]
	for _, instance := range candidates[:min(len(candidates), aggregatorCount)] {
		n.aggregators = append(n.aggregators, instance.ID)
	}
}

// statusInterval is the least time between two statuses for an instance of this data centre; the
// lock is held.
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

// silenceTimeout is how long an instance of this data centre may be silent and still count
// as heard; the lock is held.
func (n *Node) silenceTimeout(p *peerState) time.Duration {
	if p.dormant || p.silent {
		return SilentAfter
	}
	return max(SilentAfter, silentIntervals*n.statusInterval(p))
}

// isLive reports that an instance of this data centre is heard; the lock is held.
func (n *Node) isLive(p *peerState, now time.Time) bool {
	return p.seen && now.Sub(p.lastSeen) < n.silenceTimeout(p)
}

// aggregatedDigest returns the sums of this data centre if this instance tells them.
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

// fillDigest fills in which data centre a digest is of, and its instances; the lock is held.
func (n *Node) fillDigest(digest *shelfshelf.Digest, now time.Time) {
	digest.DataCentre = n.Self.DataCentre
	digest.Instances = n.countLiveLocals()
	digest.Members = n.liveMembers(now)
}

// liveMembers returns the instances of this data centre that are heard and stay, this one
// included; the lock is held.
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

// Members returns the instances of a data centre that may own engines. All instances have
// to agree on them, or an engine has two owners that don't know of each other's requests:
// for another data centre, and in a large one, its own word goes before what this instance
// has come to know of it.
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

// Substitutes returns the instances that give out what targets with limits take in a data centre
// where no instance has been for 30 s: those of the first other one by name. There are none
// where an instance may be, heard or not, since it may give out the same.
func (n *Node) Substitutes(centre shelfshelf.DataCentre) []shelfshelf.Member {
	first, empty := n.firstDataCentre(centre)
	if !empty {
		return nil
	}
	return n.Members(first)
}

// firstDataCentre returns the first data centre by name that has instances, and whether another one
// has none.
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

// asMember returns a peer as a asMember of its data centre.
func (p *peerState) asMember() shelfshelf.Member {
	if p.hash == 0 {
		p.hash = hashInstanceID(p.instance.ID)
	}
	return shelfshelf.Member{Hash: p.hash, Address: p.address}
}

func hashInstanceID(id shelfshelf.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// HeardShare returns which part of the instances of this data centre are heard, this one
// included: of those that there have been within the last 30 s and that have not said that they
// stop.
func (n *Node) HeardShare() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	known, heard := 1, 1
	for _, p := range n.peers {
		if !n.isLocal(p.instance) || p.dormant || p.instance.State == shelfshelf.InstanceLeaving {
			continue
		}
		known++
		if n.isLive(p, now) {
			heard++
		}
	}
	return float64(heard) / float64(known)
}
