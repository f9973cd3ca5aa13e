package demo

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/deploy"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/instance"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/platform"
	"github.com/shelfshelf/shelfshelf/transport"
)

const (
	anyPort         = "127.0.0.1:0"
	certificateLife = time.Hour
	approverName    = "demo-approver"
	drainDelay      = time.Second
	stopLimit       = 30 * time.Second
	readyWithin     = 10 * time.Second
	pollPeriod      = 20 * time.Millisecond
)

// TokenOf is the bearer token of a customer in the example bundles.
func TokenOf(customer shelfshelf.CustomerName) string {
	return "demo-" + string(customer) + "-token"
}

// Cluster is a small deployment on this machine.
type Cluster struct {
	Clock    shelfshelf.Clock
	Log      *log.Logger
	Platform *fake.Platform
	// PlatformAddress is the base URL of the platform stand-in.
	PlatformAddress string
	Engines         map[shelfshelf.TargetName]*fake.Engine
	Services        map[shelfshelf.TargetName]*fake.Service
	Members         []*Member
	Bundles         *bundle.Store

	approver  ed25519.PrivateKey
	authority *keys.Authority
	root      []byte
	content   map[string]any
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	servers   []*http.Server
}

// Member is one entry instance of the cluster.
type Member struct {
	*instance.Instance

	// Address is the base URL for callers, and AdminAddress for metrics.
	Address      string
	AdminAddress string

	stop    context.CancelFunc
	done    chan struct{}
	stopped bool
	err     error
}

// NewCluster starts the platform and the targets of a deployment's bundle: of
// the engines every one whose place is a multiple of keepEvery, and as many
// services as given.
func NewCluster(clock shelfshelf.Clock, logger *log.Logger, deployment string, engines, services int) (*Cluster, error) {
	c := &Cluster{
		Clock:    clock,
		Log:      logger,
		Platform: fake.NewPlatform(clock),
		Engines:  make(map[shelfshelf.TargetName]*fake.Engine),
		Services: make(map[shelfshelf.TargetName]*fake.Service),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	address, err := c.serve(c.Platform.Handler())
	if err != nil {
		return nil, err
	}
	c.PlatformAddress = address
	public, private, err := keys.NewApprover()
	if err != nil {
		return nil, err
	}
	c.approver = private
	if c.authority, err = keys.NewAuthority(clock.Now()); err != nil {
		return nil, err
	}
	pair, err := c.authority.Pair()
	if err != nil {
		return nil, err
	}
	c.root = pair.Certificate
	client := platform.NewStore(address)
	c.Bundles = &bundle.Store{
		Clock:   clock,
		Table:   client,
		Objects: client,
		Trust: bundle.Trust{
			Approvers: []shelfshelf.Approver{{Name: approverName, PublicKey: public}},
			Threshold: 1,
		},
		Nonce: keys.NewNonce,
	}
	return c, c.startTargets(deployment, public, engines, services)
}

// startTargets cuts the deployment's bundle to size and starts its targets.
func (c *Cluster) startTargets(deployment string, public ed25519.PublicKey, engines, services int) error {
	raw, err := deploy.Bundle(deployment)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &c.content); err != nil {
		return eris.Wrap(err, "example bundle")
	}
	parsed, err := bundle.Parse(deployment, raw)
	if err != nil {
		return err
	}
	all, _ := c.content["targets"].([]any)
	kept := make([]any, 0, engines+services)
	step := max(1, (len(all)-services)/max(engines, 1))
	for index, target := range parsed.Targets {
		isEngine := target.Kind == shelfshelf.KindEngine
		if isEngine && (engines == 0 || index%step != 0) || !isEngine && services == 0 {
			continue
		}
		if isEngine {
			engines--
		} else {
			services--
		}
		address, err := c.startTarget(target)
		if err != nil {
			return err
		}
		wire, _ := all[index].(map[string]any)
		wire["address"] = address
		kept = append(kept, wire)
	}
	c.content["targets"] = kept
	c.content["approvers"] = []any{map[string]any{"name": approverName, "publicKey": hex.EncodeToString(public)}}
	return nil
}

func (c *Cluster) startTarget(target shelfshelf.Target) (string, error) {
	if target.Kind == shelfshelf.KindService {
		service := fake.NewService(c.Clock, target)
		c.Services[target.Name] = service
		return c.serve(service.Handler())
	}
	engine := fake.NewEngine(c.Clock, target)
	c.Engines[target.Name] = engine
	c.running.Add(1)
	go c.runEngine(engine)
	return c.serve(engine.Handler())
}

func (c *Cluster) runEngine(engine *fake.Engine) {
	defer c.running.Done()
	_ = engine.Run(c.ctx)
}

// serve serves a handler on a free port.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: certificateLife}
	c.servers = append(c.servers, server)
	c.running.Add(1)
	go c.runServer(server, listener)
	return "http://" + listener.Addr().String(), nil
}

func (c *Cluster) runServer(server *http.Server, listener net.Listener) {
	defer c.running.Done()
	_ = server.Serve(listener)
}

// Set changes a top-level field of the bundle that Roll rolls next.
func (c *Cluster) Set(field string, value any) {
	c.content[field] = value
}

// Append adds an item to a list at the top of the bundle that Roll rolls next.
func (c *Cluster) Append(field string, item any) {
	list, _ := c.content[field].([]any)
	c.content[field] = append(list, item)
}

// Roll signs the bundle as it stands and rolls it.
func (c *Cluster) Roll(ctx context.Context, by string) (bundle.Entry, error) {
	content, err := json.MarshalIndent(c.content, "", "  ")
	if err != nil {
		return bundle.Entry{}, eris.Wrap(err, "encode bundle")
	}
	signed := &bundle.Signed{Content: content}
	signed.Sign(approverName, c.approver)
	return c.Bundles.Roll(ctx, signed, by)
}

// StartMember starts an entry instance and puts it on the platform's list.
func (c *Cluster) StartMember(id shelfshelf.InstanceID, place shelfshelf.DataCentre) (*Member, error) {
	callers, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	admin, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	peers, err := net.ListenPacket("udp", anyPort)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	pair, err := c.authority.Issue(string(id), c.Clock.Now(), certificateLife)
	if err != nil {
		return nil, err
	}
	config, err := keys.TLSConfig(pair, c.root)
	if err != nil {
		return nil, err
	}
	client := platform.NewStore(c.PlatformAddress)
	member := &Member{
		Instance: &instance.Instance{
			Core: instance.Core{
				Clock:       c.Clock,
				Log:         c.Log.With("instance", id),
				ID:          id,
				DataCentre:  place,
				PeerAddress: peers.LocalAddr().String(),
				Table:       client,
				Objects:     client,
				List:        client,
				Trust:       c.Bundles.Trust,
				Reach:       transport.Reach,
			},
			Callers:    callers,
			Admin:      admin,
			PeerConn:   peers,
			TLS:        func() *tls.Config { return config },
			DrainDelay: drainDelay,
			StopLimit:  stopLimit,
		},
		Address:      "http://" + callers.Addr().String(),
		AdminAddress: "http://" + admin.Addr().String(),
		done:         make(chan struct{}),
	}
	member.Build()
	announced := shelfshelf.Instance{ID: id, DataCentre: place, Address: member.PeerAddress, State: shelfshelf.InstanceLive}
	if err := client.Announce(c.ctx, "", announced); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	member.stop = stop
	c.Members = append(c.Members, member)
	go member.run(ctx)
	return member, nil
}

func (m *Member) run(ctx context.Context) {
	defer close(m.done)
	m.err = m.Run(ctx)
}

// Stop stops an instance as planned and returns what it reports.
func (m *Member) Stop() error {
	m.stopped = true
	m.stop()
	<-m.done
	return m.err
}

// WaitReady waits until every instance that was not stopped is ready and hears
// all others.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for !c.allReady() {
		select {
		case <-ctx.Done():
			return eris.New("the instances did not get ready in time")
		case <-c.Clock.After(pollPeriod):
		}
	}
	return nil
}

func (c *Cluster) allReady() bool {
	running := c.Running()
	for _, member := range running {
		if !member.Ready() || len(member.Members.Live()) < len(running) {
			return false
		}
	}
	return true
}

// Running returns the instances that were not stopped.
func (c *Cluster) Running() []*Member {
	var running []*Member
	for _, member := range c.Members {
		if !member.stopped {
			running = append(running, member)
		}
	}
	return running
}

// Close stops everything.
func (c *Cluster) Close() {
	for _, member := range c.Running() {
		_ = member.Stop()
	}
	c.cancel()
	for _, server := range c.servers {
		_ = server.Close()
	}
	c.running.Wait()
}
