package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/bounds"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/crashes"
	"github.com/shelfshelf/shelfshelf/evacuation"
	"github.com/shelfshelf/shelfshelf/forward"
	"github.com/shelfshelf/shelfshelf/gateway"
	"github.com/shelfshelf/shelfshelf/gossip"
	"github.com/shelfshelf/shelfshelf/overload"
	"github.com/shelfshelf/shelfshelf/quota"
	"github.com/shelfshelf/shelfshelf/relay"
	"github.com/shelfshelf/shelfshelf/retrybudget"
	"github.com/shelfshelf/shelfshelf/rollout"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// build makes the parts and ties them together.
func (n *Node) build() error {
	n.rollouts = &rollout.Tracker{
		Clock: n.Clock, Log: n.Log.WithPrefix("rollout"), Bounds: rollout.Bounds(n.Settings.Rollout),
		Instances: n.instances, OnChange: n.rolloutChanged,
	}
	n.evacuations = &evacuation.Tracker{Clock: n.Clock, Log: n.Log.WithPrefix("evacuation"), OnChange: n.evacuated}
	n.catalog = &catalog.Catalog{
		OnRollouts: n.ordered, OnEvacuations: n.evacuations.ApplyStoreUpdate, OnRestore: n.storeReturned,
		Clock: n.Clock, Log: n.Log.WithPrefix("catalog"), Source: n.Platform.Catalog,
		ReadAge: n.follow, MayReadAtStart: n.readsAtStart, OutageReadInterval: n.pace, OnChange: n.changed,
		PollTimeout: func() time.Duration { return n.watchShare(confirmShare) },
	}
	n.words = &announced.Tracker{Clock: n.Clock, Log: n.Log.WithPrefix("announced"), OnChange: n.wordChanged}
	n.balancer = &balance.Balancer{
		Clock:         n.Clock,
		DataCentre:    n.Settings.DataCentre,
		Regions:       n.Settings.Regions,
		Self:          n.Settings.Instance,
		Fleet:         n,
		Rollouts:      n.rollouts,
		Announcements: n.words,
		DrainTime:     n.Settings.TargetDrain,
		LeavingSince:  func(name shelfshelf.TargetName) time.Time { return n.catalog.LeavingSince(name) },
	}
	n.rollouts.Running = n.balancer.InFlightByVersion
	n.quota = &quota.Ledger{
		Clock:       n.Clock,
		DataCentre:  n.Settings.DataCentre,
		Window:      n.Settings.Quota.Window,
		Slack:       n.Settings.Quota.Slack,
		Instances:   n.census,
		Unheard:     func() int { return n.gossip.Census().Unheard },
		Isolated:    func() bool { return n.gossip.Isolated() },
		ReportDelay: n.PropagationDelay,
		Saves:       true,
	}
	n.quota.Start()
	n.keeper = &quota.UsageSaver{
		Clock: n.Clock, Log: n.Log.WithPrefix("quota"), Ledger: n.quota, Store: &startUses{node: n}, IsSaver: n.leads,
	}
	n.metrics = gateway.NewMetrics()
	n.buildGate()
	n.buildCrashes()
	n.relay = &relay.Relay{
		Clock: n.Clock, Log: n.Log.WithPrefix("relay"), Catalog: n.catalog, Usage: n.quota.UsageForRestore, Crashes: n.crashKeeper.Crashes,
		OnFetch: n.metrics.Fetched, Dial: n.Sockets.Dial,
		OnExceeded: n.instanceExceeded,
	}
	n.relay.Init()
	if err := n.buildGossip(); err != nil {
		return err
	}
	n.keeper.OnRestored = n.gossip.SendNow
	if err := n.buildPlaces(); err != nil {
		return err
	}
	n.buildRollouts()
	n.buildGateway()
	n.setKeyLease(n.Settings)
	return nil
}

// buildGate makes the part that bounds what is read of callers.
func (n *Node) buildGate() {
	logger := n.Log.WithPrefix("overload")
	n.gate = &overload.Gate{
		Clock: n.Clock, Log: logger,
		Meter: &overload.Meter{
			Clock: n.Clock, Log: logger, Processor: n.Processor, OnMeasured: n.metrics.ProcessorDelayed, Peers: n.nearPeers,
		},
	}
	if _, system := n.Sockets.(*systemSockets); !system {
		n.gate.Meter.Dial = n.Sockets.Dial
	}
	n.callers.Gate = n.gate
	n.metrics.Gauge("shelf_connections_limit", n.gate.Limit)
}

// buildCrashes makes the parts that know under which requests targets have ended.
func (n *Node) buildCrashes() {
	logger := n.Log.WithPrefix("crashes")
	n.crashes = &crashes.Tracker{Clock: n.Clock, Log: logger, Self: n.Settings.Instance}
	n.crashKeeper = &crashes.Saver{
		Clock: n.Clock, Log: logger, Tracker: n.crashes, Store: &startCrashes{node: n}, IsSaver: n.leads,
		Fetch: func(ctx context.Context, address string) ([]shelfshelf.Crash, error) {
			return n.relay.FetchCrashes(ctx, address)
		},
	}
	n.crashKeeper.Init()
	n.upstream = &upstream.Client{
		Clock: n.Clock, Codec: n.Platform.Codec, OnAnswer: n.words.ObserveResponse, Allowance: n.gate.Meter.Allowance,
		OnExceeded: n.targetExceeded,
	}
	if _, system := n.Sockets.(*systemSockets); !system {
		n.upstream.Dial = n.Sockets.Dial
	}
	n.buildForward()
	n.witness = &crashes.Detector{
		Clock: n.Clock, Log: logger, Tracker: n.crashes, Dial: n.upstream.Preconnect, Lookup: n.target,
		ConfirmRefused: n.forward.Refused,
	}
	n.metrics.Gauge("shelf_data_centres_evacuated", func() float64 { return float64(n.evacuations.Count()) })
	n.metrics.Gauge("shelf_targets_limited", func() float64 { return float64(n.words.LimitedCount()) })
	n.metrics.Gauge("shelf_targets_brittle", func() float64 { return float64(n.words.BrittleCount()) })
	n.metrics.Gauge("shelf_targets_leaving", func() float64 { return float64(n.words.LeavingCount()) })
	n.metrics.Gauge("shelf_targets_resting", func() float64 { return float64(n.words.BackoffCount()) })
	n.metrics.Gauge("shelf_requests_held_back", func() float64 { return float64(n.crashes.QuarantinedCount()) })
}

func (n *Node) targetExceeded(target shelfshelf.Target, exceeded *bounds.Exceeded) {
	n.reportExceeded("target", string(target.Name), exceeded)
}

func (n *Node) instanceExceeded(address string, exceeded *bounds.Exceeded) {
	n.reportExceeded("instance", address, exceeded)
}

// reportExceeded logs and counts a peer that exceeded a bound on what is read from it.
func (n *Node) reportExceeded(peer, name string, exceeded *bounds.Exceeded) {
	n.metrics.BoundExceeded(peer, exceeded.Bound)
	n.Log.Warn("A peer exceeded a bound on what is read from it; the connection was closed.",
		"peer", peer, "name", name, "bound", exceeded.Bound, "bytes", exceeded.Bytes)
}

// buildForward makes the parts that send requests over other instances where links to targets fail, and that
// serve such requests of others.
func (n *Node) buildForward() {
	logger := n.Log.WithPrefix("forward")
	n.forward = &forward.Client{
		Clock: n.Clock, Log: logger, Codec: n.Platform.Codec, Direct: n.upstream, Peers: n.forwardPeers, Controls: n.controlTargets,
		OnExceeded: n.instanceExceeded, OnHandover: n.metrics.HandoverEnded, OnDialed: n.gate.Meter.Dialed, Late: n.gate.Meter.IsLate,
	}
	if _, system := n.Sockets.(*systemSockets); !system {
		n.forward.Dial = n.Sockets.Dial
	}
	n.forward.Init()
	n.forwardServer = &forward.Server{
		Clock: n.Clock, Log: logger, Direct: n.upstream, Links: n.forward, Lookup: n.target,
		IsInstance:   func(host string) bool { return n.gossip.IsInstanceHost(host) },
		MaxHeldBytes: int64(othersShare * float64(n.Settings.MemoryMB<<20)),
		OnServed:     n.metrics.ServedForOther,
	}
	n.metrics.Gauge("shelf_links_down", func() float64 { return float64(n.forward.LinksDown()) })
	n.metrics.Gauge("shelf_requests_of_others_in_flight", func() float64 { return float64(n.forwardServer.InFlight()) })
}

// buildGossip makes the part that tells the other instances and hears them.
func (n *Node) buildGossip() error {
	datagrams, err := n.Sockets.ListenPacket(n.Settings.Peer)
	if err != nil {
		return eris.Wrap(err, "listen for statuses")
	}
	n.gossip = &gossip.Node{
		Clock: n.Clock,
		Log:   n.Log.WithPrefix("gossip"),
		Self: shelfshelf.Instance{
			ID:         n.Settings.Instance,
			DataCentre: n.Settings.DataCentre,
			Address:    n.Settings.Peer,
			State:      shelfshelf.InstanceLive,
			LinkMbps:   n.Settings.LinkMbps,
		},
		Incarnation:    uint64(n.Clock.Now().UnixNano()),
		FirstStart:     n.Settings.FirstStart,
		Conn:           datagrams,
		Handler:        n,
		Directory:      n.Platform.Directory,
		DataCentres:    slices.Sorted(maps.Keys(n.Settings.Regions)),
		FetchInstances: n.relay.FetchInstances,
	}
	n.relay.Instances = n.gossip.Instances
	n.gossip.Init()
	return nil
}

// buildGateway makes the part that carries requests, with its metrics.
func (n *Node) buildGateway() {
	n.gateway = &gateway.Server{
		Clock:         n.Clock,
		Log:           n.Log.WithPrefix("gateway"),
		Codec:         n.Platform.Codec,
		Catalog:       n.catalog,
		Balancer:      n.balancer,
		Upstream:      n.forward,
		Crashes:       n.crashes,
		CrashDetector: n.witness,
		Quota:         n.quota,
		Origins:       n.origins,
		Retries: &retrybudget.Budget{
			Clock:     n.Clock,
			Limits:    n.Settings.Retry,
			Instances: n.instances,
		},
		Metrics:          n.metrics,
		Ready:            n.fit,
		OnExceeded:       n.targetExceeded,
		MaxBufferedBytes: int64(heldShare * float64(n.Settings.MemoryMB<<20)),
	}
	n.metrics.Gauge("shelf_held_bytes", func() float64 { return float64(n.gateway.BufferedBytes()) })
	n.metrics.Gauge("shelf_requests_in_flight", func() float64 { return float64(n.gateway.InFlight()) })
	n.metrics.Gauge("shelf_requests_waiting", func() float64 { return float64(n.balancer.Waiting()) })
	n.metrics.Gauge("shelf_configuration_age_seconds", func() float64 {
		_, at := n.catalog.Index()
		return n.Clock.Now().Sub(at).Seconds()
	})
	n.metrics.Gauge("shelf_unreadable_targets", func() float64 { return float64(n.catalog.UnreadableCount()) })
	n.metrics.Gauge("shelf_configuration_bytes", func() float64 {
		index, _ := n.catalog.Index()
		if index == nil {
			return 0
		}
		return float64(len(index.Encoded))
	})
}
