package node

import (
	"net/netip"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/origin"
)

const (
	// leastStreamTime is for how long streams and their take-ups are taken to last at least. A caller takes a
	// stream up within its own time, which is mostly that of the route.
	leastStreamTime = 30 * time.Second
	// streamTimeFactor times the longest time of a route is the same where routes take longer.
	streamTimeFactor = 2
)

// buildOrigins makes the part that remembers at which versions streams began.
func (n *Node) buildOrigins(address netip.AddrPort) {
	n.origins = &origin.Registry{
		Clock: n.Clock, Log: n.Log.WithPrefix("origin"), Self: address, DataCentre: n.Settings.DataCentre,
		Members: n.gossip.MembersByDataCentre, Send: n.gossip.SendDatagram, StoreContact: n.storeContact,
		AllLive: n.allLive, StreamTime: n.streamTime,
		Store: n.Platform.Versions, IsSaver: n.leads, FirstStart: n.Settings.FirstStart,
	}
	n.origins.Init()
	n.metrics.Gauge("shelf_stream_records", func() float64 { return float64(n.origins.Count()) })
	n.metrics.Gauge("shelf_stream_records_dropped_total", func() float64 { return float64(n.origins.Dropped()) })
}

// storeContact returns as of when the configuration was last known to be current.
func (n *Node) storeContact() time.Time {
	_, at := n.catalog.Index()
	return at
}

// allLive reports whether no instance that existed lately has fallen silent.
func (n *Node) allLive() bool {
	census := n.gossip.Census()
	return census.Live == census.Known && census.Unheard == 0
}

// streamTime returns for how long streams and their take-ups last at most.
func (n *Node) streamTime() time.Duration {
	return max(leastStreamTime, time.Duration(n.longestStream.Load()))
}

// noteLongestStream takes the longest time of a route of streams.
func (n *Node) noteLongestStream(routes []shelfshelf.Route) {
	longest := time.Duration(0)
	for i := range routes {
		if routes[i].Kind == shelfshelf.RouteStream {
			longest = max(longest, routes[i].Deadline)
		}
	}
	n.longestStream.Store(int64(streamTimeFactor * longest))
}
