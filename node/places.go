package node

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/origin"
	"github.com/shelfshelf/shelfshelf/slots"
)

// buildPlaces makes the part that asks the owners of engines for places and owns
// some itself; its messages go over the socket of statuses.
func (n *Node) buildPlaces() error {
	address, err := netip.ParseAddrPort(n.Settings.Peer)
	if err != nil {
		return eris.Wrap(err, "read the address for instances")
	}
	n.buildOrigins(address)
	n.places = &slots.Client{
		Clock:      n.Clock,
		Log:        n.Log.WithPrefix("places"),
		Self:       slots.Holder{Address: address, Incarnation: n.gossip.Incarnation},
		Candidates: n.gossip.Members, FallbackCandidates: n.gossip.SubstituteMembers,
		Send: n.gossip.SendDatagram, Allowance: n.gate.Meter.Allowance, EnginesPerQueue: n.Settings.EnginesPerQueue,
	}
	n.places.OnAnnouncement = func(told shelfshelf.TargetAnnouncement) { n.words.Merge([]shelfshelf.TargetAnnouncement{told}) }
	n.places.Table = &slots.SlotTable{Clock: n.Clock, Capacity: n.capacity, RateLimit: n.pacing, SendGrant: n.places.SendGrant, OnBackoff: n.logBackoff}
	n.gossip.HandleDatagram = map[byte]func([]byte, netip.AddrPort){slots.Marker: n.places.Receive, origin.Marker: n.origins.Receive}
	n.balancer.SlotOwners = n.places
	n.balancer.SharedQueues = n.Settings.EnginesPerQueue > 1
	n.addQueueMetrics()
	n.buildSharing()
	n.addAdmissionMetrics()
	return nil
}

// metricTiers is how many tiers the metrics of queues tell apart; the deployments have three or four.
const metricTiers = 4

// addQueueMetrics adds what waits in the shared queues that this instance owns, and what was granted and passed over.
func (n *Node) addQueueMetrics() {
	for tier := range shelfshelf.Tier(metricTiers) {
		n.metrics.Gauge(fmt.Sprintf(`shelf_shared_queue_waiting{tier="%d"}`, tier), func() float64 {
			return float64(n.places.Table.Counts().Waiting[tier])
		})
		n.metrics.Gauge(fmt.Sprintf(`shelf_shared_queue_granted_total{tier="%d"}`, tier), func() float64 {
			return float64(n.places.Table.Counts().Granted[tier])
		})
		n.metrics.Gauge(fmt.Sprintf(`shelf_shared_queue_passed_over_total{tier="%d"}`, tier), func() float64 {
			return float64(n.places.Table.Counts().PassedOver[tier])
		})
	}
}

// addAdmissionMetrics adds what the owner of shared queues knows of the requests that were refused.
func (n *Node) addAdmissionMetrics() {
	n.metrics.Gauge("shelf_retries_seen_total", func() float64 { return float64(n.admission.RetriesSeen()) })
	n.metrics.Gauge("shelf_retries_served_total", func() float64 { return float64(n.admission.RetriesServed()) })
	n.metrics.Gauge("shelf_refused_in_vain_total", func() float64 { return float64(n.admission.RefusedInVain()) })
}

// logBackoff logs that a target gets nothing for a while because one instance could not reach it.
func (n *Node) logBackoff(target shelfshelf.TargetKey, reporter slots.Holder, duration time.Duration) {
	n.Log.WithPrefix("places").Info("A target gets no requests for a while.", "target", uint64(target), "reporter", reporter.Address, "for", duration)
}

// capacity returns what is known here of an engine.
func (n *Node) capacity(key shelfshelf.TargetKey) (slots.Capacity, bool) {
	count, told, known := n.balancer.Capacity(key)
	if n.words.Latest(key).Brittle > 0 {
		count = max(count-count/brittleReserve, 1)
	}
	capacity := slots.Capacity{Slots: count, Reported: told}
	if n.places.SharesQueue(key) {
		capacity.Pool, _ = n.balancer.SharedPool(key)
	}
	return capacity, known
}

// sharingEngines returns the engines among the listed targets that share queues, with their data centres. Where a data
// centre has no more engines than one queue is for, each keeps its own: a single owner would decide on all of them, and
// there is no other owner in the data centre to ask while it doesn't respond.
func sharingEngines(pools []shelfshelf.Pool, targets []shelfshelf.Target, enginesPerQueue int) map[shelfshelf.TargetKey]shelfshelf.DataCentre {
	enginePools := make(map[shelfshelf.PoolName]bool)
	for i := range pools {
		enginePools[pools[i].Name] = pools[i].Engine != nil
	}
	engines := make(map[shelfshelf.TargetKey]shelfshelf.DataCentre)
	counts := make(map[shelfshelf.DataCentre]int)
	for i := range targets {
		if enginePools[targets[i].Pool] {
			engines[shelfshelf.KeyOfTarget(targets[i].Name)] = targets[i].DataCentre
			counts[targets[i].DataCentre]++
		}
	}
	maps.DeleteFunc(engines, func(_ shelfshelf.TargetKey, centre shelfshelf.DataCentre) bool {
		return counts[centre] <= enginesPerQueue
	})
	return engines
}

// brittleReserve is the part, one in so many, of a brittle target's places that stays free: its owner learns that a
// request has left before the target does.
const brittleReserve = 8

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
	pace := announced.RateForWindow(cold.RequestRate*bounds.Excess + (1-coldReserve)*bounds.Slack)
	if cold.MaybeCold {
		return min(cold.RequestRate, pace)
	}
	return pace
}

// pacing returns how many requests a second this instance may give a target that has announced a limit
// or may be cold. Only its owner gives any, unless the target is thought to be warm; and as much of
// the whole as it hears of its data centre, so that the parts of one that is cut, each with an
// owner, don't give more together.
func (n *Node) pacing(key shelfshelf.TargetKey) slots.RateLimit {
	limit := n.words.Latest(key).Limit
	cold := n.balancer.ColdState(key)
	pace := slots.RateLimit{Limited: limit.Set || cold.RequestRate > 0}
	if !pace.Limited {
		return pace
	}
	centre, known := n.balancer.DataCentreOf(key)
	strict := limit.Set || cold.MaybeCold
	if !known || strict && !n.places.Owns(key, centre) {
		return pace
	}
	perSecond := math.Inf(1)
	if cold.RequestRate > 0 {
		perSecond = n.coldPace(cold)
	}
	if limit.Set {
		perSecond = min(perSecond, limit.PerSecond)
	} else {
		pace.InitialBurst = coldFirst
	}
	pace.PerSecond = max(perSecond*n.gossip.LiveShare(), leastPace)
	return pace
}

// target returns a listed target as it stands, by its entry and by what it has said itself.
func (n *Node) target(name shelfshelf.TargetName) (shelfshelf.Target, bool) {
	target, listed := n.catalog.Target(name)
	target.Leaving = target.Leaving || n.words.Latest(shelfshelf.KeyOfTarget(name)).Leaving
	return target, listed
}

// wordChanged hands what a target has newly said to the balancer, and tells the others at once
// of what was read here.
func (n *Node) wordChanged(target shelfshelf.TargetKey, tell bool) {
	n.balancer.AnnouncementChanged(target)
	if tell {
		n.gossip.SendNow()
	}
}
