package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/schedule"
)

const (
	// reachTimeout bounds a message to an owner that may have died.
	reachTimeout = time.Second
	// avoidOwnerFor is how long an owner that could not be reached is not asked.
	avoidOwnerFor = time.Second
)

// Router finds the way from an ask to its decision: to this instance's own
// shard, to the owner elsewhere, or, when the owner can't be reached, to a
// shard that decides alone on its share of each target.
type Router struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	Self  shelfshelf.InstanceID
	Peers shelfshelf.Peers
	// Live returns the live instances.
	Live func() []shelfshelf.Instance
	// Policy and Tuning choose how shards decide.
	Policy schedule.PolicyEntry
	Tuning schedule.Tuning
	// Fetch reads targets' load and cache events.
	Fetch shelfshelf.EngineClient
	// TargetLeaving is called when a target's report says that it is leaving.
	TargetLeaving func(shelfshelf.TargetName)

	mu      sync.Mutex
	bundle  *shelfshelf.Bundle
	leaving map[shelfshelf.TargetName]bool
	pools   map[shelfshelf.PoolName]*pool
	tickets map[shelfshelf.RequestID]*ticket
	avoided map[shelfshelf.InstanceID]time.Time
	ctx     context.Context
	loops   sync.WaitGroup
	alone   uint64
	asked   uint64
	moved   uint64
}

// pool is one pool's shards at this instance.
type pool struct {
	name  shelfshelf.PoolName
	owner shelfshelf.InstanceID
	// own decides while this instance is the owner; it is nil before that.
	own *Shard
	// solo decides while the owner can't be reached.
	solo    *Shard
	targets []shelfshelf.Target
	stop    context.CancelFunc
	// moved is closed and replaced when the owner changes.
	moved  chan struct{}
	cursor map[shelfshelf.TargetName]uint64
}

// Stats is what a router has done since it began.
type Stats struct {
	// Asked counts asks, Alone those decided without the owner, and Moved
	// requests in line that went on to a new owner.
	Asked uint64
	Alone uint64
	Moved uint64
}

// Run keeps the shards of the pools until the context ends.
func (r *Router) Run(ctx context.Context) error {
	r.mu.Lock()
	r.init()
	r.ctx = ctx
	r.mu.Unlock()
	r.Refresh()
	<-ctx.Done()
	r.loops.Wait()
	return nil
}

func (r *Router) init() {
	if r.pools == nil {
		r.pools = make(map[shelfshelf.PoolName]*pool)
		r.tickets = make(map[shelfshelf.RequestID]*ticket)
		r.avoided = make(map[shelfshelf.InstanceID]time.Time)
	}
}

// Stats returns what the router has done so far.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Asked: r.asked, Alone: r.alone, Moved: r.moved}
}

// SetBundle puts a bundle in force.
func (r *Router) SetBundle(bundle *shelfshelf.Bundle) {
	r.mu.Lock()
	r.init()
	r.bundle = bundle
	r.mu.Unlock()
	r.Refresh()
}

// SetLeaving replaces the targets that get no new work whatever the bundle says.
func (r *Router) SetLeaving(targets []shelfshelf.TargetName) {
	r.mu.Lock()
	r.init()
	r.leaving = make(map[shelfshelf.TargetName]bool, len(targets))
	for _, target := range targets {
		r.leaving[target] = true
	}
	r.mu.Unlock()
	r.Refresh()
}

// Refresh takes in a change of the bundle, the live instances or the leaving
// targets. Only pools whose owner has changed are disturbed.
func (r *Router) Refresh() {
	live := r.Live()
	r.mu.Lock()
	if r.bundle == nil || r.ctx == nil {
		r.mu.Unlock()
		return
	}
	declared := make(map[shelfshelf.PoolName]bool)
	var changed []*pool
	for _, spec := range r.bundle.Pools {
		declared[spec.Name] = true
		p := r.pools[spec.Name]
		if p == nil {
			p = r.addPool(spec.Name)
		}
		if r.refreshPool(p, live) {
			changed = append(changed, p)
		}
	}
	for name, p := range r.pools {
		if !declared[name] {
			p.stop()
			close(p.moved)
			delete(r.pools, name)
		}
	}
	holds := r.ticketsOf(changed)
	r.mu.Unlock()
	for _, t := range holds {
		go t.runHold(r)
	}
}

func (r *Router) addPool(name shelfshelf.PoolName) *pool {
	ctx, stop := context.WithCancel(r.ctx)
	p := &pool{
		name:   name,
		stop:   stop,
		moved:  make(chan struct{}),
		cursor: make(map[shelfshelf.TargetName]uint64),
	}
	p.own = NewShard(r.Clock, r.newPolicy())
	p.solo = NewShard(r.Clock, r.newPolicy())
	r.pools[name] = p
	for _, shard := range []*Shard{p.own, p.solo} {
		r.loops.Add(1)
		go r.runShard(ctx, shard)
	}
	r.loops.Add(1)
	go r.loopReports(ctx, p)
	return p
}

func (r *Router) newPolicy() shelfshelf.Policy {
	return r.Policy.New(schedule.Config{Tiers: r.bundle.Tiers, Tuning: r.Tuning})
}

func (r *Router) runShard(ctx context.Context, shard *Shard) {
	defer r.loops.Done()
	_ = shard.Run(ctx)
}

// refreshPool reports whether the pool's owner has changed.
func (r *Router) refreshPool(p *pool, live []shelfshelf.Instance) bool {
	targets := r.bundle.PoolTargets(p.name)
	for i := range targets {
		if r.leaving[targets[i].Name] {
			targets[i].Leaving = true
		}
	}
	if !slices.Equal(targets, p.targets) {
		p.targets = targets
		p.own.SetTargets(targets)
	}
	p.solo.SetTargets(shareOf(targets, len(live)))
	owner, ok := Of(shelfshelf.Shard{Pool: p.name}, live)
	if !ok || owner.ID == p.owner {
		return false
	}
	first := p.owner == ""
	p.owner = owner.ID
	if owner.ID == r.Self && !first {
		p.own.WarmUp()
	}
	close(p.moved)
	p.moved = make(chan struct{})
	r.Log.Info("The owner of a pool has changed.", "pool", p.name, "owner", owner.ID)
	return !first
}

// shareOf cuts each target's slots to one instance's share. A target with fewer
// slots than there are instances keeps one at each, so it may get too much for
// as long as the owner can't be reached.
func shareOf(targets []shelfshelf.Target, instances int) []shelfshelf.Target {
	shared := slices.Clone(targets)
	for i := range shared {
		shared[i].Slots = max(1, shared[i].Slots/max(instances, 1))
	}
	return shared
}

func (r *Router) ticketsOf(pools []*pool) []*ticket {
	if len(pools) == 0 {
		return nil
	}
	var found []*ticket
	for _, t := range r.tickets {
		for _, p := range pools {
			if t.ask.Pool == p.name {
				found = append(found, t)
			}
		}
	}
	return found
}

// route is where an ask goes now.
type route struct {
	pool  *pool
	owner shelfshelf.Instance
	moved chan struct{}
}

func (r *Router) route(name shelfshelf.PoolName) (route, bool) {
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	p := r.pools[name]
	if p == nil {
		return route{}, false
	}
	found := route{pool: p, moved: p.moved}
	for _, instance := range live {
		if instance.ID == p.owner {
			found.owner = instance
		}
	}
	if r.Clock.Now().Before(r.avoided[p.owner]) {
		found.owner = shelfshelf.Instance{}
	}
	return found, true
}

// Ask waits for the decision on a request, wherever it is made. A request in
// line whose pool gets another owner is asked again there.
func (r *Router) Ask(ctx context.Context, ask shelfshelf.Ask) (shelfshelf.Ticket, error) {
	r.mu.Lock()
	r.asked++
	r.mu.Unlock()
	for {
		way, ok := r.route(ask.Pool)
		if !ok {
			return refusedTicket(ask.ID, shelfshelf.RefusedNoTarget), nil
		}
		inner, err := r.askOnce(ctx, way, ask)
		switch {
		case err == nil:
			return r.keep(ask, way, inner), nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.Is(err, errMoved):
			r.mu.Lock()
			r.moved++
			r.mu.Unlock()
		case errors.Is(err, shelfshelf.ErrOwnerUnreachable):
			r.Log.Warn("The owner of a pool can't be reached, deciding alone.", "pool", ask.Pool, "owner", way.owner.ID, "error", err)
			r.avoid(way.owner.ID)
		default:
			return nil, err
		}
	}
}

// avoid asks an owner nothing for a while, and takes back what is in its line:
// an owner that does not answer one ask will not decide on the others.
func (r *Router) avoid(owner shelfshelf.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if now.Before(r.avoided[owner]) {
		return
	}
	r.avoided[owner] = now.Add(avoidOwnerFor)
	for _, p := range r.pools {
		if p.owner == owner {
			close(p.moved)
			p.moved = make(chan struct{})
		}
	}
}

var errMoved = errors.New("the pool has another owner")

// askOnce asks one owner until it decides or the pool moves.
func (r *Router) askOnce(ctx context.Context, way route, ask shelfshelf.Ask) (shelfshelf.Ticket, error) {
	asking, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watcher := &moveWatcher{moved: way.moved, done: asking.Done(), cancel: cancel}
	go watcher.run()
	var inner shelfshelf.Ticket
	var err error
	switch way.owner.ID {
	case r.Self:
		inner, err = askShard(asking, way.pool.own, ask)
	case "":
		r.mu.Lock()
		r.alone++
		r.mu.Unlock()
		inner, err = askShard(asking, way.pool.solo, ask)
	default:
		inner, err = r.Peers.Ask(asking, way.owner, ask)
	}
	if err != nil && errors.Is(context.Cause(asking), errMoved) {
		return nil, errMoved
	}
	return inner, err
}

// moveWatcher cancels an ask when its pool moves.
type moveWatcher struct {
	moved  <-chan struct{}
	done   <-chan struct{}
	cancel context.CancelCauseFunc
}

func (w *moveWatcher) run() {
	select {
	case <-w.moved:
		w.cancel(errMoved)
	case <-w.done:
	}
}

func askShard(ctx context.Context, shard *Shard, ask shelfshelf.Ask) (shelfshelf.Ticket, error) {
	decision, err := shard.Ask(ctx, ask)
	if err != nil {
		return nil, err
	}
	return &localTicket{shard: shard, decision: decision}, nil
}

// keep remembers a granted ticket until it is done, so that a new owner can be
// told of it.
func (r *Router) keep(ask shelfshelf.Ask, way route, inner shelfshelf.Ticket) shelfshelf.Ticket {
	if !inner.Decision().Granted {
		return inner
	}
	t := &ticket{router: r, ask: ask, inner: []shelfshelf.Ticket{inner}, decidedBy: way.owner.ID}
	r.mu.Lock()
	r.tickets[ask.ID] = t
	r.mu.Unlock()
	return t
}

// ShardOf returns the shard that decides for a pool as its owner; ok is false
// if the bundle has no such pool.
func (r *Router) ShardOf(name shelfshelf.PoolName) (_ *Shard, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		return nil, false
	}
	return p.own, true
}

// Owners returns the owner of each pool as this instance sees it.
func (r *Router) Owners() map[shelfshelf.PoolName]shelfshelf.InstanceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	owners := make(map[shelfshelf.PoolName]shelfshelf.InstanceID, len(r.pools))
	for name, p := range r.pools {
		owners[name] = p.owner
	}
	return owners
}
