package history

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/claim"
	"github.com/shelfshelf/shelfshelf/entry"
	"github.com/shelfshelf/shelfshelf/instance"
	"github.com/shelfshelf/shelfshelf/keys"
)

const (
	nodeCount     = 4
	callerCount   = 8
	keyCount      = 24
	triesPerKey   = 4
	runLength     = 25 * time.Second
	inForceWithin = 5 * time.Second
	leavingGrace  = 3 * time.Second
	// pausedGrace is how long after a pause a node's own late call is excused: it
	// was under way when the process froze, and the target refuses it.
	pausedGrace  = 5 * time.Second
	callerToken  = "caller"
	approverName = "approver"
)

// Guards says which protections a run goes without; the zero value has all.
type Guards struct {
	Claim  claim.Guards
	Bundle bundle.Guards
}

// told is what one caller was told of one attempt.
type told struct {
	caller  int
	id      shelfshelf.RequestID
	key     string
	body    string
	outcome string
	status  int
	answer  string
	began   time.Time
	ended   time.Time
	// lost says that the caller's instance died or its connection broke.
	lost bool
}

// scenario is one run.
type scenario struct {
	seed   uint64
	guards Guards
	faults []faultKind

	world   *world
	random  *rand.Rand
	key     ed25519.PrivateKey
	trust   bundle.Trust
	serial  int
	mu      sync.Mutex
	history []told
	heads   map[shelfshelf.InstanceID]shelfshelf.Revision
	rolled  []rolledAt
	broken  []string
	working sync.WaitGroup
}

// rolledAt is an accepted bundle and when its operator heard so.
type rolledAt struct {
	revision shelfshelf.Revision
	at       time.Time
}

func (s *scenario) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// run does the whole scenario; it must be called inside a synctest bubble.
func (s *scenario) run(clock shelfshelf.Clock) {
	s.world = newWorld(clock, s.seed)
	s.random = rand.New(rand.NewPCG(s.seed, 11))
	s.heads = make(map[shelfshelf.InstanceID]shelfshelf.Revision)
	public, private, err := keys.NewApprover()
	if err != nil {
		s.fail("make key: %v", err)
		return
	}
	s.key = private
	s.trust = bundle.Trust{Approvers: []shelfshelf.Approver{{Name: approverName, PublicKey: public}}, Threshold: 1}
	ctx, cancel := context.WithCancel(context.Background())
	if _, err := s.operator(s.world.store).Roll(ctx, s.signed("first"), "op"); err != nil {
		s.fail("first roll: %v", err)
	}
	for range nodeCount {
		s.addNode()
	}
	<-clock.After(3 * time.Second)
	start := clock.Now()
	for caller := range callerCount {
		s.working.Add(1)
		go s.runCaller(caller)
	}
	s.working.Add(1)
	go s.runFaults(ctx, start)
	monitor := make(chan struct{})
	go s.loopMonitor(ctx, monitor)
	s.working.Wait()
	s.heal()
	<-clock.After(10 * time.Second)
	cancel()
	<-monitor
	s.stopAll()
}

// heal ends every fault.
func (s *scenario) heal() {
	s.world.store.SetFaults(faultless)
	s.world.mu.Lock()
	s.world.cut = make(map[string]bool)
	s.world.mischief = 0
	nodes := make([]*node, 0, len(s.world.nodes))
	for _, n := range s.world.nodes {
		nodes = append(nodes, n)
	}
	s.world.mu.Unlock()
	for _, n := range nodes {
		n.resume()
	}
}

func (s *scenario) stopAll() {
	s.world.mu.Lock()
	nodes := make([]*node, 0, len(s.world.nodes))
	for _, n := range s.world.nodes {
		nodes = append(nodes, n)
	}
	s.world.mu.Unlock()
	for _, n := range nodes {
		n.kill()
		<-n.done
	}
}

func (s *scenario) operator(table *fakeStore) *bundle.Store {
	return &bundle.Store{Clock: s.world.clock, Table: table, Objects: table, Trust: s.trust, Nonce: keys.NewNonce}
}

// signed returns a signed bundle of that name.
func (s *scenario) signed(name string) *bundle.Signed {
	content := fmt.Sprintf(bundleTemplate, name, approverName,
		hex.EncodeToString(s.trust.Approvers[0].PublicKey), keys.HashToken(callerToken))
	signed := &bundle.Signed{Content: []byte(content)}
	signed.Sign(approverName, s.key)
	return signed
}

const bundleTemplate = `{
  "format": 1, "name": %q, "threshold": 1,
  "approvers": [{"name": %q, "publicKey": %q}],
  "tiers": [{"name": "counter", "weight": 8}, {"name": "letters", "weight": 1, "maxWait": "10s"}],
  "pools": [{"name": "model", "kind": "engine", "model": "m"}, {"name": "vouchers", "kind": "service"}],
  "customers": [{"name": "c", "tokenHashes": [%q]}],
  "routes": [
    {"name": "letter", "kind": "completion", "pool": "model", "tier": "letters", "deadline": "8s"},
    {"name": "charge", "kind": "service", "pool": "vouchers", "tier": "counter", "method": "POST", "path": "/charge", "repeatable": false, "deadline": "4s"}
  ],
  "targets": [
    {"name": "e1", "pool": "model", "dataCentre": "a", "address": "http://e1", "slots": 4, "prefillRate": 5000, "stepTime": "10ms", "cacheTokens": 10000},
    {"name": "e2", "pool": "model", "dataCentre": "b", "address": "http://e2", "slots": 2, "prefillRate": 2000, "stepTime": "20ms", "cacheTokens": 10000},
    {"name": "s1", "pool": "vouchers", "dataCentre": "a", "address": "http://s1", "slots": 4, "stepTime": "20ms"},
    {"name": "s2", "pool": "vouchers", "dataCentre": "b", "address": "http://s2", "slots": 4, "stepTime": "20ms"}
  ]
}`

// addNode starts a node and puts it on the platform's list.
func (s *scenario) addNode() *node {
	s.world.mu.Lock()
	s.serial++
	id := shelfshelf.InstanceID(fmt.Sprintf("n%d", s.serial))
	s.world.mu.Unlock()
	n := &node{world: s.world, done: make(chan struct{}), killed: make(chan struct{}), open: make(chan struct{})}
	close(n.open)
	store := &nodeStore{node: n}
	targets := &nodeTargets{node: n}
	n.Core = &instance.Core{
		Clock:       s.world.clock,
		Log:         log.New(io.Discard),
		ID:          id,
		DataCentre:  "a",
		PeerAddress: string(id),
		Table:       store,
		Objects:     store,
		List:        store,
		Trust:       s.trust,
		Peers:       &nodePeers{node: n},
		Engines:     targets,
		Services:    targets,
	}
	n.Build()
	n.Claims.Guards = s.guards.Claim
	n.Watcher.Guards = s.guards.Bundle
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	s.world.mu.Lock()
	s.world.nodes[id] = n
	s.world.mu.Unlock()
	s.world.store.SetInstance(shelfshelf.Instance{ID: id, DataCentre: "a", Address: string(id), State: shelfshelf.InstanceLive})
	go n.run(ctx)
	return n
}

func (n *node) run(ctx context.Context) {
	defer close(n.done)
	_ = n.Run(ctx)
}

// pick returns a node that the balancer would use; the balancer is a little
// late, so now and then it returns any.
func (s *scenario) pick(random *rand.Rand) *node {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	var ready, all []*node
	for index := 1; index <= s.serial; index++ {
		n := s.world.nodes[shelfshelf.InstanceID(fmt.Sprintf("n%d", index))]
		if n == nil {
			continue
		}
		all = append(all, n)
		if !n.isDead() && n.Ready() {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 || random.Float64() < 0.1 {
		return all[random.IntN(len(all))]
	}
	return ready[random.IntN(len(ready))]
}

// runCaller sends charges and letters; each key is shared with other callers,
// who send the same body.
func (s *scenario) runCaller(caller int) {
	defer s.working.Done()
	random := rand.New(rand.NewPCG(s.seed, uint64(100+caller)))
	start := s.world.clock.Now()
	for s.world.clock.Now().Sub(start) < runLength {
		if random.Float64() < 0.5 {
			s.send(caller, s.pick(random), "/v1/completions", "", `{"model":"letter","prompt":"dear","max_tokens":3}`)
		} else {
			number := random.IntN(keyCount)
			key := fmt.Sprintf("key-%d-%d", number, int(s.world.clock.Now().Sub(start)/(5*time.Second)))
			for range triesPerKey {
				if s.send(caller, s.pick(random), "/charge", key, fmt.Sprintf(`{"amount":%d}`, number)) {
					break
				}
				<-s.world.clock.After(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		}
		<-s.world.clock.After(time.Duration(random.IntN(800)) * time.Millisecond)
	}
}

// send sends one request and notes what the caller was told; it reports whether
// the caller has its answer.
func (s *scenario) send(caller int, n *node, path, key, body string) bool {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+callerToken)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(entry.HeaderKey, key)
	}
	attempt := &callAttempt{node: n, request: request, recorder: httptest.NewRecorder(), done: make(chan struct{})}
	record := told{caller: caller, key: key, body: body, began: s.world.clock.Now()}
	s.working.Add(1)
	go attempt.run(&s.working)
	select {
	case <-attempt.done:
		// The answer has to leave the node.
		record.lost = n.gate(context.Background()) != nil
	case <-n.killed:
		record.lost = true
	case <-s.world.clock.After(20 * time.Second):
		record.lost = true
	}
	record.ended = s.world.clock.Now()
	if !record.lost {
		response := attempt.recorder.Result()
		record.status = response.StatusCode
		record.outcome = response.Header.Get(entry.HeaderOutcome)
		record.id = shelfshelf.RequestID(response.Header.Get("X-Request-Id"))
		content, _ := io.ReadAll(response.Body)
		record.answer = string(content)
	}
	s.mu.Lock()
	s.history = append(s.history, record)
	s.mu.Unlock()
	return record.outcome == shelfshelf.OutcomeDone.String()
}

// callAttempt is one request inside a node.
type callAttempt struct {
	node     *node
	request  *http.Request
	recorder *httptest.ResponseRecorder
	done     chan struct{}
}

func (a *callAttempt) run(working *sync.WaitGroup) {
	defer working.Done()
	defer close(a.done)
	if a.node.gate(context.Background()) != nil {
		return
	}
	a.node.Server.Handler().ServeHTTP(a.recorder, a.request)
}

// loopMonitor watches the bundle in force at each node.
func (s *scenario) loopMonitor(ctx context.Context, done chan struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		s.look()
		select {
		case <-ctx.Done():
		case <-s.world.clock.After(100 * time.Millisecond):
		}
	}
}

func (s *scenario) look() {
	now := s.world.clock.Now()
	s.mu.Lock()
	due := shelfshelf.Revision(0)
	for _, rolled := range s.rolled {
		if now.Sub(rolled.at) > inForceWithin {
			due = max(due, rolled.revision)
		}
	}
	s.mu.Unlock()
	s.world.mu.Lock()
	nodes := make(map[shelfshelf.InstanceID]*node, len(s.world.nodes))
	for id, n := range s.world.nodes {
		nodes[id] = n
	}
	s.world.mu.Unlock()
	for id, n := range nodes {
		revision := n.Watcher.Head().Revision
		if revision < s.heads[id] {
			s.fail("%s went from revision %d back to %d", id, s.heads[id], revision)
		}
		s.heads[id] = max(s.heads[id], revision)
		if !n.isDead() && !n.isPaused(now) && n.Ready() && revision < due {
			s.fail("%s serves with revision %d, %d was accepted over %v ago", id, revision, due, inForceWithin)
		}
	}
}

// isPaused reports whether the node stands still, or did a moment ago.
func (n *node) isPaused(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.open:
		return !n.resumedAt.IsZero() && now.Sub(n.resumedAt) < pausedGrace
	default:
		return true
	}
}
