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

// maxControls is how many targets are tried to find out whether the links of this instance work.
const maxControls = 3

// controlTargets returns the addresses of some listed targets other than one that was not reached.
func (n *Node) controlTargets(excluded shelfshelf.TargetName) []string {
	listed := n.catalog.Targets().Targets
	var controls []string
	start := rand.IntN(max(len(listed), 1))
	for i := range listed {
		target := listed[(start+i)%len(listed)]
		if target.Name != excluded && !target.Leaving && len(controls) < maxControls {
			controls = append(controls, target.Address)
		}
	}
	return controls
}
