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

// maxControls is how many targets are tried to find out whether the links of this instance work.
const maxControls = 3

// controlTargets returns the addresses of some targets other than one that was not reached: targets that get
// requests. The list also has those of services that no configuration uses, and they may be anything.
func (n *Node) controlTargets(excluded shelfshelf.TargetName) []string {
	index, _ := n.catalog.Index()
	listed := n.catalog.Targets().Targets
	if index == nil {
		return nil
	}
	var controls []string
	for _, i := range rand.Perm(len(listed)) {
		if len(controls) == maxControls {
			break
		}
		target, found := n.target(listed[i].Name)
		if found && target.Name != excluded && !target.Leaving && hasPool(index.Bundle.Pools, target.Pool) {
			controls = append(controls, target.Address)
		}
	}
	return controls
}

func hasPool(pools []shelfshelf.Pool, name shelfshelf.PoolName) bool {
	return slices.ContainsFunc(pools, func(pool shelfshelf.Pool) bool { return pool.Name == name })
}
