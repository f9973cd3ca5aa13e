package node

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/places"
)

// buildPlaces makes the part that asks the owners of engines for places and owns
// some itself; its messages go over the socket of statuses.
func (n *Node) buildPlaces() error {
	address, err := netip.ParseAddrPort(n.Settings.Peer)
	if err != nil {
		return eris.Wrap(err, "read the address for instances")
	}
	n.places = &places.Client{
		Clock:      n.Clock,
		Log:        n.Log.WithPrefix("places"),
		Self:       places.Holder{Address: address, Incarnation: n.gossip.Incarnation},
		Candidates: n.gossip.Members,
		Send:       n.gossip.SendOther,
	}
	n.places.Book = &places.Book{Clock: n.Clock, Capacity: n.capacity, Grant: n.places.Grant}
	n.gossip.Other = n.places.Receive
	n.gossip.OtherMarker = places.Marker
	n.balancer.Places = n.places
	return nil
}

// capacity returns what is known here of an engine.
func (n *Node) capacity(key shelfshelf.TargetKey) (places.Capacity, bool) {
	slots, told, known := n.balancer.Capacity(key)
	return places.Capacity{Slots: slots, Told: told}, known
}
