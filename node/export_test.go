package node

import (
	"fmt"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// Census returns how many instances one knows and how many of them it hears.
func Census(n *Node) (known, heard int) { return n.census() }

// Owners returns the instances that one takes for owners of a data centre's engines, in a
// form that can be compared.
func Owners(n *Node, centre shelfshelf.DataCentre) string {
	var owners []string
	for _, candidate := range n.gossip.Members(centre) {
		owners = append(owners, candidate.Address.String())
	}
	slices.Sort(owners)
	return fmt.Sprint(owners)
}

// TargetEnded notes that a target ended under a request, as an instance that saw it does.
func TargetEnded(n *Node, target shelfshelf.TargetName, request shelfshelf.Fingerprint) {
	n.crashes.RecordCrash(shelfshelf.Target{Name: target}, []shelfshelf.Fingerprint{request}, n.Clock.Now())
}

// HoldsBack reports that an instance refuses a request.
func HoldsBack(n *Node, request shelfshelf.Fingerprint) bool {
	_, held := n.crashes.CheckQuarantine(request, "r")
	return held
}

// OwnsTarget reports that one gives out the places of a target.
func OwnsTarget(n *Node, target shelfshelf.TargetName) bool {
	key := shelfshelf.KeyOfTarget(target)
	centre, known := n.balancer.DataCentreOf(key)
	return known && n.places.Owns(key, centre)
}

// Controls returns the targets by which one finds out whether its links work to a target.
func Controls(n *Node, target shelfshelf.Target) []shelfshelf.Target { return n.controlTargets(target) }
