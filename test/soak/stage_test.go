package soak

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/fake"
)

type object map[string]any

// leastSlots is how many requests a target of a small stage runs at once.
const leastSlots = 8

// clockTime is how instants are told.
const clockTime = "15:04:05.000"

const (
	revokeBound = 3 * time.Second
	stopBound   = 6 * time.Second
	engineCount = 3
	plainCount  = 3
	eventCount  = 12
)

// stage is shelfnode processes before stand-ins, each link between them a proxy.
type stage struct {
	t        *testing.T
	folder   string
	binary   string
	platform *fake.Platform
	nodes    []*process
	targets  []*target
	// slots is how many requests a target runs at once: enough for all callers.
	slots int

	mu      sync.Mutex
	version int
	routes  []object
	keys    []string
	// before is the key that was revoked last.
	before string
	// revoked is when each old key was taken away.
	revoked map[string]time.Time
	// added is when each key came.
	added map[string]time.Time
	// storeDown says that a fault is at the store, storeBack when the last one ended.
	storeDown bool
	storeBack time.Time
}

// process is one shelfnode.
type process struct {
	name     string
	settings string
	callers  string
	ready    string
	store    *link

	mu      sync.Mutex
	command *exec.Cmd
	// disturbed is until when the fault that last touched it may last.
	disturbed time.Time
	// stopped is when it was sent a signal that ends it, or has it stand still or go on.
	stopped []time.Time
	// sent tells each start of it, and each signal that it was sent with the id that it went to.
	sent []string
}

// target is a stand-in of a target behind a link.
type target struct {
	name   string
	server *fake.Server
	link   *link
	pool   string
	// state is what it says of itself.
	state string
}

func build(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	command := exec.Command("go", "build", "-o", folder+string(os.PathSeparator), "../../cmd/shelfnode")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(folder, "shelfnode")
}

func newStage(t *testing.T, binary string, size int) *stage {
	s := &stage{
		t: t, folder: t.TempDir(), binary: binary, platform: fake.NewPlatform(clockwork.NewRealClock()),
		keys: []string{"key-0"}, revoked: make(map[string]time.Time),
		added: make(map[string]time.Time),
		slots: max(leastSlots, 2*size),
	}
	s.routes = []object{
		{"Name": "stream", "Host": "h.example", "PathPrefix": "/s/", "Kind": "streaming", "TimeoutMs": 6000, "GoalMs": 800, "Service": "engines", "MaxAttempts": 2, "CanResume": true, "GapGoalMs": 300},
		{"Name": "once", "Host": "h.example", "PathPrefix": "/once/", "Kind": "non_idempotent", "TimeoutMs": 1500, "GoalMs": 300, "Service": "plain", "MaxAttempts": 1},
		{"Name": "many", "Host": "h.example", "PathPrefix": "/many/", "Kind": "idempotent", "TimeoutMs": 1500, "GoalMs": 300, "Service": "plain", "MaxAttempts": 2},
	}
	s.configure()
	for i := range engineCount + plainCount {
		s.addTarget(i)
	}
	store := httptest.NewServer(s.platform.Handler())
	t.Cleanup(store.CloseClientConnections)
	for i := range size {
		s.addNode(i, store.Listener.Addr().String())
	}
	for _, p := range s.nodes {
		s.start(p)
	}
	return s
}

func (s *stage) addTarget(i int) {
	pool, events := "plain", 0
	if i < engineCount {
		pool, events = "engines", eventCount
	}
	server := &fake.Server{ID: fmt.Sprint("i-", i), Events: events}
	if pool == "engines" {
		server.Version = fmt.Sprint("v", 1+i%2)
	}
	server.SetFaults(fake.ServerFaults{Slow: usualSlow})
	listener := httptest.NewServer(server)
	s.t.Cleanup(listener.CloseClientConnections)
	t := &target{name: server.ID, server: server, link: newLink(s.t, listener.Listener.Addr().String()), pool: pool}
	s.targets = append(s.targets, t)
	s.list(t, "ready")
}

func (s *stage) list(t *target, state string) {
	s.mu.Lock()
	t.state = state
	s.mu.Unlock()
	s.put("servers", t.name, object{"Service": t.pool, "Address": t.link.address(), "Zone": "a", "Slots": s.slots, "State": state, "Version": t.server.Version})
}

// stateOf returns what a target says of itself.
func (s *stage) stateOf(t *target) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.state
}

func (s *stage) put(table, key string, value object) {
	content, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	s.platform.Put(table, key, content)
}

// setStoreDown notes that a fault is at the store, or no longer.
func (s *stage) setStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
	s.storeBack = time.Now()
}

// storeCalm reports that no fault has been at the store for some seconds.
func (s *stage) storeCalm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeDown && time.Since(s.storeBack) > calmFor
}

// configure puts a new version in the store; the lock is held, or nobody else runs.
func (s *stage) configure() {
	s.version++
	s.writeConfiguration()
}

// configureAgain puts the newest version in the store again.
func (s *stage) configureAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeConfiguration()
}

func (s *stage) writeConfiguration() {
	s.put("op", "config", object{
		"Version": s.version, "Routes": s.routes,
		"Services": []object{{"Name": "engines", "Engine": object{"Slots": s.slots, "Stride": 5}}, {"Name": "plain"}},
		"Tenants":  []object{{"Name": "c", "ApiKeys": s.keys, "PlainTokens": 1}},
		"Limits":   object{"MaxBodyBytes": 10000},
	})
}

func (s *stage) addNode(i int, store string) {
	p := &process{
		name: fmt.Sprint("node-", i), callers: fake.Address(), ready: fake.Address(), store: newLink(s.t, store),
	}
	content, err := json.Marshal(object{
		"instance": p.name, "dataCentre": []string{"a", "b"}[i%2], "callers": p.callers, "ready": p.ready,
		"peer": fake.Address(), "store": p.store.address(), "keyLease": revokeBound.String(), "stopLimit": stopBound.String(), "targetDrain": drainTime.String(),
		"retry": object{"ratio": 0.2, "slack": 50, "window": "10s"},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	p.settings = filepath.Join(s.folder, p.name+".json")
	if err := os.WriteFile(p.settings, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.nodes = append(s.nodes, p)
}

// start starts a process and waits for its end beside it.
func (s *stage) start(p *process) {
	s.t.Helper()
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	command := exec.Command(s.binary, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	began := time.Now()
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	took := time.Since(began)
	p.mu.Lock()
	p.command = command
	p.sent = append(p.sent, fmt.Sprintf("%s: %s started in %v, id %d", began.Format(clockTime), p.name, took, command.Process.Pid))
	p.mu.Unlock()
	s.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = log.Close()
	})
}

// signal sends a signal to the process that this soak started.
func (p *process) signal(signal syscall.Signal) {
	p.disturb()
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal != syscall.SIGHUP {
		p.stopped = append(p.stopped, time.Now())
	}
	p.sent = append(p.sent, fmt.Sprintf("%s: %v to %s, id %d", time.Now().Format(clockTime), signal, p.name, p.command.Process.Pid))
	// One that has ended already needs no signal.
	_ = p.command.Process.Signal(signal)
}

// wait waits for the process's end.
func (p *process) wait() {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	_ = command.Wait()
}
