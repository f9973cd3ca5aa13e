package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// exchangeLoop exchanges digests with the other data centres, sharing the work with the other instances
// of this one. The first exchange comes after a random part of the interval. When it came after a whole
// interval, all 48 instances of a data centre that started together sent digests at the same moment and
// then none for 4 s, so that each data centre admitted a sixth of the customers' limits.
func (n *Node) exchangeLoop(ctx context.Context) error {
	started := false
	for ctx.Err() == nil {
		interval, peerSeen := n.ownExchangeInterval()
		pause := jitter(interval)
		switch {
		case !peerSeen:
			pause = exchangeInterval
		case !started:
			started = true
			pause = time.Duration(rand.Float64() * float64(interval))
		}
		select {
		case <-ctx.Done():
		case <-n.Clock.After(pause):
		}
		if !n.isExchanger() {
			continue
		}
		for _, id := range n.pickExchangePeers() {
			n.sendDigest(kindExchangeRequest, id)
		}
	}
	return nil
}

// ownExchangeInterval returns how often this instance exchanges digests, and whether it has heard from
// any other instance of its data centre; until then it doesn't know how many there are.
func (n *Node) ownExchangeInterval() (interval time.Duration, peerSeen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	exchangers := 1
	for _, p := range n.peers {
		if n.isLocal(p.instance) && !p.silent {
			exchangers++
			peerSeen = peerSeen || p.seen
		}
	}
	if n.isSparse() {
		exchangers = len(n.aggregators)
	}
	return time.Duration(exchangers) * exchangeInterval, peerSeen
}

// isExchanger reports whether this instance exchanges digests: all instances do in a small data centre,
// only aggregators in a large one.
func (n *Node) isExchanger() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isSparse() || n.isAggregator(n.Self.ID)
}

// pickExchangePeers picks a random instance of each other data centre, mostly one that answers; in a
// large data centre, mostly an aggregator.
func (n *Node) pickExchangePeers() []shelfshelf.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := make(map[shelfshelf.DataCentre][]shelfshelf.Instance)
	all := make(map[shelfshelf.DataCentre][]shelfshelf.Instance)
	for _, p := range n.peers {
		if n.isLocal(p.instance) {
			continue
		}
		centre := p.instance.DataCentre
		all[centre] = append(all[centre], p.instance)
		if p.unanswered < suspectAfter {
			live[centre] = append(live[centre], p.instance)
		}
	}
	var picked []shelfshelf.InstanceID
	for centre, instances := range all {
		large := len(instances) > maxFullMeshInstances
		if len(live[centre]) > 0 && rand.IntN(suspectProbeOneIn) > 0 {
			instances = live[centre]
			if large {
				slices.SortFunc(instances, compareInstances)
				instances = instances[:min(len(instances), aggregatorCount)]
			}
		}
		picked = append(picked, instances[rand.IntN(len(instances))].ID)
	}
	return picked
}

// sendDigest sends this data centre's digest to an instance of another one.
func (n *Node) sendDigest(k kind, to shelfshelf.InstanceID) {
	status := n.Handler.Status()
	status.Loads, status.Usage, status.EndedUsage = nil, nil, nil
	status.Crashes = n.Handler.Crashes(true)
	digest := n.Handler.Digest()
	now := n.Clock.Now()
	n.mu.Lock()
	p := n.peers[to]
	if p == nil {
		n.mu.Unlock()
		return
	}
	if k == kindExchangeRequest {
		p.unanswered++
	}
	n.setSender(&status)
	n.fillDigest(&digest, now)
	status.Digests = []shelfshelf.Digest{digest}
	messages, addresses := n.addressMessages(k, status, []*peerState{p}, now)
	n.mu.Unlock()
	n.send(messages[0], addresses[0])
}
