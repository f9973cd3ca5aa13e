package node

import "github.com/shelfshelf/shelfshelf"

// evacuated keeps new requests from the targets of evacuated data centres, and tells the others at once.
func (n *Node) evacuated(centres []shelfshelf.DataCentre) {
	n.balancer.SetEvacuated(centres)
	n.gossip.SendNow()
}
