package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/fake"
)

// The figures of the site armor-jobs.
const (
	nodeCount   = 7
	engineCount = 18
	plainCount  = 4
	engineSlots = 7
	plainSlots  = 6

	revokeBound = 5 * time.Second
	graceTime   = 8 * time.Second
	// entryLapse is three heartbeats of 1.2 s, after which the entry of a silent target goes.
	entryLapse = 3600 * time.Millisecond

	enginePool = "shelf-pool"
	plainPool  = "portail"
	host       = "boards.example"
)

// startTimeout bounds the time until all nodes are ready.
const startTimeout = 20 * time.Second

var zones = []string{"rennes", "brest", "vannes", "lorient"}

type object map[string]any

// world is the store, the shelfnode processes and the targets of one case.
type world struct {
	trouble bool
	began   time.Time
	temp    string
	store   *fake.Platform
	storeAt string
	web     *http.Server
	nodes   []*node
	targets []*target

	mu      sync.Mutex
	record  *os.File
	version int
	started int
	// runs holds what targets have begun to run, by request.
	runs map[string][]runLine
}

// node is one shelfnode process.
type node struct {
	name    string
	callers string
	ready   string
	command *exec.Cmd
}

// target is one process of a stand-in of a target.
type target struct {
	id      string
	pool    string
	zone    string
	address string
	options []string
	command *exec.Cmd
}

// runLine is a line that a target prints.
type runLine struct {
	Target string `json:"target"`
	ID     string `json:"id"`
	What   string `json:"what"`
	Tenant string `json:"tenant,omitempty"`
	// At is when the line came.
	At time.Time `json:"-"`
}

func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), temp: temp, record: record,
		store: fake.NewPlatform(clockwork.NewRealClock()), runs: make(map[string][]runLine),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = listener.Addr().String()
	w.web = &http.Server{Handler: w.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.web.Serve(listener) }()
	w.note("trouble: %v", w.trouble)
	return w, nil
}

// note writes a line of the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	if _, err := io.WriteString(w.record, line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, t := range w.targets {
		end(t.command)
	}
	for _, n := range w.nodes {
		end(n.command)
	}
	_ = w.web.Close()
	_ = os.RemoveAll(w.temp)
}

func end(command *exec.Cmd) {
	if command == nil || command.Process == nil {
		return
	}
	_ = command.Process.Kill()
	_ = command.Wait()
}

// put writes a row as the operator or a target would.
func (w *world) put(table, key string, value object) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.store.Put(table, key, content)
	return nil
}

// configure puts a configuration with these keys of the tenants into the store. Its return is the acknowledgement.
func (w *world) configure(keys map[string][]string) error {
	w.version++
	route := func(name, prefix, kind, service string, timeout, goal, attempts, priority int) object {
		return object{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "GoalMs": goal,
			"Service": service, "MaxAttempts": attempts, "Priority": priority,
		}
	}
	dossier := route("dossier-match", "/dossier/", "streaming", enginePool, 12000, 1200, 2, 0)
	dossier["CanResume"], dossier["GapGoalMs"] = true, 600
	annonce := route("annonce-rewrite", "/annonce/", "streaming", enginePool, 10000, 1000, 1, 1)
	annonce["GapGoalMs"] = 600
	var tenants []object
	for name, held := range keys {
		tenants = append(tenants, object{"Name": name, "ApiKeys": held, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 1000000, "Burst": 1000000})
	}
	return w.put("op", "config", object{
		"Version": w.version,
		"Routes": []object{
			dossier, annonce,
			route("candidature", "/candidature/", "non_idempotent", plainPool, 12000, 300, 1, 2),
			route("offre-lookup", "/offre/", "idempotent", plainPool, 800, 300, 2, 2),
		},
		"Services": []object{
			{"Name": enginePool, "HealthPath": "/health", "MaxConns": 360, "Engine": object{"Slots": engineSlots, "Stride": 7}},
			{"Name": plainPool, "HealthPath": "/health", "MaxConns": 100},
		},
		"Tenants": tenants,
		"Limits":  object{"MaxHeaderBytes": 32768, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	})
}

// addTargets starts the targets of the site: engines and plain servers, in turn over the zones. Options returns the
// behaviour of the target with a number within its pool.
func (w *world) addTargets(options func(pool string, number int) []string) error {
	for _, pool := range []string{enginePool, plainPool} {
		count := engineCount
		if pool == plainPool {
			count = plainCount
		}
		for i := range count {
			t := &target{pool: pool, zone: zones[i%len(zones)], options: options(pool, i)}
			w.targets = append(w.targets, t)
			if err := w.startTarget(t); err != nil {
				return err
			}
		}
	}
	return nil
}

// startTarget starts a target anew, with a new id and address, and lists it.
func (w *world) startTarget(t *target) error {
	w.started++
	t.id, t.address = fmt.Sprintf("i-%04d", w.started), fake.Address()
	slots := engineSlots
	if t.pool == plainPool {
		slots = plainSlots
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	t.command = exec.Command(self, append([]string{"server", "-listen", t.address, "-id", t.id, "-slots", fmt.Sprint(slots)}, t.options...)...)
	t.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := t.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := t.command.Start(); err != nil {
		return err
	}
	go w.readLines(output)
	if err := awaitListener(t.address); err != nil {
		return err
	}
	return w.put("servers", t.id, object{
		"Service": t.pool, "Address": t.address, "Zone": t.zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdMs": 0, "Sequence": 1,
	})
}

// awaitListener waits until somebody listens at an address.
func awaitListener(address string) error {
	var err error
	for range 200 {
		var connection net.Conn
		if connection, err = net.Dial("tcp", address); err == nil {
			return connection.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// readLines records what a target prints.
func (w *world) readLines(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var line runLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		line.At = time.Now()
		w.note("target %s: %s %s %s", line.Target, line.What, line.ID, line.Tenant)
		w.mu.Lock()
		w.runs[line.ID] = append(w.runs[line.ID], line)
		w.mu.Unlock()
	}
}

// runsOf returns what targets have printed of a request.
func (w *world) runsOf(id string) []runLine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]runLine(nil), w.runs[id]...)
}

// addNodes starts the nodes with the command of the deploy file and waits until all call themselves ready.
func (w *world) addNodes() error {
	for i := range nodeCount {
		if err := w.startNode(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return errors.New("a node did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Until all have announced themselves, nodes take others for missing.
	time.Sleep(4 * time.Second)
	w.note("all %d nodes are ready", len(w.nodes))
	return nil
}

func (w *world) startNode(i int) error {
	regions := object{}
	for _, zone := range zones {
		regions[zone] = "breizh"
	}
	n := &node{name: fmt.Sprintf("edge-%d", i+1), callers: fake.Address(), ready: fake.Address()}
	content, err := json.MarshalIndent(object{
		"instance": n.name, "dataCentre": zones[i%len(zones)], "regions": regions, "callers": n.callers, "ready": n.ready,
		"peer": fake.Address(), "store": w.storeAt, "memoryMb": 134, "descriptors": 4100, "linkMbps": 1000.0,
		"enginesPerQueue": 8, "firstStart": true, "keyLease": revokeBound.String(), "stopLimit": graceTime.String(),
		"targetDrain": "2000ms", "retry": object{"ratio": 0.2, "slack": 54, "window": "10s"},
		"quota": object{"window": "8s", "slack": 140000},
	}, "", "  ")
	if err != nil {
		return err
	}
	settings := filepath.Join(w.temp, n.name+".json")
	if err := os.WriteFile(settings, content, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.temp, n.name+".log"))
	if err != nil {
		return err
	}
	n.command = exec.Command("target/shelfnode", "--settings", settings)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	w.note("%s started", n.name)
	return nil
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
