package shelfshelf

import (
	"context"
	"errors"
)

// ErrOwnerUnreachable means that the pool's owner gave no decision.
var ErrOwnerUnreachable = errors.New("pool owner unreachable")

// Granter answers asks: the owner of a pool, or the way to it.
type Granter interface {
	// Ask waits for the decision on a request. The error is the context's if it
	// ended first, in which case the request has left the line.
	Ask(ctx context.Context, ask Ask) (Ticket, error)
}

// Ticket is a decided ask. If it was granted, Done must be called once.
type Ticket interface {
	// Decision returns the grant or the refusal.
	Decision() Decision
	// FirstToken tells the owner that the prompt has been read.
	FirstToken()
	// Done tells the owner that the request has left its target.
	Done(completion Completion)
}
