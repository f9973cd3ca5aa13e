package history

import (
	"context"
	"errors"
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

// mishap draws whether a target fails, at a share of the present chance.
func (w *world) mishap(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < share*w.mischief
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
