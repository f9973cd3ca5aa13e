package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// exposureShare, exposureSlack and rollbackTime are the operator's bounds on what a bad
	// version may get.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	// longestLate bounds how late answers are, so that none runs into its route's timeout.
	longestLate = 900 * time.Millisecond
	// badAnswers is the number of bad answers that rollbackTime counts from.
	badAnswers = 50
)

// move is an operator's order to move a service to another version, before targets of both
// versions.
type move struct {
	f       *fleet
	service string
	period  time.Duration
	ordered time.Time

	mu       sync.Mutex
	old, new []*fake.Server
	running  []*httptest.Server
}

// serveVersion starts targets of a version, each of which takes some milliseconds.
func (m *move) serveVersion(version string, count int, faults fake.ServerFaults) []*fake.Server {
	var servers []*fake.Server
	for i := range count {
		name := fmt.Sprint(version, "-", i)
		server := &fake.Server{ID: name}
		server.SetFaults(faults)
		listener := httptest.NewServer(server)
		m.f.t.Cleanup(listener.Close)
		content, err := json.Marshal(object{
			"Service": m.service, "Address": listener.Listener.Addr().String(), "Zone": "z", "Version": version, "Slots": 9, "State": "ready",
		})
		if err != nil {
			m.f.t.Fatal(err)
		}
		m.f.platform.Put("servers", name, content)
		servers = append(servers, server)
		if version == "v1" {
			m.running = append(m.running, listener)
		}
	}
	return servers
}

// order orders the move and starts the targets of the new version.
func (m *move) order(faults fake.ServerFaults) {
	content, err := json.Marshal(object{"Service": m.service, "TargetVersion": "v2", "PeriodS": int(m.period / time.Second)})
	if err != nil {
		m.f.t.Fatal(err)
	}
	m.ordered = time.Now()
	m.f.platform.Put("op", "rollout/"+m.service, content)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.new = m.serveVersion("v2", 6, faults)
}

// state returns what the operator is told of the move.
func (m *move) state() string {
	rows, _ := m.f.platform.Rows.List("status", "")
	for _, row := range rows {
		var told struct{ State, TargetVersion string }
		if row.Key == "rollout/"+m.service && json.Unmarshal(row.Value, &told) == nil && told.TargetVersion == "v2" {
			return told.State
		}
	}
	return ""
}

// runs returns when the targets of a version ran requests.
func runs(servers []*fake.Server) []time.Time {
	var at []time.Time
	for _, server := range servers {
		for _, run := range server.Runs() {
			at = append(at, run.At)
		}
	}
	return at
}

func countBetween(at []time.Time, from, to time.Time) int {
	count := 0
	for _, instant := range at {
		if instant.After(from) && instant.Before(to) {
			count++
		}
	}
	return count
}

// load is callers of all routes of the service, at an even rate.
type load struct {
	mu     sync.Mutex
	sent   int
	took   []time.Duration
	failed []string
}

// usual returns the median time of the answers so far.
func (l *load) usual() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.took)
	return l.took[len(l.took)/2]
}

func (l *load) loop(stop <-chan struct{}, f *fleet, nodes func() []*running, caller int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprint("c", caller, "-", i)
		path := []string{"/once/x", "/many/x"}[i%2]
		began := time.Now()
		got := f.askOn(transport, nodes()[caller%len(nodes())], id, path, nil)
		l.mu.Lock()
		l.sent++
		l.took = append(l.took, time.Since(began))
		if got.err != nil || got.status != http.StatusOK {
			l.failed = append(l.failed, fmt.Sprint(id, " ", got.status, " ", got.err))
		}
		l.mu.Unlock()
	}
}

// An order moves a service to another version: while it is under way a bad version gets no
// more than its share and is given up for good, a good one gets all in the end, and nobody's
// answer is lost by it. On the code before, new targets got their full share at once
// and the operator was told nothing.
func TestRolloutsProveThemselves(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults fake.ServerFaults
		// later turns the version bad only after a part of the period.
		later bool
		// slower is how many times as long as the old version's answers the new one's take.
		slower int
		want   string
	}{
		"good":             {want: "completed"},
		"fails":            {faults: fake.ServerFaults{FailShare: 0.6}, want: "rolled_back"},
		"fails later":      {faults: fake.ServerFaults{FailShare: 0.6}, later: true, want: "rolled_back"},
		"slow":             {slower: 8, want: "rolled_back"},
		"fails on a route": {faults: fake.ServerFaults{FailShare: 0.6, OnlyPath: "/many"}, want: "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proveRollout(t, c.faults, c.later, c.slower, c.want)
		})
	}
}

func proveRollout(t *testing.T, faults fake.ServerFaults, later bool, slower int, want string) {
	f := newFleet(t)
	m := &move{f: f, service: "plain", period: 8 * time.Second}
	m.old = m.serveVersion("v1", 6, fake.ServerFaults{Slow: 10 * time.Millisecond})
	nodes := []*running{f.startIn("z"), f.startIn("z"), f.startIn("y")}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	callers := &load{}
	for caller := range 18 {
		wait.Go(func() { callers.loop(stop, f, func() []*running { return nodes }, caller) })
	}
	time.Sleep(500 * time.Millisecond)
	bad := faults
	bad.Slow = 10 * time.Millisecond
	if slower > 0 {
		// A busy machine takes part in each answer: what is late by a fixed time is not slower by
		// as much there.
		bad.Late = min(time.Duration(slower-1)*callers.usual(), longestLate)
		t.Logf("answers take %v, those of the new version %v more", callers.usual(), bad.Late)
	}
	first := bad
	if later {
		first = fake.ServerFaults{Slow: 10 * time.Millisecond}
	}
	m.order(first)
	deadline := m.ordered.Add(m.period)
	if later {
		time.Sleep(m.period / 2)
		for _, server := range m.new {
			server.SetFaults(bad)
		}
	}
	for m.state() != want && time.Now().Before(deadline.Add(3*time.Second)) {
		time.Sleep(20 * time.Millisecond)
	}
	reached := time.Now()
	if want == "completed" {
		for _, old := range m.running {
			old.CloseClientConnections()
			old.Close()
		}
	}
	time.Sleep(time.Until(deadline) + time.Second)
	close(stop)
	wait.Wait()
	if got := m.state(); got != want {
		t.Errorf("the operator is told %q, not %q", got, want)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(strings.Join(f.log.Lines("A new version"), "\n"))
		}
	})
	toNew := runs(m.new)
	exposed := countBetween(toNew, m.ordered, deadline)
	all := exposed + countBetween(runs(m.old), m.ordered, deadline)
	t.Logf("%s after %v, %d of %d went to the new version, %d failed", want, reached.Sub(m.ordered), exposed, all, len(callers.failed))
	if float64(exposed) > exposureShare*float64(all)+exposureSlack {
		t.Errorf("%d of %d went to the new version before the deadline", exposed, all)
	}
	if want == "completed" {
		if len(callers.failed) > 0 {
			t.Errorf("%d answers were lost: %.500s", len(callers.failed), strings.Join(callers.failed, "; "))
		}
		return
	}
	if late := countBetween(toNew, reached.Add(time.Second), time.Now()); late > 0 {
		t.Errorf("%d went to a version that was rolled back", late)
	}
	if bad := badRuns(m.new); len(bad) > badAnswers && countBetween(toNew, bad[badAnswers-1].Add(rollbackTime), time.Now()) > 0 {
		t.Error("a bad version got requests later than it may")
	}
}

// badRuns returns when the requests began that were answered badly, in order.
func badRuns(servers []*fake.Server) []time.Time {
	var at []time.Time
	for _, server := range servers {
		for _, run := range server.Runs() {
			if run.Bad {
				at = append(at, run.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// All instances end in the middle of an order, or after it: who begins later goes on with it,
// a good version still gets all in the end, and one that was rolled back gets nothing again.
func TestRolloutsOutliveInstances(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults fake.ServerFaults
		want   string
	}{
		"good":  {want: "completed"},
		"fails": {faults: fake.ServerFaults{FailShare: 0.8}, want: "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			m := &move{f: f, service: "plain", period: 12 * time.Second}
			m.old = m.serveVersion("v1", 6, fake.ServerFaults{Slow: 10 * time.Millisecond})
			var mu sync.Mutex
			nodes := []*running{f.startIn("z"), f.startIn("z")}
			current := func() []*running {
				mu.Lock()
				defer mu.Unlock()
				return nodes
			}
			stop := make(chan struct{})
			var wait sync.WaitGroup
			callers := &load{}
			for caller := range 18 {
				wait.Go(func() { callers.loop(stop, f, current, caller) })
			}
			faults := c.faults
			faults.Slow = 10 * time.Millisecond
			m.order(faults)
			if c.want == "completed" {
				time.Sleep(2 * time.Second)
			} else {
				f.eventually("not rolled back", func() bool { return m.state() == c.want })
			}
			before := current()
			for _, n := range before {
				n.stop()
			}
			for _, n := range before {
				<-n.ended
			}
			restarted := time.Now()
			next := []*running{f.startIn("z"), f.startIn("z")}
			mu.Lock()
			nodes = next
			mu.Unlock()
			deadline := m.ordered.Add(m.period)
			for m.state() != c.want && time.Now().Before(deadline.Add(8*time.Second)) {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(max(time.Second, time.Until(deadline)))
			close(stop)
			wait.Wait()
			if got := m.state(); got != c.want {
				t.Errorf("the operator is told %q, not %q", got, c.want)
			}
			toNew := runs(m.new)
			exposed := countBetween(toNew, m.ordered, deadline)
			all := exposed + countBetween(runs(m.old), m.ordered, deadline)
			t.Logf("%d of %d went to the new version, %d after all had ended", exposed, all, countBetween(toNew, restarted, time.Now()))
			if float64(exposed) > exposureShare*float64(all)+exposureSlack {
				t.Errorf("%d of %d went to the new version before the deadline", exposed, all)
			}
			if late := countBetween(toNew, restarted, time.Now()); c.want == "rolled_back" && late > 0 {
				t.Errorf("%d went to a version that was rolled back before all ended", late)
			}
		})
	}
}
