package owner

import (
	"context"
	"errors"

	"github.com/shelfshelf/shelfshelf"
)

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
	t := &ticket{router: r, ask: ask, inner: []shelfshelf.Ticket{inner}, decision: inner.Decision()}
	r.mu.Lock()
	r.tickets[ask.ID] = t
	r.mu.Unlock()
	return t
}
