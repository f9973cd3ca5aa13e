package node

import (
	"math/rand/v2"

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

// controlTarget returns the address of a listed target other than one that was not reached; false if there is
// none.
func (n *Node) controlTarget(excluded shelfshelf.TargetName) (string, bool) {
	listed := n.catalog.Targets().Targets
	start := rand.IntN(max(len(listed), 1))
	for i := range listed {
		target := listed[(start+i)%len(listed)]
		if target.Name != excluded && !target.Leaving {
			return target.Address, true
		}
	}
	return "", false
}
