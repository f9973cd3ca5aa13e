package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/claim"
	"github.com/shelfshelf/shelfshelf/engine"
	"github.com/shelfshelf/shelfshelf/entry"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/member"
	"github.com/shelfshelf/shelfshelf/owner"
	"github.com/shelfshelf/shelfshelf/peer"
	"github.com/shelfshelf/shelfshelf/schedule"
	"github.com/shelfshelf/shelfshelf/service"
)

const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 32 << 10
	claimWait       = 2 * time.Second
	adminStopLimit  = time.Second
	defaultMaxConns = 4096
)

// ErrCutOff means that the stop limit passed with requests still in flight.
var ErrCutOff = errors.New("requests were cut off by the stop limit")

// Instance is one entry instance. Fields are set before Run.
type Instance struct {
	Clock      shelfshelf.Clock
	Log        *log.Logger
	ID         shelfshelf.InstanceID
	DataCentre shelfshelf.DataCentre
	// Callers and Admin are the listeners for callers and for metrics and health.
	Callers net.Listener
	Admin   net.Listener
	// PeerConn is the UDP socket for other instances, and PeerAddress how they
	// reach it.
	PeerConn    net.PacketConn
	PeerAddress string
	// Peers are other instances known from settings; may be empty.
	Peers   []shelfshelf.Instance
	Table   shelfshelf.TableService
	Objects shelfshelf.ObjectStore
	List    shelfshelf.InstanceList
	Trust   bundle.Trust
	TLS     func() *tls.Config
	// Alone says that there are no other instances, so none has to be heard.
	Alone bool
	// DrainDelay is how long a stopping instance still takes new requests, since
	// the balancer notices late; StopLimit bounds the whole stop.
	DrainDelay time.Duration
	StopLimit  time.Duration
	// MaxBody bounds a caller's body, in bytes, and MaxConns the connections.
	MaxBody  int64
	MaxConns int

	Server  *entry.Server
	Router  *owner.Router
	Members *member.Members
	Watcher *bundle.Watcher
	Claims  *claim.Claims
	Node    *peer.Node
	metrics *metrics.Set

	stopping atomic.Bool
}

// Build makes the parts; Run calls it if it has not been called.
func (i *Instance) Build() {
	if i.Server != nil {
		return
	}
	i.metrics = metrics.NewSet()
	engines := engine.NewClient(i.Clock)
	i.Node = &peer.Node{
		Clock:   i.Clock,
		Log:     i.Log.WithPrefix("peer"),
		Handler: &handler{instance: i},
		TLS:     i.TLS,
		Conn:    i.PeerConn,
	}
	i.Members = &member.Members{
		Clock: i.Clock,
		Log:   i.Log.WithPrefix("member"),
		Self: shelfshelf.Instance{
			ID:         i.ID,
			DataCentre: i.DataCentre,
			Address:    i.PeerAddress,
			State:      shelfshelf.InstanceLive,
		},
		Incarnation: uint64(i.Clock.Now().UnixNano()),
		Static:      i.Peers,
		List:        i.List,
		Peers:       i.Node,
	}
	i.Router = &owner.Router{
		Clock:         i.Clock,
		Log:           i.Log.WithPrefix("owner"),
		Self:          i.ID,
		Peers:         i.Node,
		Live:          i.Members.Live,
		Policy:        mustPolicy(),
		Tuning:        schedule.DefaultTuning(),
		Fetch:         engines,
		TargetLeaving: func(target shelfshelf.TargetName) { i.Members.MarkLeaving(target) },
	}
	i.Claims = &claim.Claims{
		Clock:    i.Clock,
		Log:      i.Log.WithPrefix("claim"),
		Table:    i.Table,
		Instance: i.ID,
		Nonce:    keys.NewNonce,
		WaitFor:  claimWait,
	}
	i.Server = &entry.Server{
		Clock:     i.Clock,
		Log:       i.Log.WithPrefix("entry"),
		Granter:   i.Router,
		Engines:   engines,
		Services:  service.NewClient(),
		Claims:    i.Claims,
		Metrics:   &entry.Metrics{Set: i.metrics},
		Instances: func() int { return len(i.Members.Live()) },
		Fit:       i.fit,
		NewID:     func() shelfshelf.RequestID { return shelfshelf.RequestID(keys.NewNonce()) },
		MaxBody:   i.MaxBody,
	}
	i.Watcher = &bundle.Watcher{
		Clock: i.Clock,
		Log:   i.Log.WithPrefix("bundle"),
		Store: &bundle.Store{Clock: i.Clock, Table: i.Table, Objects: i.Objects, Trust: i.Trust, Nonce: keys.NewNonce},
		Peers: i.Node,
		Apply: i.apply,
	}
	i.Members.Head = i.Watcher.Head
	i.Members.HeadHeard = i.Watcher.Heard
	i.Members.Changed = i.membersChanged
	i.publish()
}

func mustPolicy() schedule.PolicyEntry {
	policy, ok := schedule.PolicyNamed("shelfshelf")
	if !ok {
		panic("no policy shelfshelf")
	}
	return policy
}

// apply puts a bundle in force.
func (i *Instance) apply(accepted *bundle.Accepted) {
	i.Server.Apply(accepted)
	i.Router.SetBundle(accepted.Bundle)
	for _, pool := range accepted.Bundle.Pools {
		i.publishPool(pool, accepted.Bundle.Tiers)
	}
}

func (i *Instance) membersChanged() {
	i.Router.SetLeaving(i.Members.LeavingTargets())
}

// fit returns why this instance must not serve, or nil. One that hears neither
// the store nor another instance could miss a new bundle.
func (i *Instance) fit() error {
	now := i.Clock.Now()
	if i.Alone || now.Sub(i.Watcher.StoreContact()) < bundle.StaleAfter {
		return nil
	}
	if peerAt, _ := i.Members.Contact(); now.Sub(peerAt) < bundle.StaleAfter {
		return nil
	}
	return eris.New("this instance hears neither the store nor another instance")
}

// ready returns why the balancer should send nothing here, or nil.
func (i *Instance) ready() error {
	if i.stopping.Load() {
		return eris.New("stopping")
	}
	if i.Watcher.Current() == nil {
		return eris.New("no bundle is in force yet")
	}
	return i.fit()
}

// Ready reports whether the balancer should send requests here.
func (i *Instance) Ready() bool {
	return i.ready() == nil
}

// Run serves until the context ends, and then stops in order: no new requests,
// those in flight to their end, the rest. The error is ErrCutOff if the stop
// limit cut requests off.
func (i *Instance) Run(ctx context.Context) error {
	i.Build()
	var group run.Group
	for _, part := range []func(context.Context) error{
		i.Node.Run, i.Members.Run, i.Router.Run, i.Watcher.Run, i.Claims.Run,
	} {
		partCtx, cancel := context.WithCancel(context.Background())
		group.Add(
			func() error { return part(partCtx) },
			func(error) { cancel() },
		)
	}
	ended := make(chan struct{})
	admin := &http.Server{Handler: i.adminHandler(), ReadHeaderTimeout: headerTimeout}
	group.Add(
		func() error { return serve(admin, i.Admin, ended) },
		func(error) { shutdown(admin, adminStopLimit) },
	)
	callers := i.callersServer()
	listener := netutil.LimitListener(i.Callers, orDefault(i.MaxConns, defaultMaxConns))
	group.Add(
		func() error { return serve(callers, listener, ended) },
		func(error) { _ = callers.Close() },
	)
	stopCtx, cancel := context.WithCancel(ctx)
	var endOnce sync.Once
	group.Add(
		func() error {
			<-stopCtx.Done()
			if ctx.Err() == nil {
				return nil
			}
			return i.drain(callers)
		},
		func(error) {
			cancel()
			endOnce.Do(func() { close(ended) })
		},
	)
	i.Log.Info("The instance has started.", "instance", i.ID, "callers", i.Callers.Addr(), "peer", i.PeerAddress)
	err := group.Run()
	i.Log.Info("The instance has stopped.", "instance", i.ID)
	return err
}

func (i *Instance) callersServer() *http.Server {
	return &http.Server{
		Handler:           i.Server.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       idleTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// drain stops the callers' side: it leaves the balancer and its pools, takes
// requests for a little longer, and waits for those in flight.
func (i *Instance) drain(callers *http.Server) error {
	i.stopping.Store(true)
	i.Members.Leave()
	i.Log.Info("The instance is stopping.", "inFlight", i.Server.InFlight(), "limit", i.StopLimit)
	limit, cancel := context.WithTimeout(context.Background(), i.StopLimit)
	defer cancel()
	select {
	case <-limit.Done():
	case <-i.Clock.After(i.DrainDelay):
	}
	if err := callers.Shutdown(limit); err != nil {
		left := i.Server.InFlight()
		i.Log.Error("The stop limit has passed, requests are cut off.", "inFlight", left, "limit", i.StopLimit)
		_ = callers.Close()
		return fmt.Errorf("%w: %d after %v", ErrCutOff, left, i.StopLimit)
	}
	i.Server.WaitSettled()
	return nil
}

// serve runs a server. One that is being shut down is not at its end before
// the stop is, so it waits for that.
func serve(server *http.Server, listener net.Listener, ended <-chan struct{}) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ended
		return nil
	}
	return eris.Wrap(err, "serve")
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func shutdown(server *http.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
