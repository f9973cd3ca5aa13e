package history

import (
	"context"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// nodePeers is a node's way to the others.
type nodePeers struct {
	node *node
}

// reach passes a message on to another node and returns it.
func (p *nodePeers) reach(ctx context.Context, to shelfshelf.InstanceID) (*node, error) {
	if err := p.node.gate(ctx); err != nil {
		return nil, err
	}
	if err := p.node.world.wait(ctx, hop); err != nil {
		return nil, err
	}
	other := p.node.world.node(to)
	if other == nil || p.node.world.isCut(string(p.node.ID), string(to)) {
		return nil, errCut
	}
	return other, other.gate(ctx)
}

// back lets an answer come back.
func (p *nodePeers) back(ctx context.Context, from shelfshelf.InstanceID) error {
	if err := p.node.world.wait(ctx, hop); err != nil {
		return err
	}
	if p.node.world.isCut(string(from), string(p.node.ID)) {
		return errCut
	}
	return p.node.gate(ctx)
}

// Heartbeat exchanges heartbeats.
func (p *nodePeers) Heartbeat(ctx context.Context, to shelfshelf.Instance, beat shelfshelf.Heartbeat) (shelfshelf.Heartbeat, error) {
	other, err := p.reach(ctx, to.ID)
	if err != nil {
		return shelfshelf.Heartbeat{}, err
	}
	answer := other.PeerHandler().Heard(beat)
	return answer, p.back(ctx, to.ID)
}

// GetObject fetches a bundle.
func (p *nodePeers) GetObject(ctx context.Context, to shelfshelf.Instance, digest string) ([]byte, error) {
	other, err := p.reach(ctx, to.ID)
	if err != nil {
		return nil, err
	}
	content, ok := other.PeerHandler().Object(digest)
	if !ok {
		return nil, shelfshelf.ErrNotFound
	}
	return content, p.back(ctx, to.ID)
}

// Ask asks a pool's owner.
func (p *nodePeers) Ask(ctx context.Context, to shelfshelf.Instance, ask shelfshelf.Ask) (shelfshelf.Ticket, error) {
	other, err := p.reach(ctx, to.ID)
	if err != nil {
		return nil, p.unreachable(ctx)
	}
	// The ask ends when either side dies.
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := &deathWatch{nodes: []*node{p.node, other}, ctx: asking, cancel: cancel}
	go watch.run()
	decision, err := other.PeerHandler().AskOwner(asking, ask)
	if err != nil {
		return nil, p.unreachable(ctx)
	}
	t := &peerTicket{peers: p, other: other, ask: ask, decision: decision}
	if err := p.back(ctx, to.ID); err != nil {
		t.release(0)
		return nil, p.unreachable(ctx)
	}
	if decision.Granted {
		go t.run()
	}
	return t, nil
}

// Hold tells a new owner of a request in flight.
func (p *nodePeers) Hold(ctx context.Context, to shelfshelf.Instance, ask shelfshelf.Ask, decision shelfshelf.Decision) (shelfshelf.Ticket, error) {
	other, err := p.reach(ctx, to.ID)
	if err != nil {
		return nil, p.unreachable(ctx)
	}
	other.PeerHandler().HoldOwner(ask, decision.Target)
	t := &peerTicket{peers: p, other: other, ask: ask, decision: decision}
	go t.run()
	return t, nil
}

func (p *nodePeers) unreachable(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return shelfshelf.ErrOwnerUnreachable
}

// deathWatch ends an ask when a side dies.
type deathWatch struct {
	nodes  []*node
	ctx    context.Context
	cancel context.CancelFunc
}

func (d *deathWatch) run() {
	select {
	case <-d.nodes[0].killed:
	case <-d.nodes[1].killed:
	case <-d.ctx.Done():
	}
	d.cancel()
}

// peerTicket is a decision of another node. If the entry dies, the owner counts
// the request a while longer.
type peerTicket struct {
	peers    *nodePeers
	other    *node
	ask      shelfshelf.Ask
	decision shelfshelf.Decision
	once     sync.Once
	ended    chan struct{}
	init     sync.Once
}

func (t *peerTicket) channel() chan struct{} {
	t.init.Do(func() { t.ended = make(chan struct{}) })
	return t.ended
}

// run releases the request when its entry dies.
func (t *peerTicket) run() {
	select {
	case <-t.channel():
	case <-t.peers.node.killed:
		t.release(releaseAfter)
	}
}

func (t *peerTicket) release(after time.Duration) {
	<-t.peers.node.world.clock.After(after)
	t.other.PeerHandler().DoneOwner(t.ask.Pool, shelfshelf.Completion{ID: t.ask.ID, Target: t.decision.Target})
}

// Decision returns the owner's decision.
func (t *peerTicket) Decision() shelfshelf.Decision { return t.decision }

// FirstToken tells the owner.
func (t *peerTicket) FirstToken() {
	if !t.other.isDead() {
		t.other.PeerHandler().FirstTokenOwner(t.ask.Pool, t.ask.ID)
	}
}

// Done tells the owner.
func (t *peerTicket) Done(completion shelfshelf.Completion) {
	t.once.Do(func() { close(t.channel()) })
	if !t.other.isDead() {
		t.other.PeerHandler().DoneOwner(t.ask.Pool, completion)
	}
}
