package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// host, key and the prefixes are those of the configuration.
	host       = "board.example"
	key        = "k3y0f7en4nt"
	oncePrefix = "/once/"
	oncePath   = oncePrefix + "2f"
	// boardPath is a page that many clients ask for.
	boardPath = "/board/"
	// healthPath is that of the services.
	healthPath = "/health"

	// The bounds are those of the small deployments.
	drainBound = 2 * time.Second
	contact    = 3 * time.Second

	// leastServed is how many requests each machine has to serve before the disruption.
	leastServed = 10
)

// stage is a small deployment on loopback addresses.
type stage struct {
	record  io.Writer
	began   time.Time
	trouble bool
	// broken counts what broke the rule.
	broken int

	folder   string
	store    *store
	machines []*machine
	servers  []*server
	// processes are the servers that have processes of their own.
	processes []*process
	clients   *clients

	mu      sync.Mutex
	failed  error
	closing sync.Once
}

// note writes a line to the record and to standard output.
func (s *stage) note(format string, args ...any) {
	s.noteAt(time.Now(), format, args...)
}

func (s *stage) noteAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", at.Sub(s.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.record, line)
	fmt.Print(line)
}

// fail notes that a part of the case couldn't be carried out.
func (s *stage) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = err
}

func (s *stage) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// awaitFlow fails unless each machine has served some requests: without traffic a case shows nothing.
func (s *stage) awaitFlow() error {
	served := make(map[string]int)
	for _, one := range s.clients.all() {
		if one.status == 200 && one.failure == "" {
			served[one.machine]++
		}
	}
	for _, m := range s.machines {
		if served[m.name] < leastServed {
			return fmt.Errorf("%s served %d requests before the disruption", m.name, served[m.name])
		}
	}
	return nil
}

// close ends all processes.
func (s *stage) close() {
	s.closing.Do(func() {
		for _, m := range s.machines {
			m.kill()
		}
		for _, p := range s.processes {
			p.kill()
		}
		if s.folder != "" && os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.folder)
		}
	})
}

// open starts the store, and one machine for each entry, named by its zone.
func (s *stage) open(zones ...string) error {
	var err error
	if s.folder, err = os.MkdirTemp("", "stage2-"); err != nil {
		return err
	}
	if s.store, err = newStore(); err != nil {
		return err
	}
	s.clients = &clients{key: key}
	s.configure(1)
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "region"
	}
	counts := make(map[string]int)
	for _, zone := range zones {
		counts[zone]++
		toStore, err := newLink(s.store.address)
		if err != nil {
			return err
		}
		m, err := newMachine(s.folder, fmt.Sprintf("edge-%s-%d", zone, counts[zone]), zone, regions, toStore)
		if err != nil {
			return err
		}
		s.machines = append(s.machines, m)
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	s.note("started %d machines in %s", len(s.machines), filepath.Base(s.folder))
	return nil
}

// configure writes a version of the configuration.
func (s *stage) configure(version int) {
	s.store.put("op", "config", map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r-once", "Host": host, "PathPrefix": oncePrefix, "Kind": "non_idempotent", "TimeoutMs": 1500, "GoalMs": 300,
			"Priority": 1, "Service": "app", "MaxAttempts": 1, "Public": false,
		}, {
			"Name": "r-board", "Host": host, "PathPrefix": boardPath, "Kind": "idempotent", "TimeoutMs": 3000, "GoalMs": 800,
			"Priority": 1, "Service": "board", "MaxAttempts": 1, "Public": false,
		}},
		"Services": []map[string]any{
			{"Name": "app", "HealthPath": healthPath, "MaxConns": 100, "Protocol": "h1", "Tls": false},
			{"Name": "board", "HealthPath": healthPath, "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "tenant", "ApiKeys": []string{key}, "Priority": 1, "PlainTokens": 200, "RatePerS": 0, "Burst": 0}},
	})
}

// addServer starts a server and writes its entry.
func (s *stage) addServer(zone string, work time.Duration) (*server, error) {
	server, err := newServer(fmt.Sprintf("i-%04d", len(s.servers)+1), "app", zone, work)
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	s.store.put("servers", server.id, server.row("ready"))
	return server, nil
}

// awaitReady waits until all machines say that they are ready.
func (s *stage) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range s.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(s.machines) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d machines are ready", ready, len(s.machines))
		}
	}
}

// send has clients send to each machine until the context ends.
func (s *stage) send(ctx context.Context, each int) *sync.WaitGroup {
	var sending sync.WaitGroup
	for _, m := range s.machines {
		for range each {
			sending.Go(func() {
				s.clients.run(ctx, m, "POST", oncePath, 20*time.Millisecond, 1500*time.Millisecond)
			})
		}
	}
	return &sending
}

// writeCalls writes what was sent, answered and run to the record.
func (s *stage) writeCalls() {
	runs := make(map[string][]arrival)
	for _, server := range s.servers {
		for _, a := range server.all() {
			runs[a.id] = append(runs[a.id], a)
		}
	}
	for _, p := range s.processes {
		for _, a := range p.all() {
			runs[a.id] = append(runs[a.id], a)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.clients.all() {
		_, _ = fmt.Fprintf(s.record, "%8.3f s  sent %s to %s; %.3f s: %d %s %s", one.sent.Sub(s.began).Seconds(), one.id, one.machine,
			one.ended.Sub(s.began).Seconds(), one.status, one.signed, one.failure)
		for _, a := range runs[one.id] {
			_, _ = fmt.Fprintf(s.record, "; ran at %s from %.3f s", a.server, a.at.Sub(s.began).Seconds())
		}
		_, _ = fmt.Fprintln(s.record)
	}
}
