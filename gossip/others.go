package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// directoryStep is how much later than the first instance of a data centre each next one reads
	// which instances the other ones have, if nobody has told it.
	directoryStep = 100 * time.Millisecond
	// othersWait is when the others are asked for where all start for the first time: most have
	// announced themselves by then.
	othersWait = announceSpread + 300*time.Millisecond
)

// part returns the part of the directory that holds a data centre's instances. The platform writes one
// part's rows one after the other, so that those of a large fleet need several.
func (n *Node) part(centre shelfshelf.DataCentre) string {
	if !slices.Contains(n.Centres, n.Self.DataCentre) {
		return ""
	}
	return string(centre)
}

// learnOthers learns of the instances of the other data centres: from another instance of this one, or
// from the platform if this one's turn comes first.
func (n *Node) learnOthers(ctx context.Context) error {
	if n.part(n.Self.DataCentre) == "" {
		n.haveOthers()
		return nil
	}
	if n.FirstStart {
		n.sleep(ctx, othersWait-n.Clock.Now().Sub(n.start))
	}
	for began := n.Clock.Now(); ctx.Err() == nil; n.sleep(ctx, directoryStep) {
		turn := time.Duration(n.Started().Before) * directoryStep
		if turn > 0 && n.askForOthers(ctx) {
			return nil
		}
		if n.Clock.Now().Sub(began) >= turn {
			return n.readOthers(ctx)
		}
	}
	return nil
}

// readOthers reads the other data centres' parts of the directory.
func (n *Node) readOthers(ctx context.Context) error {
	for _, centre := range n.Centres {
		if centre == n.Self.DataCentre {
			continue
		}
		if _, err := n.readDirectory(ctx, centre); err != nil {
			return eris.Wrap(err, "read the instances of the other data centres")
		}
	}
	n.haveOthers()
	return nil
}

// askForOthers asks the first of this data centre that is heard, and reports whether it told.
func (n *Node) askForOthers(ctx context.Context) bool {
	address, heard := n.firstHeard()
	if n.Fetch == nil || !heard {
		return false
	}
	instances, err := n.Fetch(ctx, address)
	if err != nil {
		return false
	}
	n.learnAll(instances)
	n.haveOthers()
	return true
}

// firstHeard returns the address of the instance of this data centre that goes before all others that
// are heard; false if none is.
func (n *Node) firstHeard() (address string, heard bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	var first shelfshelf.Instance
	for _, p := range n.peers {
		if n.local(p.instance) && n.fresh(p, now) && (!heard || compareInstances(p.instance, first) < 0) {
			first, heard = p.instance, true
		}
	}
	return first.Address, heard
}

// learnAll notes instances that another one knows.
func (n *Node) learnAll(instances []shelfshelf.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	for _, instance := range instances {
		if instance.ID != n.Self.ID {
			n.learn(instance, now)
		}
	}
}

func (n *Node) haveOthers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.othersKnown = true
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
	return instances, n.othersKnown
}
