package node

import (
	"math/rand/v2"
	"slices"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/forward"
)

// forwardPeers returns the instances that may take requests whose targets aren't reached from here.
func (n *Node) forwardPeers() []forward.Peer {
	local, remote := n.gossip.LivePeers()
	var peers []forward.Peer
	for _, address := range local {
		peers = append(peers, forward.Peer{Address: address, Local: true})
	}
	for _, address := range remote {
		peers = append(peers, forward.Peer{Address: address})
	}
	return peers
}

// nearPeers returns the addresses of the other live instances of this data centre, or of others if there are none.
func (n *Node) nearPeers() []string {
	local, remote := n.gossip.LivePeers()
	if len(local) == 0 {
		return slices.Clone(remote)
	}
	return slices.Clone(local)
}

// maxControls is how many targets are tried to find out whether the links of this instance work.
const maxControls = 3

// controlTargets returns some targets that get requests, other than one that was not reached: those of its pool, or of
// other pools if it has none. The list also has targets of services that no configuration uses, and they may be anything.
func (n *Node) controlTargets(target shelfshelf.Target) []shelfshelf.Target {
	index, _ := n.catalog.Index()
	if index == nil {
		return nil
	}
	var same, others []shelfshelf.Target
	listed := n.catalog.Targets().Targets
	for _, i := range rand.Perm(len(listed)) {
		control, found := n.target(listed[i].Name)
		switch {
		case !found || control.Name == target.Name || control.Leaving || !hasPool(index.Bundle.Pools, control.Pool):
		case control.Pool == target.Pool:
			same = append(same, control)
		default:
			others = append(others, control)
		}
		if len(same) == maxControls {
			break
		}
	}
	if len(same) == 0 {
		same = others
	}
	return same[:min(len(same), maxControls)]
}

func hasPool(pools []shelfshelf.Pool, name shelfshelf.PoolName) bool {
	return slices.ContainsFunc(pools, func(pool shelfshelf.Pool) bool { return pool.Name == name })
}
