package owner

import (
	"context"
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
