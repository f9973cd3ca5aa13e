package node_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// versioned is instances before targets of several versions of one pool, whose callers take streams up.
type versioned struct {
	*limited
	// silent callers don't tell which of their attempts brought the first event.
	silent bool
	// gone are the instances that callers don't come to.
	gone map[int]bool
	// apart is the time between the tries of two callers.
	apart time.Duration
	// drainedAt is when targets have said that they leave.
	drainedAt map[string]time.Time

	count int
}

// taken is a stream over all tries of its caller.
type taken struct {
	// first is the attempt that brought the first event, and at where that was.
	first string
	at    int
	last  int
	began time.Time
	// versions are those of its events.
	versions map[string]bool
	whole    bool
	// statuses are how its attempts ended.
	statuses []int
}

func (s *taken) mixed() bool { return len(s.versions) > 1 }

// newVersioned lists four targets of each version.
func newVersioned(l *large, versions ...string) *versioned {
	p := &versioned{limited: newLimited(l, 0), gone: make(map[int]bool), apart: 15 * time.Millisecond, drainedAt: make(map[string]time.Time)}
	p.release(versions...)
	time.Sleep(2 * time.Second)
	return p
}

// release lists four targets of each version, beside those that are there.
func (p *versioned) release(versions ...string) {
	for _, version := range versions {
		for range 4 {
			p.serveVersion(version)
		}
	}
}

func (p *versioned) serveVersion(version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := fmt.Sprintf("%s-%d", version, len(p.targets))
	p.host(&fake.Server{ID: name, Events: streamEvents, Version: version}, centreOf(len(p.targets)+1))
	p.listVersion(name, "ready")
}

func (p *versioned) listVersion(name, state string) {
	if state == "draining" {
		p.drainedAt[name] = p.clock.Now()
	}
	p.put("servers", name, object{
		"Service": "limited", "Address": p.addresses[name], "Zone": p.centres[name], "Slots": 8, "State": state, "Version": p.targets[name].Version,
	})
}

// each calls a function for all targets of a version.
func (p *versioned) each(version string, do func(name string)) {
	for name, target := range p.targets {
		if target.Version == version {
			do(name)
		}
	}
}

// drain has all targets of a version say that they leave.
func (p *versioned) drain(version string) {
	p.each(version, func(name string) { p.listVersion(name, "draining") })
}

// remove ends all targets of a version and takes them off the list.
func (p *versioned) remove(version string) {
	p.each(version, func(name string) {
		p.platform.Drop("servers", name)
		p.ends[name]()
	})
}

// setGone has callers come to an instance or not.
func (p *versioned) setGone(i int, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone[i] = gone
}

// kill ends an instance without a word.
func (p *versioned) kill(i int) {
	p.setGone(i, true)
	p.cutOff(i)
	p.stops[i]()
}

// stop ends an instance as planned work does.
func (p *versioned) stop(i int) {
	p.gone[i] = true
	p.stops[i]()
}

// pick returns an instance that callers come to, other than one where there are more.
func (p *versioned) pick(not int) int {
	var open []int
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.instances {
		if i != not && !p.gone[i] {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return not
	}
	return open[rand.IntN(len(open))]
}

// inTurn returns the instances one after the other.
func (p *versioned) inTurn() func() int {
	var next atomic.Int64
	return func() int { return int(next.Add(1)) % len(p.instances) }
}

// client returns callers' connections to an instance.
func (p *versioned) client() *http.Client {
	client := &http.Client{Transport: &http.Transport{DialContext: p.network.Machine(limitCallers).Dial, DisableKeepAlives: true}}
	return client
}

// attempt sends one try of a stream to an instance and reads so many of its events; 0 means all. It returns
// the status, 0 if the answer or the connection broke, and for how long a refused caller is to wait.
func (p *versioned) attempt(s *taken, at, events int) (status int, wait time.Duration) {
	ctx, cancel := context.WithTimeout(p.ctx, streamTime-p.clock.Now().Sub(s.began))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:80/e/x", machineOf(at)), strings.NewReader("body"))
	if err != nil {
		p.t.Error(err)
		return 0, 0
	}
	id := p.nextID()
	request.Host = "h.example"
	request.Header.Set("X-Shelfshelf-Request-Id", id)
	request.Header.Set("X-Shelfshelf-Request-Deadline", fmt.Sprint((streamTime - p.clock.Now().Sub(s.began)).Milliseconds()))
	request.Header.Set("Authorization", "Bearer k1")
	if s.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		if !p.silent {
			request.Header.Set("Resumes", s.first)
		}
	}
	response, err := p.client().Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return response.StatusCode, time.Duration(seconds * float64(time.Second))
	}
	if p.read(s, bufio.NewScanner(response.Body), id, at, events) {
		return http.StatusOK, 0
	}
	return 0, 0
}

func (p *versioned) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	return fmt.Sprint("s", p.count)
}

// read reads events of an answer, and reports whether all that were wanted came.
func (p *versioned) read(s *taken, lines *bufio.Scanner, id string, at, events int) bool {
	got := 0
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		event, version, _ := strings.Cut(data, " ")
		number, err := strconv.Atoi(event[strings.LastIndex(event, "-")+1:])
		if err != nil || number != s.last+1 {
			p.t.Errorf("event %q after event %d", data, s.last)
		}
		if s.first == "" {
			s.first, s.at = id, at
		}
		s.last, s.versions[version] = number, true
		if got++; got == events {
			return true
		}
	}
	s.whole = s.whole || lines.Err() == nil && s.last == streamEvents
	return s.whole
}

// try sends a stream's next try, and once more where it is told to wait or doesn't get through.
func (p *versioned) try(s *taken, at, events int) int {
	status, wait := p.attempt(s, at, events)
	s.statuses = append(s.statuses, status)
	if status != http.StatusServiceUnavailable && status != 0 {
		return status
	}
	time.Sleep(wait)
	status, _ = p.attempt(s, p.pick(at), events)
	s.statuses = append(s.statuses, status)
	return status
}

// all does something for so many streams at once, each a little later than the one before.
func (p *versioned) all(streams []*taken, do func(s *taken)) {
	var callers sync.WaitGroup
	for _, s := range streams {
		callers.Go(func() { do(s) })
		time.Sleep(p.apart)
	}
	callers.Wait()
}

// begin begins so many streams, each read for some events; those that don't begin are left out.
func (p *versioned) begin(count, events int, at func() int) []*taken {
	streams := make([]*taken, count)
	for i := range streams {
		streams[i] = &taken{began: p.clock.Now(), versions: make(map[string]bool)}
	}
	p.all(streams, func(s *taken) {
		s.began = p.clock.Now()
		if events == 0 {
			// Read to the end or until it breaks off, which another try would hide.
			p.attempt(s, at(), events)
			return
		}
		p.try(s, at(), events)
	})
	var begun []*taken
	for _, s := range streams {
		if s.last > 0 {
			begun = append(begun, s)
		}
	}
	if len(begun) < count*9/10 {
		p.t.Errorf("%d of %d new streams began", len(begun), count)
	}
	return begun
}

// takeUp has all streams taken up at another instance, and returns how many went on.
func (p *versioned) takeUp(streams []*taken, events int) int {
	var mu sync.Mutex
	goneOn := 0
	p.all(streams, func(s *taken) {
		before := s.last
		p.try(s, p.pick(s.at), events)
		mu.Lock()
		defer mu.Unlock()
		if s.last > before {
			goneOn++
		}
	})
	return goneOn
}

// checkMixed checks that no stream holds events of two versions but for those that the rule allows.
func (p *versioned) checkMixed(streams []*taken) {
	p.t.Helper()
	mixed := 0
	for _, s := range streams {
		if s.mixed() {
			mixed++
		}
	}
	p.t.Logf("%d of %d streams hold events of two versions", mixed, len(streams))
	if mixed > mostMixed {
		p.t.Errorf("%d of %d streams hold events of two versions", mixed, len(streams))
	}
}

// checkDrained checks that no stream reached a target later than it had to serve after it had said that it leaves.
func (p *versioned) checkDrained() {
	p.t.Helper()
	after, late, latest := 0, 0, time.Duration(0)
	for name, at := range p.drainedAt {
		for _, run := range p.targets[name].Runs() {
			since := run.At.Sub(at)
			if run.LastEvent == "" || since <= 0 {
				continue
			}
			after++
			latest = max(latest, since)
			if since > targetDrain {
				late++
			}
		}
	}
	p.t.Logf("%d streams went on at targets that drained, the latest after %v", after, latest)
	if late > 0 {
		p.t.Errorf("%d of %d streams went on at targets that had drained for over %v, the latest after %v", late, after, targetDrain, latest)
	}
}

// checkGoneOn checks how many of some streams that were taken up went on.
func (p *versioned) checkGoneOn(goneOn, of int, least float64) {
	p.t.Helper()
	p.t.Logf("%d of %d streams went on", goneOn, of)
	if float64(goneOn) < least*float64(of) {
		p.t.Errorf("%d of %d streams that were taken up went on", goneOn, of)
	}
}
