package node

import (
	"math"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
	"github.com/shelfshelf/shelfshelf/balance"
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
		Candidates: n.gossip.Members, Substitutes: n.gossip.Substitutes,
		Send: n.gossip.SendOther,
	}
	n.places.Heard = func(told shelfshelf.TargetWord) { n.words.Heard([]shelfshelf.TargetWord{told}) }
	n.places.Book = &places.Book{Clock: n.Clock, Capacity: n.capacity, Pace: n.pacing, Grant: n.places.Grant}
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

// leastPace is how many requests a second a target with a limit gets at least, also where it
// takes none: only an answer says that the limit is over.
const leastPace = 0.2

const (
	// coldFirst is how many requests the owner of a target that may be cold gives at once as it begins.
	coldFirst = 1
	// coldReserve is the part of the slack that is kept for an owner that takes another one's place.
	coldReserve = 0.5
)

// coldPace returns how many requests a second the owner of a target may give that may turn cold.
func (n *Node) coldPace(cold balance.ColdState) float64 {
	bounds := n.Settings.Cold
	pace := announced.RateWithin(cold.Bears*bounds.Excess + (1-coldReserve)*bounds.Slack)
	if cold.Suspected {
		return min(cold.Bears, pace)
	}
	return pace
}

// pacing returns how many requests a second this instance may give a target that has announced a limit
// or may be cold. Only its owner gives any, unless the target is thought to be warm; and as much of
// the whole as it hears of its data centre, so that the parts of one that is cut, each with an
// owner, don't give more together.
func (n *Node) pacing(key shelfshelf.TargetKey) places.Pace {
	limit := n.words.Said(key).Limit
	cold := n.balancer.Cold(key)
	pace := places.Pace{Paced: limit.Named || cold.Bears > 0}
	if !pace.Paced {
		return pace
	}
	centre, known := n.balancer.Where(key)
	strict := limit.Named || cold.Suspected
	if !known || strict && !n.places.Owns(key, centre) {
		return pace
	}
	perSecond := math.Inf(1)
	if cold.Bears > 0 {
		perSecond = n.coldPace(cold)
	}
	if limit.Named {
		perSecond = min(perSecond, limit.PerSecond)
	} else {
		pace.First = coldFirst
	}
	pace.PerSecond = max(perSecond*n.gossip.HeardShare(), leastPace)
	return pace
}

// target returns a listed target as it stands, by its entry and by what it has said itself.
func (n *Node) target(name shelfshelf.TargetName) (shelfshelf.Target, bool) {
	target, listed := n.catalog.Target(name)
	target.Leaving = target.Leaving || n.words.Said(shelfshelf.KeyOfTarget(name)).Leaving
	return target, listed
}

// wordChanged hands what a target has newly said to the balancer, and tells the others at once
// of what was read here.
func (n *Node) wordChanged(target shelfshelf.TargetKey, tell bool) {
	n.balancer.WordChanged(target)
	if tell {
		n.gossip.Kick()
	}
}
