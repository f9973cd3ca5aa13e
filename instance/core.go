package instance

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/claim"
	"github.com/shelfshelf/shelfshelf/crashes"
	"github.com/shelfshelf/shelfshelf/entry"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/member"
	"github.com/shelfshelf/shelfshelf/owner"
	"github.com/shelfshelf/shelfshelf/schedule"
)

// Core is an instance without its sockets: whatever carries its messages, calls
// and requests comes in as interfaces. Fields are set before Build.
type Core struct {
	Clock      shelfshelf.Clock
	Log        *log.Logger
	ID         shelfshelf.InstanceID
	DataCentre shelfshelf.DataCentre
	// PeerAddress is how others reach this instance.
	PeerAddress string
	// Static are other instances known from settings; may be empty.
	Static   []shelfshelf.Instance
	Table    shelfshelf.TableService
	Objects  shelfshelf.ObjectStore
	List     shelfshelf.InstanceList
	Trust    bundle.Trust
	Peers    shelfshelf.Peers
	Engines  shelfshelf.EngineClient
	Services shelfshelf.ServiceClient
	// Reach opens a connection to a target and closes it; nil means that it is not known
	// whether a target's process is there.
	Reach func(ctx context.Context, address string) error
	// Alone says that there are no other instances, so none has to be heard.
	Alone bool
	// MaxBody bounds a caller's body, in bytes; 0 means the default.
	MaxBody int64

	Server  *entry.Server
	Router  *owner.Router
	Members *member.Members
	Watcher *bundle.Watcher
	Claims  *claim.Claims
	Sweeper *claim.Sweeper

	metrics  *metrics.Set
	stopping atomic.Bool
}

// claimWait is how long a retry waits for another attempt to finish.
const claimWait = 2 * time.Second

// build makes the parts.
func (c *Core) build() {
	c.metrics = metrics.NewSet()
	c.Members = &member.Members{
		Clock: c.Clock,
		Log:   c.Log.WithPrefix("member"),
		Self: shelfshelf.Instance{
			ID:         c.ID,
			DataCentre: c.DataCentre,
			Address:    c.PeerAddress,
			State:      shelfshelf.InstanceLive,
		},
		Incarnation: uint64(c.Clock.Now().UnixNano()),
		Static:      c.Static,
		List:        c.List,
		Peers:       c.Peers,
	}
	c.Router = &owner.Router{
		Clock:         c.Clock,
		Log:           c.Log.WithPrefix("owner"),
		Self:          c.ID,
		Peers:         c.Peers,
		Live:          c.Members.Live,
		Policy:        mustPolicy(),
		Tuning:        schedule.DefaultTuning(),
		Fetch:         c.Engines,
		TargetLeaving: func(target shelfshelf.TargetName) { c.Members.MarkLeaving(target) },
	}
	c.Claims = &claim.Claims{
		Clock:    c.Clock,
		Log:      c.Log.WithPrefix("claim"),
		Table:    c.Table,
		Instance: c.ID,
		Nonce:    keys.NewNonce,
		WaitFor:  claimWait,
	}
	c.Server = &entry.Server{
		Clock:     c.Clock,
		Log:       c.Log.WithPrefix("entry"),
		Granter:   c.Router,
		Engines:   c.Engines,
		Services:  c.Services,
		Claims:    c.Claims,
		Metrics:   &entry.Metrics{Set: c.metrics},
		Instances: func() int { return len(c.Members.Live()) },
		Fit:       c.fit,
		NewID:     func() shelfshelf.RequestID { return shelfshelf.RequestID(keys.NewNonce()) },
		MaxBody:   c.MaxBody,
	}
	c.Watcher = &bundle.Watcher{
		Clock: c.Clock,
		Log:   c.Log.WithPrefix("bundle"),
		Store: &bundle.Store{Clock: c.Clock, Table: c.Table, Objects: c.Objects, Trust: c.Trust, Nonce: keys.NewNonce},
		Peers: c.Peers,
		Apply: c.apply,
	}
	c.Sweeper = &claim.Sweeper{
		Clock:     c.Clock,
		Log:       c.Log.WithPrefix("claim"),
		Table:     c.Table,
		Mine:      c.sweeps,
		Customers: c.customers,
	}
	c.buildCrashes()
	c.Members.Head = c.Watcher.Head
	c.Members.StoreAt = c.Watcher.StoreContact
	c.Members.HeadHeard = c.Watcher.Heard
	c.Members.Changed = c.membersChanged
	c.publish()
}

// buildCrashes ties in what is known of requests under which targets have ended.
func (c *Core) buildCrashes() {
	logger := c.Log.WithPrefix("crashes")
	record := &crashes.Tracker{Clock: c.Clock, Log: logger, Self: c.ID}
	c.Server.Crashes = record
	c.Members.Crashes = func() []shelfshelf.Crash { return record.Updates(false) }
	c.Members.CrashesHeard = func(told []shelfshelf.Crash) { record.Merge(told, false) }
	if c.Reach != nil {
		c.Server.Witness = &crashes.Detector{Clock: c.Clock, Log: logger, Tracker: record, Dial: c.Reach, Lookup: c.target}
	}
}

// target returns a target of the bundle in force, leaving if anybody knows that it is.
func (c *Core) target(name shelfshelf.TargetName) (shelfshelf.Target, bool) {
	target, found := c.Server.Target(name)
	target.Leaving = target.Leaving || slices.Contains(c.Members.LeavingTargets(), name)
	return target, found
}

// Build makes the parts once; Run needs it.
func (c *Core) Build() {
	if c.Server == nil {
		c.build()
	}
}

func mustPolicy() schedule.PolicyEntry {
	policy, ok := schedule.PolicyNamed("shelfshelf")
	if !ok {
		panic("no policy shelfshelf")
	}
	return policy
}

// apply puts a bundle in force.
func (c *Core) apply(accepted *bundle.Accepted) {
	c.Server.Apply(accepted)
	c.Router.SetBundle(accepted.Bundle)
	for _, pool := range accepted.Bundle.Pools {
		c.publishPool(pool, accepted.Bundle.Tiers)
	}
}

// sweepShard stands for the sweeping of claims among the owners.
const sweepShard = "claims"

// sweeps reports whether this instance is the one that sweeps old claims.
func (c *Core) sweeps() bool {
	sweeper, ok := owner.Of(shelfshelf.Shard{Pool: sweepShard}, c.Members.Live())
	return ok && sweeper.ID == c.ID
}

// customers returns the customers of the bundle in force.
func (c *Core) customers() []shelfshelf.CustomerName {
	accepted := c.Watcher.Current()
	if accepted == nil {
		return nil
	}
	names := make([]shelfshelf.CustomerName, 0, len(accepted.Bundle.Customers))
	for _, customer := range accepted.Bundle.Customers {
		names = append(names, customer.Name)
	}
	return names
}

func (c *Core) membersChanged() {
	c.Router.SetLeaving(c.Members.LeavingTargets())
}

// fit returns why this instance must not serve, or nil. One that neither knows
// of a late read of the store nor hears most of the others could miss a bundle
// that has been accepted, and go on with an old one.
func (c *Core) fit() error {
	now := c.Clock.Now()
	if c.Alone || now.Sub(c.Members.StoreSeenAt()) < bundle.StaleAfter {
		return nil
	}
	if c.Members.HearsMost(bundle.StaleAfter) {
		return nil
	}
	return eris.New("this instance hears neither the store nor most of the other instances")
}

// ready returns why the balancer should send nothing here, or nil.
func (c *Core) ready() error {
	if c.stopping.Load() {
		return eris.New("stopping")
	}
	if c.Watcher.Current() == nil {
		return eris.New("no bundle is in force yet")
	}
	return c.fit()
}

// Ready reports whether the balancer should send requests here.
func (c *Core) Ready() bool {
	return c.ready() == nil
}

// Leave takes the instance out of the balancer and its pools.
func (c *Core) Leave() {
	c.stopping.Store(true)
	c.Members.Leave()
}

// addParts puts the parts into a group of actors.
func (c *Core) addParts(group *run.Group) {
	for _, part := range []func(context.Context) error{
		c.Members.Run, c.Router.Run, c.Watcher.Run, c.Claims.Run, c.Sweeper.Run,
	} {
		addPart(group, part)
	}
}

// addPart adds an actor that ends with its context.
func addPart(group *run.Group, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(
		func() error { return part(ctx) },
		func(error) { cancel() },
	)
}

// Run runs the parts until the context ends.
func (c *Core) Run(ctx context.Context) error {
	c.Build()
	var group run.Group
	c.addParts(&group)
	ending, cancel := context.WithCancel(ctx)
	group.Add(
		func() error { <-ending.Done(); return nil },
		func(error) { cancel() },
	)
	return group.Run()
}
