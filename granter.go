package shelfshelf

import (
	"context"
	"errors"
)

// ErrOwnerUnreachable means that the pool's owner returned no decision.
var ErrOwnerUnreachable = errors.New("pool owner unreachable")

// Granter decides on the admission of requests. It is the owner of a pool, or a client of the owner.
type Granter interface {
	// Ask waits for the decision on a request. If the context ends first, the request is removed from
	// the queue and the error is that of the context.
	Ask(ctx context.Context, ask Ask) (Ticket, error)
}

// Ticket holds the decision on a request. If the request was granted, Done must be called exactly once.
type Ticket interface {
	// Decision returns the grant or refusal.
	Decision() Decision
	// FirstToken informs the owner that the prefill of the prompt is finished.
	FirstToken()
	// Done informs the owner that the request has left its target.
	Done(completion Completion)
}
