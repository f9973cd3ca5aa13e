package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// remoteReadStagger is the delay between instances of a data centre, in their order, before each
	// reads the other data centres' partitions of the directory. An instance that gets their content
	// from another one in the meantime doesn't read them.
	remoteReadStagger = 100 * time.Millisecond
	// remoteDiscoveryDelay is how long after a first start of the deployment the instances of other data
	// centres are looked up; most have registered by then.
	remoteDiscoveryDelay = maxRegistrationDelay + 300*time.Millisecond
	// maxAsked is how many instances of a data centre are asked for the others at most.
	maxAsked = 3
)

// directoryPartition returns the partition of the directory that holds a data centre's instances. The
// platform writes the rows of a partition one after the other, so a large fleet needs several.
func (n *Node) directoryPartition(centre shelfshelf.DataCentre) string {
	if !slices.Contains(n.DataCentres, n.Self.DataCentre) {
		return ""
	}
	return string(centre)
}

// discoverRemotes learns of the instances of the other data centres: from another instance of this one
// or, if this instance's delay runs out first, from the directory.
func (n *Node) discoverRemotes(ctx context.Context) error {
	if n.directoryPartition(n.Self.DataCentre) == "" {
		n.setRemotesKnown()
		return nil
	}
	if n.FirstStart {
		n.sleep(ctx, remoteDiscoveryDelay-n.Clock.Now().Sub(n.startedAt))
	}
	for began := n.Clock.Now(); ctx.Err() == nil; n.sleep(ctx, remoteReadStagger) {
		delay := time.Duration(n.Started().Preceding) * remoteReadStagger
		if delay > 0 && n.fetchRemotes(ctx) {
			return nil
		}
		if n.Clock.Now().Sub(began) >= delay {
			return n.readRemoteDirectories(ctx)
		}
	}
	return nil
}

// readRemoteDirectories reads the other data centres' partitions of the directory.
func (n *Node) readRemoteDirectories(ctx context.Context) error {
	for _, centre := range n.DataCentres {
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

// fetchRemotes asks the first live instance of this data centre for all instances that it knows, and
// reports whether it answered.
func (n *Node) fetchRemotes(ctx context.Context) bool {
	address, found := n.firstLiveLocal()
	if n.FetchInstances == nil || !found {
		return false
	}
	return n.fetchAll(ctx, address)
}

// fetchAll asks another instance for the instances that it knows, and reports whether these are all.
func (n *Node) fetchAll(ctx context.Context, address string) bool {
	list, err := n.FetchInstances(ctx, address)
	if err != nil {
		return false
	}
	n.addPeers(list.Instances)
	if list.Complete {
		n.setLocalsKnown()
		n.setRemotesKnown()
	}
	return list.Complete
}

// discoverThroughOthers learns of the instances of this data centre while the directory can't tell them: it asks
// instances that the other data centres' partitions list. Those of its own data centre then learn of this one from its
// statuses. Others that start at the same time are in a later answer only.
func (n *Node) discoverThroughOthers(ctx context.Context) {
	if n.FetchInstances == nil || n.directoryPartition(n.Self.DataCentre) == "" {
		return
	}
	for _, centre := range n.DataCentres {
		if centre == n.Self.DataCentre {
			continue
		}
		if _, err := n.readDirectory(ctx, centre); err != nil {
			continue
		}
		for _, address := range n.addressesToAsk(centre) {
			if n.fetchAll(ctx, address) {
				return
			}
		}
	}
}

// addressesToAsk returns the addresses of some instances of a data centre, in random order.
func (n *Node) addressesToAsk(centre shelfshelf.DataCentre) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, p := range n.peers {
		if p.instance.DataCentre == centre {
			addresses = append(addresses, p.instance.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAsked)]
}

// firstLiveLocal returns the address of the first live peer in this data centre (see compareInstances);
// false if there is none.
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

// addPeers adds instances that the directory or another instance has listed.
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

// Instances returns all known instances, including this one. The list is complete once the listed instances of all
// data centres are known.
func (n *Node) Instances() shelfshelf.KnownInstances {
	n.mu.Lock()
	defer n.mu.Unlock()
	instances := []shelfshelf.Instance{n.Self}
	for _, p := range n.peers {
		instances = append(instances, p.instance)
	}
	return shelfshelf.KnownInstances{Instances: instances, Complete: n.remotesKnown && !n.directoryReadAt.IsZero()}
}
