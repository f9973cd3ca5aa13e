package main

import (
	"encoding/json"
	"errors"
	"fmt"
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

type object map[string]any

// How long the set-up of a case may take.
const (
	readyLimit = 20 * time.Second
	settleTime = 2 * time.Second
	storeLimit = 10 * time.Second
)

// world is the processes and stand-ins of a case.
type world struct {
	folder   string
	platform *fake.Platform
	store    string
	nodes    []*node
	began    time.Time
	// traffic is when clients began.
	traffic time.Time
	// trouble is false without the disruption of the case.
	trouble bool
	ended   sync.Once
	// starting guards over, so that no process starts once they are being ended.
	starting sync.Mutex
	over     bool

	mu     sync.Mutex
	record *os.File
}

// node is one shelfnode process.
type node struct {
	name     string
	settings string
	callers  string
	ready    string
	command  *exec.Cmd
	log      *os.File
	ended    chan struct{}
}

func newWorld(record string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, platform: fake.NewPlatform(clockwork.NewRealClock()), record: file, began: time.Now(), trouble: trouble}
	if w.store, err = serve(w.platform.Handler()); err != nil {
		return nil, err
	}
	return w, nil
}

// serve serves a handler on a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: storeLimit}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// put writes a row to the store, as the operator or a server does.
func (w *world) put(table, key string, value object) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.platform.Put(table, key, content)
	return nil
}

// addNode writes the settings of a process as the template of the deploy file has them, with the figures of a small
// deployment, and starts it.
func (w *world) addNode(name, zone string, zones map[string]string) (*node, error) {
	n := &node{name: name, callers: fake.Address(), ready: fake.Address(), settings: filepath.Join(w.folder, name+".json")}
	content, err := json.Marshal(object{
		"instance": name, "dataCentre": zone, "regions": zones, "callers": n.callers, "ready": n.ready,
		"peer": fake.Address(), "store": w.store, "memoryMb": 284, "descriptors": 4200, "linkMbps": 1000,
		"enginesPerQueue": 8, "firstStart": true, "keyLease": "5000ms", "stopLimit": "8s", "targetDrain": "2000ms",
		"retry": object{"ratio": 0.2, "slack": 52, "window": "10s"},
		"quota": object{"window": "8s", "slack": 140000},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, content, 0o600); err != nil {
		return nil, err
	}
	return n, w.start(n)
}

// start starts the process with the command of the deploy file.
func (w *world) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.command = exec.Command("target/shelfnode", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	w.starting.Lock()
	defer w.starting.Unlock()
	if w.over {
		return errors.New("the case is ending")
	}
	n.ended = make(chan struct{})
	if err := n.command.Start(); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	go n.wait()
	w.note("%s is started", n.name)
	return nil
}

func (n *node) wait() {
	_ = n.command.Wait()
	close(n.ended)
}

// awaitReady waits until all processes call themselves ready, as the platform asks them.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, n := range w.nodes {
		for end := time.Now().Add(readyLimit); ; time.Sleep(50 * time.Millisecond) {
			if isReady(client, n) {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
		}
	}
	time.Sleep(settleTime)
	w.note("all are ready")
	return nil
}

func isReady(client *http.Client, n *node) bool {
	response, err := client.Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end ends all processes that were started, and removes the folder.
func (w *world) end() { w.ended.Do(w.endProcesses) }

func (w *world) endProcesses() {
	w.starting.Lock()
	defer w.starting.Unlock()
	w.over = true
	for _, n := range w.nodes {
		if n.command == nil || n.command.Process == nil {
			continue
		}
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.ended
		_ = n.log.Close()
	}
	_ = os.RemoveAll(w.folder)
}
