package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"github.com/shelfshelf/shelfshelf/engine"
	"github.com/shelfshelf/shelfshelf/peer"
	"github.com/shelfshelf/shelfshelf/service"
)

const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 32 << 10
	adminStopLimit  = time.Second
	defaultMaxConns = 4096
)

// ErrCutOff means that the stop limit passed with requests still in flight.
var ErrCutOff = errors.New("requests were cut off by the stop limit")

// Instance is one entry instance with its sockets. Fields are set before Run.
type Instance struct {
	Core

	// Callers and Admin are the listeners for callers and for metrics and health.
	Callers net.Listener
	Admin   net.Listener
	// PeerConn is the UDP socket for other instances.
	PeerConn net.PacketConn
	TLS      func() *tls.Config
	// DrainDelay is how long a stopping instance still takes new requests, since
	// the balancer notices late; StopLimit bounds the whole stop.
	DrainDelay time.Duration
	StopLimit  time.Duration
	// MaxConns bounds the callers' connections; 0 means the default.
	MaxConns int

	Node *peer.Node
}

// Build makes the parts; Run calls it if it has not been called.
func (i *Instance) Build() {
	if i.Server != nil {
		return
	}
	i.Node = &peer.Node{
		Clock:   i.Clock,
		Log:     i.Log.WithPrefix("peer"),
		Handler: i.PeerHandler(),
		TLS:     i.TLS,
		Conn:    i.PeerConn,
	}
	i.Peers = i.Node
	i.Engines = engine.NewClient(i.Clock)
	i.Services = service.NewClient()
	i.Core.Build()
	i.publishNode()
}

// Run serves until the context ends, and then stops in order: no new requests,
// those in flight to their end, the rest. The error is ErrCutOff if the stop
// limit cut requests off.
func (i *Instance) Run(ctx context.Context) error {
	i.Build()
	var group run.Group
	addPart(&group, i.Node.Run)
	i.addParts(&group)
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
		Handler: i.Server.Handler(),
		// No ReadTimeout: when it passes, net/http cancels a request that is still
		// being answered, and with it a long stream. The body has a time of its own.
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// drain stops the callers' side: it leaves the balancer and its pools, takes
// requests for a little longer, and waits for those in flight.
func (i *Instance) drain(callers *http.Server) error {
	i.Leave()
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
