package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// remoteReadStagger is how much later than the first instance of a data centre each next one reads
	// which instances the other ones have, if nobody has told it.
	remoteReadStagger = 100 * time.Millisecond
	// remoteDiscoveryDelay is when the others are asked for where all start for the first time: most have
	// announced themselves by then.
	remoteDiscoveryDelay = maxAnnounceDelay + 300*time.Millisecond
)

// directoryPartition returns the directoryPartition of the directory that holds a data centre's instances. The platform writes one
// directoryPartition's rows one after the other, so that those of a large fleet need several.
func (n *Node) directoryPartition(centre shelfshelf.DataCentre) string {
	if !slices.Contains(n.Centres, n.Self.DataCentre) {
		return ""
	}
	return string(centre)
}

// discoverRemotes learns of the instances of the other data centres: from another instance of this one, or
// from the platform if this one's turn comes first.
func (n *Node) discoverRemotes(ctx context.Context) error {
	if n.directoryPartition(n.Self.DataCentre) == "" {
		n.setRemotesKnown()
		return nil
	}
	if n.FirstStart {
		n.sleep(ctx, remoteDiscoveryDelay-n.Clock.Now().Sub(n.startedAt))
	}
	for began := n.Clock.Now(); ctx.Err() == nil; n.sleep(ctx, remoteReadStagger) {
		delay := time.Duration(n.Started().Before) * remoteReadStagger
		if delay > 0 && n.fetchRemotes(ctx) {
			return nil
		}
		if n.Clock.Now().Sub(began) >= delay {
			return n.readRemoteDirectories(ctx)
		}
	}
	return nil
}

// readRemoteDirectories reads the other data centres' parts of the directory.
func (n *Node) readRemoteDirectories(ctx context.Context) error {
	for _, centre := range n.Centres {
		if centre == n.Self.DataCentre {
			continue
		}
		if _, err := n.readDirectory(ctx, centre); err != nil {
			return eris.Wrap(err, "read the instances of the other data centres")
		}
	}
	n.setRemotesKnown()
	return nil
}

// fetchRemotes asks the first of this data centre that is heard, and reports whether it told.
func (n *Node) fetchRemotes(ctx context.Context) bool {
	address, found := n.firstLiveLocal()
	if n.Fetch == nil || !found {
		return false
	}
	instances, err := n.Fetch(ctx, address)
	if err != nil {
		return false
	}
	n.addPeers(instances)
	n.setRemotesKnown()
	return true
}

// firstLiveLocal returns the address of the instance of this data centre that goes before all others that
// are heard; false if none is.
func (n *Node) firstLiveLocal() (address string, found bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	var first shelfshelf.Instance
	for _, p := range n.peers {
		if n.isLocal(p.instance) && n.isLive(p, now) && (!found || compareInstances(p.instance, first) < 0) {
			first, found = p.instance, true
		}
	}
	return first.Address, found
}

// addPeers notes instances that another one knows.
func (n *Node) addPeers(instances []shelfshelf.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	for _, instance := range instances {
		if instance.ID != n.Self.ID {
			n.ensurePeer(instance, now)
		}
	}
}

func (n *Node) setRemotesKnown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.remotesKnown = true
}

// Instances returns all instances that are known, this one included; false while those of the other
// data centres aren't known yet.
func (n *Node) Instances() ([]shelfshelf.Instance, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	instances := []shelfshelf.Instance{n.Self}
	for _, p := range n.peers {
		instances = append(instances, p.instance)
	}
	return instances, n.remotesKnown
}
