package instance

import (
	"context"

	"github.com/shelfshelf/shelfshelf"
)

// PeerHandler returns what the instance does for others.
func (c *Core) PeerHandler() shelfshelf.PeerHandler {
	return &handler{core: c}
}

// handler is what an instance does for others.
type handler struct {
	core *Core
}

// Heard takes another instance's heartbeat and returns ours.
func (h *handler) Heard(beat shelfshelf.Heartbeat) shelfshelf.Heartbeat {
	h.core.Members.Heard(beat)
	return h.core.Members.Beat()
}

// AskOwner decides on another entry's request, whoever owns the pool by our
// view: the entry's view may be the newer one.
func (h *handler) AskOwner(ctx context.Context, ask shelfshelf.Ask) (shelfshelf.Decision, error) {
	shard, ok := h.core.Router.ShardOf(ask.Pool)
	if !ok {
		return shelfshelf.Decision{ID: ask.ID, Reason: shelfshelf.RefusedNoTarget}, nil
	}
	return shard.Ask(ctx, ask)
}

// HoldOwner counts another entry's request that is in flight already.
func (h *handler) HoldOwner(ask shelfshelf.Ask, target shelfshelf.TargetName) {
	if shard, ok := h.core.Router.ShardOf(ask.Pool); ok {
		shard.Hold(ask, target)
	}
}

// FirstTokenOwner records another entry's first token.
func (h *handler) FirstTokenOwner(pool shelfshelf.PoolName, id shelfshelf.RequestID) {
	if shard, ok := h.core.Router.ShardOf(pool); ok {
		shard.FirstToken(id)
	}
}

// DoneOwner records the end of another entry's request.
func (h *handler) DoneOwner(pool shelfshelf.PoolName, completion shelfshelf.Completion) {
	if shard, ok := h.core.Router.ShardOf(pool); ok {
		shard.Done(completion)
	}
}

// Object returns a signed bundle by its digest.
func (h *handler) Object(digest string) ([]byte, bool) {
	return h.core.Watcher.Object(digest)
}
