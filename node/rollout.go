package node

import (
	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/rollout"
)

// buildRollouts makes the part that judges new versions.
func (n *Node) buildRollouts() {
	n.rolloutKeeper = &rollout.Controller{
		Clock: n.Clock, Log: n.Log.WithPrefix("rollout"), Tracker: n.rollouts, Store: n.Platform.Rollouts,
		Self:     rollout.InstanceRun{Instance: n.Settings.Instance, Incarnation: n.gossip.Incarnation},
		IsLeader: n.leads, ShouldPoll: n.gossip.IsFirst, PeerAddresses: n.gossip.Addresses, FetchReport: n.relay.FetchVersions,
	}
	n.relay.VersionReport = n.rolloutKeeper.Report
	n.metrics.Gauge("shelf_rollouts_under_way", func() float64 { return float64(len(n.rollouts.Active())) })
}

// ordered takes the orders that a read of the store has brought.
func (n *Node) ordered(orders []shelfshelf.Rollout, asOf uint64) {
	n.rollouts.Merge(orders, asOf, catalog.FromSource)
}

// rolloutChanged tells the others at once of an order that has changed.
func (n *Node) rolloutChanged() {
	n.rollouts.Retire(n.catalog.Targets().Targets)
	n.gossip.SendNow()
}
