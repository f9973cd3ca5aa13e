package owner

import (
	"context"
	"sync"

	"github.com/shelfshelf/shelfshelf"
)

// localTicket is a decision of a shard of this process.
type localTicket struct {
	shard    *Shard
	decision shelfshelf.Decision
}

// Decision returns the shard's decision.
func (t *localTicket) Decision() shelfshelf.Decision {
	return t.decision
}

// FirstToken tells the shard that the prompt has been read.
func (t *localTicket) FirstToken() {
	t.shard.FirstToken(t.decision.ID)
}

// Done tells the shard that the request has left its target.
func (t *localTicket) Done(completion shelfshelf.Completion) {
	t.shard.Done(completion)
}

// refusal is a ticket that nobody has to be told about.
type refusal struct {
	decision shelfshelf.Decision
}

func refusedTicket(id shelfshelf.RequestID, reason shelfshelf.RefusalReason) shelfshelf.Ticket {
	return &refusal{decision: shelfshelf.Decision{ID: id, Reason: reason}}
}

// Decision returns the refusal.
func (t *refusal) Decision() shelfshelf.Decision { return t.decision }

// FirstToken does nothing.
func (t *refusal) FirstToken() {}

// Done does nothing.
func (t *refusal) Done(shelfshelf.Completion) {}

// ticket is a granted request of this entry. When the pool moves while it runs,
// the new owner is told too, and both hear of its end.
type ticket struct {
	router   *Router
	ask      shelfshelf.Ask
	decision shelfshelf.Decision

	mu    sync.Mutex
	inner []shelfshelf.Ticket
	first bool
	done  bool
}

// Decision returns the decision of the owner that granted it.
func (t *ticket) Decision() shelfshelf.Decision {
	return t.decision
}

// FirstToken tells every owner that counts the request.
func (t *ticket) FirstToken() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = true
	for _, inner := range t.inner {
		inner.FirstToken()
	}
}

// Done tells every owner that counts the request.
func (t *ticket) Done(completion shelfshelf.Completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	for _, inner := range t.inner {
		inner.Done(completion)
	}
	t.router.mu.Lock()
	delete(t.router.tickets, t.ask.ID)
	t.router.mu.Unlock()
}

// runHold tells the pool's new owner of the request.
func (t *ticket) runHold(router *Router) {
	way, ok := router.route(t.ask.Pool)
	if !ok || way.owner.ID == "" {
		return
	}
	decision := t.Decision()
	var inner shelfshelf.Ticket = &localTicket{shard: way.pool.own, decision: decision}
	if way.owner.ID == router.Self {
		way.pool.own.Hold(t.ask, decision.Target)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
		defer cancel()
		var err error
		inner, err = router.Peers.Hold(ctx, way.owner, t.ask, decision)
		if err != nil {
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		inner.Done(shelfshelf.Completion{ID: t.ask.ID, Target: decision.Target, Outcome: shelfshelf.OutcomeUnknown})
		return
	}
	if t.first {
		inner.FirstToken()
	}
	t.inner = append(t.inner, inner)
}
