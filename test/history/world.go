package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/instance"
)

const (
	hop          = time.Millisecond
	releaseAfter = 10 * time.Second
	callTime     = 20 * time.Millisecond
	tokenTime    = 10 * time.Millisecond
)

var errCut = errors.New("no connection")

// world is what the nodes stand in: network, store and targets.
type world struct {
	clock shelfshelf.Clock
	store *fake.Store

	mu     sync.Mutex
	random *rand.Rand
	nodes  map[shelfshelf.InstanceID]*node
	// cut holds the directions that carry nothing, as from>to; the store and the
	// targets count as names too.
	cut map[string]bool
	// runs counts how often targets ran each request, and keyRuns each key.
	runs    map[shelfshelf.RequestID]int
	keyRuns map[string]int
	ranOn   map[shelfshelf.RequestID]shelfshelf.TargetName
	// leaving is since when targets refuse to stay; calls after that are late.
	leaving   map[shelfshelf.TargetName]time.Time
	lateCalls []string
	// mischief is the chance that a target drops an answer or breaks a stream.
	mischief float64
	slow     map[shelfshelf.TargetName]float64
}

func newWorld(clock shelfshelf.Clock, seed uint64) *world {
	return &world{
		clock:   clock,
		store:   fake.NewStore(clock),
		random:  rand.New(rand.NewPCG(seed, 3)),
		nodes:   make(map[shelfshelf.InstanceID]*node),
		cut:     make(map[string]bool),
		runs:    make(map[shelfshelf.RequestID]int),
		keyRuns: make(map[string]int),
		ranOn:   make(map[shelfshelf.RequestID]shelfshelf.TargetName),
		leaving: make(map[shelfshelf.TargetName]time.Time),
		slow:    make(map[shelfshelf.TargetName]float64),
	}
}

const storeName = "store"

func direction(from, to string) string {
	return from + ">" + to
}

func (w *world) setCut(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[direction(from, to)] = cut
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[direction(from, to)]
}

func (w *world) chance(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < share
}

func (w *world) node(id shelfshelf.InstanceID) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

// node is one instance. Everything it does to the outside passes its gate,
// which a pause closes and a kill closes for ever.
type node struct {
	*instance.Core

	world *world
	stop  context.CancelFunc
	done  chan struct{}

	mu        sync.Mutex
	open      chan struct{}
	killed    chan struct{}
	resumedAt time.Time
}

// gate waits while the node is paused; it fails once the node is dead.
func (n *node) gate(ctx context.Context) error {
	n.mu.Lock()
	open := n.open
	n.mu.Unlock()
	select {
	case <-n.killed:
		return errCut
	default:
	}
	select {
	case <-open:
		return ctx.Err()
	case <-n.killed:
		return errCut
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.open:
		n.open = make(chan struct{})
	default:
		// It stands still already; whoever waits must see the same end.
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.open:
	default:
		close(n.open)
		n.resumedAt = n.world.clock.Now()
	}
}

func (n *node) kill() {
	n.mu.Lock()
	select {
	case <-n.killed:
	default:
		close(n.killed)
	}
	n.mu.Unlock()
	n.stop()
}

func (n *node) isDead() bool {
	select {
	case <-n.killed:
		return true
	default:
		return false
	}
}

// wait is a span of simulated time in which the context may end.
func (w *world) wait(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.clock.After(span):
		return nil
	}
}

// nodeStore is a node's way to the platform.
type nodeStore struct {
	node *node
}

func (s *nodeStore) enter(ctx context.Context) error {
	if err := s.node.gate(ctx); err != nil {
		return shelfshelf.ErrUnavailable
	}
	if s.node.world.isCut(string(s.node.ID), storeName) {
		return shelfshelf.ErrUnavailable
	}
	return nil
}

// leave lets an answer come back only to a node that still runs.
func (s *nodeStore) leave(ctx context.Context) error {
	if s.node.gate(ctx) != nil || s.node.world.isCut(storeName, string(s.node.ID)) {
		return shelfshelf.ErrAmbiguous
	}
	return nil
}

// Get reads a row.
func (s *nodeStore) Get(ctx context.Context, key string) (shelfshelf.Row, error) {
	if err := s.enter(ctx); err != nil {
		return shelfshelf.Row{}, err
	}
	row, err := s.node.world.store.Get(ctx, key)
	if s.leave(ctx) != nil {
		return shelfshelf.Row{}, shelfshelf.ErrUnavailable
	}
	return row, err
}

// Transact writes; the write happens whether or not its answer comes back.
func (s *nodeStore) Transact(ctx context.Context, puts []shelfshelf.Put) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	err := s.node.world.store.Transact(context.WithoutCancel(ctx), puts)
	if lost := s.leave(ctx); lost != nil && !errors.Is(err, shelfshelf.ErrUnavailable) {
		return lost
	}
	return err
}

// Scan reads rows.
func (s *nodeStore) Scan(ctx context.Context, prefix string, limit int) ([]shelfshelf.Row, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	return s.node.world.store.Scan(ctx, prefix, limit)
}

// PutObject stores content.
func (s *nodeStore) PutObject(ctx context.Context, content []byte) (string, error) {
	if err := s.enter(ctx); err != nil {
		return "", err
	}
	return s.node.world.store.PutObject(ctx, content)
}

// GetObject reads content.
func (s *nodeStore) GetObject(ctx context.Context, digest string) ([]byte, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	return s.node.world.store.GetObject(ctx, digest)
}

// Instances reads the list.
func (s *nodeStore) Instances(ctx context.Context) ([]shelfshelf.Instance, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	return s.node.world.store.Instances(ctx)
}

// LeavingTargets reads the list of targets about to stop.
func (s *nodeStore) LeavingTargets(ctx context.Context) ([]shelfshelf.TargetName, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	return s.node.world.store.LeavingTargets(ctx)
}

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

// nodeTargets is a node's way to engines and services.
type nodeTargets struct {
	node *node
}

// begin delivers a request to a target, which runs it.
func (t *nodeTargets) begin(ctx context.Context, target shelfshelf.Target, id shelfshelf.RequestID, key string) error {
	if err := t.node.gate(ctx); err != nil {
		return shelfshelf.ErrNotRun
	}
	w := t.node.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[direction(string(t.node.ID), string(target.Name))] {
		return shelfshelf.ErrNotRun
	}
	if since, leaving := w.leaving[target.Name]; leaving {
		if now := w.clock.Now(); now.Sub(since) > leavingGrace && !t.node.isPaused(now) {
			w.lateCalls = append(w.lateCalls, fmt.Sprintf("%s got %s from %s %v after it began to leave", target.Name, id, t.node.ID, w.clock.Now().Sub(since)))
		}
		return shelfshelf.ErrNotRun
	}
	w.runs[id]++
	w.ranOn[id] = target.Name
	if key != "" {
		w.keyRuns[key]++
	}
	return nil
}

func (t *nodeTargets) span(target shelfshelf.TargetName, span time.Duration) time.Duration {
	t.node.world.mu.Lock()
	defer t.node.world.mu.Unlock()
	return time.Duration(float64(span) * max(t.node.world.slow[target], 1))
}

// answerOf is what a target answers to a request.
func answerOf(target shelfshelf.TargetName, id shelfshelf.RequestID) string {
	return string(target) + " ran " + string(id)
}

// Call runs a call of a plain service.
func (t *nodeTargets) Call(ctx context.Context, target shelfshelf.Target, call shelfshelf.ServiceCall) (shelfshelf.ServiceAnswer, error) {
	key := call.Header.Get("Idempotency-Key")
	if err := t.begin(ctx, target, call.ID, key); err != nil {
		return shelfshelf.ServiceAnswer{}, err
	}
	if t.node.world.wait(ctx, t.span(target.Name, callTime)) != nil || t.node.world.chance(t.node.world.mischief) || t.node.gate(ctx) != nil {
		return shelfshelf.ServiceAnswer{}, shelfshelf.ErrBroken
	}
	return shelfshelf.ServiceAnswer{Status: 200, Body: []byte(answerOf(target.Name, call.ID))}, nil
}

// Complete runs a completion of three chunks.
func (t *nodeTargets) Complete(ctx context.Context, target shelfshelf.Target, call shelfshelf.CompletionCall, emit func(shelfshelf.EngineChunk) error) error {
	if err := t.begin(ctx, target, call.ID, ""); err != nil {
		return err
	}
	text := answerOf(target.Name, call.ID)
	third := len(text) / 3
	for index, part := range []string{text[:third], text[third : 2*third], text[2*third:]} {
		if t.node.world.wait(ctx, t.span(target.Name, tokenTime)) != nil || t.node.gate(ctx) != nil {
			return shelfshelf.ErrBroken
		}
		if t.node.world.chance(t.node.world.mischief / 3) {
			return shelfshelf.ErrBroken
		}
		data := fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`, call.ID, part)
		if err := emit(shelfshelf.EngineChunk{Index: index, Data: []byte(data), Tokens: 1}); err != nil {
			return shelfshelf.ErrBroken
		}
	}
	return nil
}

// Load returns a target's report.
func (t *nodeTargets) Load(ctx context.Context, target shelfshelf.Target) (shelfshelf.LoadReport, error) {
	if err := t.node.gate(ctx); err != nil {
		return shelfshelf.LoadReport{}, err
	}
	w := t.node.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[direction(string(t.node.ID), string(target.Name))] {
		return shelfshelf.LoadReport{}, errCut
	}
	_, leaving := w.leaving[target.Name]
	return shelfshelf.LoadReport{Target: target.Name, At: w.clock.Now(), Leaving: leaving}, nil
}

// CacheEvents returns none.
func (t *nodeTargets) CacheEvents(context.Context, shelfshelf.Target, uint64) ([]shelfshelf.CacheEvent, error) {
	return nil, nil
}
