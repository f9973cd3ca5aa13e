package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// machine is one process of the deploy file, with its link to the store.
type machine struct {
	name     string
	zone     string
	callers  string
	ready    string
	store    *link
	settings string
	log      string
	command  *exec.Cmd
	ended    chan struct{}
}

// newMachine writes the settings as deploy/shelfnode.json.template lays them out for a small deployment.
func newMachine(folder, name, zone string, zones map[string]string, store *link) (*machine, error) {
	var addresses [4]string
	for i := range addresses {
		addresses[i] = fake.Address()
	}
	m := &machine{
		name: name, zone: zone, callers: addresses[0], ready: addresses[1], store: store,
		settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"),
	}
	content, err := json.MarshalIndent(map[string]any{
		"instance": name, "dataCentre": zone, "regions": zones, "callers": addresses[0], "ready": addresses[1],
		"peer": addresses[2], "store": store.address, "metrics": addresses[3], "memoryMb": 284, "descriptors": 4200,
		"linkMbps": 1000.0, "enginesPerQueue": 8, "firstStart": true, "keyLease": "5000ms", "stopLimit": "8s", "targetDrain": "2000ms",
		"retry": map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
		"quota": map[string]any{"window": "8s", "slack": 140000},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return m, os.WriteFile(m.settings, content, 0o600)
}

// start starts the process.
func (m *machine) start() error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command("target/shelfnode", "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func() {
		_ = m.command.Wait()
		_ = log.Close()
		close(m.ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(signal syscall.Signal) {
	_ = m.command.Process.Signal(signal)
}

// kill ends the process, if it runs.
func (m *machine) kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGCONT)
	_ = m.command.Process.Kill()
	<-m.ended
}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
