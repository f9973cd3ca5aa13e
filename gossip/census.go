package gossip

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// minAssumedInstances is how many instances a data centre is assumed to have at least while the directory
// has not been read.
const minAssumedInstances = 2

// Census counts the instances, including this one.
type Census struct {
	// Known is the number of instances that exist or existed recently.
	Known int
	// Live is the number of live instances: those with a recent status of their own or, in other data
	// centres, counted in a recent digest. An instance that has just started counts those that are
	// listed as live until it could have heard from them.
	Live int
	// LiveLocal is the number of live instances in this data centre.
	LiveLocal int
	// Unheard is the number of live instances that this one has not heard from yet.
	Unheard int
}

// Census counts the instances.
func (n *Node) Census() Census {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	local := Census{Known: 1, Live: 1, LiveLocal: 1}
	listedRemotes := make(map[shelfshelf.DataCentre]int)
	for _, p := range n.peers {
		if !n.isLocal(p.instance) {
			listedRemotes[p.instance.DataCentre]++
			continue
		}
		local.add(n.countLocal(p, now))
	}
	census := local
	for centre, listed := range listedRemotes {
		census.add(n.countRemotes(centre, listed, now))
	}
	if !n.remotesKnown {
		census.add(n.assumeUnlisted(local.Known, len(listedRemotes)))
	}
	return census
}

// add adds the counts of other instances.
func (c *Census) add(other Census) {
	c.Known += other.Known
	c.Live += other.Live
	c.LiveLocal += other.LiveLocal
	c.Unheard += other.Unheard
}

// countLocal counts another instance of this data centre. The caller must hold n.mu.
func (n *Node) countLocal(p *peerState, now time.Time) Census {
	switch {
	case n.isLive(p, now):
		return Census{Known: 1, Live: 1, LiveLocal: 1}
	case p.seen:
		return Census{Known: 1}
	case n.isStarting(now) && p.lastSeen.IsZero():
		return Census{Known: 1, Live: 1, Unheard: 1}
	}
	return Census{}
}

// countRemotes counts the instances of another data centre, of which so many are listed. The caller
// must hold n.mu.
func (n *Node) countRemotes(centre shelfshelf.DataCentre, listed int, now time.Time) Census {
	c := n.dataCentres[centre]
	switch {
	case c == nil && n.isStarting(now):
		// No digest can have arrived yet if all instances started together.
		return Census{Known: listed, Live: listed, Unheard: listed}
	case c == nil || now.Sub(c.asOf) >= SilentAfter:
		return Census{Known: listed}
	}
	return Census{Known: c.known, Live: c.digest.Instances}
}

// assumeUnlisted returns the counts of instances that this one can't know of yet because it has not read the
// directory: as many in each data centre without a listed one as in its own. The caller must hold n.mu.
func (n *Node) assumeUnlisted(local, listedCentres int) Census {
	unread := n.directoryReadAt.IsZero()
	assumed := local
	if unread && len(n.DataCentres) > 0 {
		assumed = max(local, minAssumedInstances)
	}
	unlisted := assumed*max(len(n.DataCentres)-1-listedCentres, 0) + assumed - local
	census := Census{Known: unlisted, Live: unlisted, Unheard: unlisted}
	if unread {
		// This data centre may have more instances than assumed, so the census is never complete here.
		census.Unheard++
	}
	return census
}

// Isolated reports whether this instance knows nothing of the others: it has neither read the directory of its data
// centre nor heard from anybody. There may be no others, or they may run without knowing of this one.
func (n *Node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.directoryReadAt.IsZero() {
		return false
	}
	for _, p := range n.peers {
		if !p.lastSeen.IsZero() {
			return false
		}
	}
	return true
}

// isStarting reports whether this instance started so recently that others need not have been heard.
// The caller must hold n.mu.
func (n *Node) isStarting(now time.Time) bool { return now.Sub(n.startedAt) < SilentAfter }
