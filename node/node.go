package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

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
	"github.com/shelfshelf/shelfshelf/origin"
	"github.com/shelfshelf/shelfshelf/overload"
	"github.com/shelfshelf/shelfshelf/quota"
	"github.com/shelfshelf/shelfshelf/relay"
	"github.com/shelfshelf/shelfshelf/rollout"
	"github.com/shelfshelf/shelfshelf/settings"
	"github.com/shelfshelf/shelfshelf/slots"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// leaseMargin is how much sooner than a revoked key must be dead everywhere the
	// knowledge of keys counts as too old: a request has still to reach its target.
	leaseMargin = 500 * time.Millisecond
	// readyShare is the part of the key lease that the knowledge of the configuration
	// may be old for the instance to take connections: the balancer asks every second,
	// so that callers go elsewhere before keys are refused here.
	readyShare = 0.78
	// watchPerDrain bounds the age of what is known of the store by how long targets serve on after they have said that
	// they leave: an instance that the readers' silence concerns takes over after 0.85 of that at the latest
	// (othersFollowShare less confirmShare, of 2.25).
	watchPerDrain = 2.25
	// leadingCentres is how many data centres keep reading the store: two, so that the
	// loss of one is hardly felt.
	leadingCentres = 2
	// confirmShare is the part of the watch lease (see watchShare) after which a reader of the store
	// confirms what it knows: a second of 4.5 s.
	confirmShare = 0.222
	// firstsFollowShare and othersFollowShare are the parts of the watch lease after which
	// the others read too. The readers have it confirmed every second, which makes it up
	// to 2 s old there, and the others hear of it within 0.3 s; with the platform's lease
	// of 4.5 s these are 2.4 and 2.7 s.
	firstsFollowShare = 0.533
	othersFollowShare = 0.6
	// leaveDelay is how long a stopping instance still takes new requests: the
	// balancer asks every second and takes two misses for a no. What comes later would
	// have too little time left before the process ends.
	leaveDelay = 2500 * time.Millisecond
	// stopMargin is how much sooner than it would be killed the process ends itself.
	stopMargin = 400 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections; the configuration's
	// own figures are below them.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// peerIdleTimeout is how long other instances and the platform may keep a connection without a request; instances
	// close theirs after 90 s at the latest.
	peerIdleTimeout = 2 * time.Minute
	// peerWriteTimeout bounds the time in which another instance reads a response. 24 MB take 20 s on a link of
	// 10 Mbit/s with nothing else on it.
	peerWriteTimeout = 5 * time.Minute
	// callersShare is the part of the descriptors that callers may take; the rest is
	// for targets, instances and files.
	callersShare = 0.5
	// heldShare is the part of the memory that bodies may take which are held for callers: a body
	// that is read takes up to twice its size, and the rest is for what the instance knows.
	heldShare = 0.2
	// othersShare is the same for requests of other instances, which are held twice while they are read.
	othersShare = 0.05
	// crowdMargin is how many connections may be new at once while others make room.
	crowdMargin = 16
)

// Platform is what the instance needs of the platform it runs on.
type Platform struct {
	Catalog   shelfshelf.CatalogSource
	Directory shelfshelf.InstanceDirectory
	Codec     shelfshelf.CallCodec
	Uses      shelfshelf.UsageStore
	Crashes   shelfshelf.CrashStore
	Rollouts  shelfshelf.RolloutStore
	Versions  shelfshelf.VersionStore
	// ReadyPath is where the balancer asks whether the instance takes connections.
	ReadyPath string
}

// Node is one instance. Fields are set before Run.
type Node struct {
	Clock    shelfshelf.Clock
	Log      *log.Logger
	Settings *settings.Node
	Platform Platform
	// Sockets is the machine's network; nil means the operating system's.
	Sockets shelfshelf.Sockets
	// Processor is the machine's processor; nil means that of the Go runtime.
	Processor shelfshelf.Processor

	catalog  *catalog.Catalog
	balancer *balance.Balancer
	places   *slots.Client
	sharing  *slots.Sharing
	// admission decides in the shared queues that this instance owns.
	admission slots.Admission
	// words is what targets have said of themselves.
	words *announced.Tracker
	// evacuations are the data centres whose targets are to get nothing new.
	evacuations *evacuation.Tracker
	gossip      *gossip.Node
	relay       *relay.Relay
	quota       *quota.Ledger
	keeper      *quota.UsageSaver
	crashes     *crashes.Tracker
	witness     *crashes.Detector
	crashKeeper *crashes.Saver
	rollouts    *rollout.Tracker
	// rolloutKeeper judges new versions, and writes down how far orders have come.
	rolloutKeeper *rollout.Controller
	// origins remembers at which versions streams began.
	origins  *origin.Registry
	upstream *upstream.Client
	// forward sends requests to targets, over other instances where links fail; forwardServer serves those of
	// other instances.
	forward       *forward.Client
	forwardServer *forward.Server
	gateway       *gateway.Server
	metrics       *gateway.Metrics

	callers  *overload.Listener
	ready    net.Listener
	internal net.Listener
	// figures listens for readers of metrics; nil where there is no such address.
	figures  net.Listener
	crowd    crowd
	gate     *overload.Gate
	stopping atomic.Bool
	wasReady atomic.Bool
	// toldCatalogAt is since when another instance knows a configuration.
	toldCatalogAt toldAt
	// longestStream is the time of streamTime that the routes ask for.
	longestStream atomic.Int64
	// keyLease is how old the knowledge of the configuration may be for keys to be
	// taken.
	keyLease atomic.Int64
}

// Run serves until the context ends, then stops in order.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Open(); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for _, part := range []func(context.Context) error{n.catalog.Run, n.gossip.Run, n.relay.Run, n.balancer.Run, n.places.Run, n.keeper.Run, n.crashKeeper.Run, n.rolloutKeeper.Run, n.origins.Run, n.upstream.Run, n.forward.Run} {
		group.Add(func() error { return part(background) }, func(error) { cancel() })
	}
	callers := &http.Server{
		Handler:           n.gate.Handler(n.gateway),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	// The listener's limit lies above the crowd's, so that a new connection is there before
	// one that rests makes room for it.
	n.crowd.Limit = int(callersShare * float64(n.Settings.Descriptors))
	callers.ConnState = n.crowd.changed
	limited := netutil.LimitListener(n.callers, n.crowd.Limit+crowdMargin)
	addServer(&group, shortServer(n.readyHandler()), n.ready)
	addServer(&group, peerServer(n.internalHandler()), n.internal)
	if n.figures != nil {
		addServer(&group, shortServer(n.metricsHandler()), n.figures)
	}
	group.Add(func() error { return n.runCallers(ctx, callers, limited) }, func(error) { _ = callers.Close() })
	n.Log.Info("The instance has started.", "instance", n.Settings.Instance, "dataCentre", n.Settings.DataCentre,
		"callers", n.Settings.Callers, "peer", n.Settings.Peer, "store", n.Settings.Store)
	err := group.Run()
	n.Log.Info("The instance has stopped.", "instance", n.Settings.Instance, "inFlight", n.gateway.InFlight(), "error", err)
	return err
}

// shortServer returns a server whose requests have no body and whose responses are short.
func shortServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: peerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// peerServer returns a server for other instances. Its handlers bound the time of request bodies, and that of responses
// that are streams.
func peerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, WriteTimeout: peerWriteTimeout, IdleTimeout: peerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// Open listens and makes the parts; Run calls it if it has not been called.
func (n *Node) Open() error {
	if n.gateway != nil {
		return nil
	}
	if err := n.listen(); err != nil {
		return err
	}
	return n.build()
}

// StoreCalled counts a call to the platform's store; Open comes before it.
func (n *Node) StoreCalled(call, table string, answered bool) {
	n.metrics.StoreCalled(call, table, answered)
}

// StoreExceeded logs and counts an answer of the platform's store that exceeded a bound; Open comes before it.
func (n *Node) StoreExceeded(exceeded *bounds.Exceeded) {
	n.reportExceeded("store", n.Settings.Store, exceeded)
}

// Reload takes changed settings: the limits, while addresses and names stay until
// the next start.
func (n *Node) Reload(read *settings.Node) {
	n.setKeyLease(read)
	n.gateway.Retries.SetLimits(read.Retry)
}

func (n *Node) setKeyLease(read *settings.Node) {
	lease := read.KeyLease - leaseMargin
	n.keyLease.Store(int64(lease))
	n.gateway.SetKeyLease(lease)
}

// leaseShare returns a part of the key lease.
func (n *Node) leaseShare(share float64) time.Duration {
	return time.Duration(share * float64(n.keyLease.Load()))
}

// watchShare returns a part of the watch lease: the age that what is known of the store may reach, for keys and for
// targets that leave.
func (n *Node) watchShare(share float64) time.Duration {
	lease := time.Duration(n.keyLease.Load())
	if drain := n.Settings.TargetDrain; drain > 0 {
		lease = min(lease, time.Duration(watchPerDrain*float64(drain)))
	}
	return time.Duration(share * float64(lease))
}

// changed hands new targets to the balancer. The others are told at once of what comes
// from elsewhere; what another instance of the data centre has told, it told all.
func (n *Node) changed(from string) {
	index, _ := n.catalog.Index()
	if index == nil {
		return
	}
	targets := n.catalog.UsableTargets()
	n.rollouts.SetTargets(targets.Targets, targets.Version)
	n.words.SetTargets(targets.Targets)
	n.noteLongestStream(index.Bundle.Routes)
	n.origins.SetTargets(targets.Targets)
	n.places.SetEngines(sharingEngines(index.Bundle.Pools, targets.Targets, n.places.EnginesPerQueue))
	n.balancer.SetTargets(index.Bundle.Pools, targets.Targets)
	if !n.gossip.IsLocalAddress(from) {
		n.gossip.SendNow()
	}
}

// fit reports that the instance may take connections.
func (n *Node) fit() bool {
	index, at := n.catalog.Index()
	_, targetsAt := n.catalog.TargetsVersion()
	known := index != nil && n.evacuations.Known() && n.Clock.Now().Sub(at) < n.leaseShare(readyShare) && !targetsAt.IsZero()
	return known && !n.stopping.Load() && !n.crowd.Full() && !n.callers.Failing()
}

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.Platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		fit := n.fit()
		if n.wasReady.Swap(fit) != fit {
			_, at := n.catalog.Index()
			n.Log.Info("Readiness has changed.", "ready", fit, "stopping", n.stopping.Load(), "configAge", n.Clock.Now().Sub(at))
		}
		if !fit {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.relay.Handler())
	mux.Handle("POST "+forward.Path, n.forwardServer)
	mux.Handle("GET /metrics", n.metricsHandler())
	return mux
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.Write(w) })
	return mux
}

func addServer(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(
		func() error { return eris.Wrap(server.Serve(listener), "serve") },
		func(error) { _ = server.Close() },
	)
}
