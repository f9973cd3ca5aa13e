package node_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/platform"
)

const (
	// crowdShare is the part of the new connections that the balancer hands to one instance.
	crowdShare = 0.95
	// crowdContact is how long after the crowd begins the count of first tries begins, and crowdSpan how long
	// the crowd lasts.
	crowdContact = 3 * time.Second
	crowdSpan    = 7 * time.Second
	// calmSpan is how long callers come evenly before the crowd.
	calmSpan = 2 * time.Second
	// leastCrowdShare is how often requests have to be served at the first try that was read, as a part of how
	// often they were before.
	leastCrowdShare = 0.75
	// strongCost and weakCost are how long a processor takes for a piece of work: a request and its answer are
	// about 20.
	strongCost = 120 * time.Microsecond
	weakCost   = 625 * time.Microsecond
	// callerTime is how long callers wait, and callerTries how often they try.
	callerTime  = 8 * time.Second
	callerTries = 4
)

// crowdCase is a crowd at one instance.
type crowdCase struct {
	count int
	// at is the instance that gets the most connections first.
	at int
	// perSecond are the requests of all callers.
	perSecond int
	// engines is how many engines each data centre has, events how long their streams are, and pace the time
	// from one event to the next.
	engines, events int
	pace            time.Duration
	// moves is how often the crowd goes on to the next instance by itself, and times how often it comes.
	moves, times int
	// allWeak gives all instances weak processors.
	allWeak bool
	// evenly has the crowd come to all instances, so many times as many callers as before.
	evenly int
	// body is how many bytes the body of a request has; 0 means a few.
	body int
	// noProcessors has the processors take no time.
	noProcessors bool
}

// crowded is instances with processors of unlike strength behind a stand-in of the balancer.
type crowded struct {
	*limited
	crowdCase
	// crowdAt is the instance that gets the most connections now; -1 while none does.
	crowdAt int
	// misses counts how often in a row an instance was not ready when asked; two take it out.
	misses []int
	// changes counts how often instances were taken out.
	changes int

	calm, during, after tally
	// seconds counts by second of the crowd.
	seconds map[int]*tally
}

// tally counts first tries that were read, and tries that were closed unread.
type tally struct {
	read, served, unread int
	statuses             map[string]int
}

func (c *tally) add(status string) {
	if c.statuses == nil {
		c.statuses = make(map[string]int)
	}
	c.statuses[status]++
	if status == "unread" {
		c.unread++
		return
	}
	c.read++
	if status == "200" {
		c.served++
	}
}

func (c *tally) share() float64 { return float64(c.served) / float64(max(c.read, 1)) }

func (c *tally) String() string {
	return fmt.Sprintf("%d of %d read served, %d unread: %v", c.served, c.read, c.unread, c.statuses)
}

// newCrowded lists engines and plain targets, and gives each instance a processor.
func newCrowded(l *large, c crowdCase) *crowded {
	p := &crowded{limited: newLimited(l, 0), crowdCase: c, crowdAt: -1, misses: make([]int, c.count), seconds: make(map[int]*tally)}
	for i := range c.count {
		if c.noProcessors {
			break
		}
		cost := weakCost
		if linkOf(i) == wideLink && !c.allWeak {
			cost = strongCost
		}
		l.network.SetProcessor(machineOf(i), &fake.Processor{Clock: l.clock, Cost: cost})
	}
	parts := limitedParts()
	parts.routes[0]["Priority"] = 1
	p.configure(3, parts)
	for i := range centres * c.engines {
		p.serveSlots(fmt.Sprint("e", i), "limited", centreOf(i), c.events, 4)
	}
	for i := range centres {
		p.serveSlots(fmt.Sprint("p", i), "plain", centreOf(i), 0, 8)
	}
	time.Sleep(2 * time.Second)
	return p
}

func (p *crowded) serveSlots(name, service, centre string, events, slots int) {
	p.host(&fake.Server{ID: name, Events: events}, centre)
	if events > 0 {
		p.targets[name].SetFaults(fake.ServerFaults{Slow: p.pace})
	}
	p.put("servers", name, object{"Service": service, "Address": p.addresses[name], "Zone": centre, "Slots": slots, "State": "ready"})
}

// runBalancer asks all instances each second whether they are ready, until the context ends.
func (p *crowded) runBalancer(ctx context.Context) {
	client := &http.Client{
		Transport: &http.Transport{DialContext: p.network.Machine("10.250.0.1").Dial, DisableKeepAlives: true}, Timeout: time.Second,
	}
	for ctx.Err() == nil {
		for i := range p.count {
			go p.ask(client, i)
		}
		time.Sleep(time.Second)
	}
}

// ask asks one instance whether it is ready.
func (p *crowded) ask(client *http.Client, i int) {
	answer, err := client.Get("http://" + p.ready[i] + platform.ReadyPath)
	ready := err == nil && answer.StatusCode == http.StatusOK
	if err == nil {
		_ = answer.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ready {
		p.misses[i] = 0
		return
	}
	p.misses[i]++
	if p.misses[i] == 2 {
		p.changes++
		if p.crowdAt == i {
			p.crowdAt = p.next(i)
		}
	}
}

// next returns the next instance of the same data centre that is in, or of any if it has no other; p.mu is held.
func (p *crowded) next(i int) int {
	for step := 1; step < p.count; step++ {
		if other := (i + step*centres) % p.count; p.misses[other] < 2 && other%centres == i%centres {
			return other
		}
	}
	for step := 1; step < p.count; step++ {
		if other := (i + step) % p.count; p.misses[other] < 2 {
			return other
		}
	}
	return i
}

// place returns the instance that a new connection is handed to; a retry meets another one.
func (p *crowded) place(not int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if not < 0 && p.crowdAt >= 0 && rand.Float64() < crowdShare {
		return p.crowdAt
	}
	for range 100 {
		if i := rand.IntN(p.count); i != not && p.misses[i] < 2 {
			return i
		}
	}
	return rand.IntN(p.count)
}

// setCrowd has the crowd come to an instance, or to none.
func (p *crowded) setCrowd(at int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crowdAt = at
}

// moveOn has the crowd go on to the next instance.
func (p *crowded) moveOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crowdAt = p.next(p.crowdAt)
}

// come has callers come for a time, and returns a channel that is closed once all of them are done.
func (p *crowded) come(span time.Duration, perSecond int, count func(sent time.Time, status string)) *sync.WaitGroup {
	var callers sync.WaitGroup
	end := p.clock.Now().Add(span)
	for number := 0; p.clock.Now().Before(end); number++ {
		kind := p.kindOf(number)
		callers.Go(func() { p.serveCaller(kind, count) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return &callers
}

// serveCaller sends one caller's tries until one is served or the caller gives up, and counts those up to the first
// that was read.
func (p *crowded) serveCaller(kind string, count func(sent time.Time, status string)) {
	sent := p.clock.Now()
	at, wasRead := -1, false
	for range callerTries {
		left := callerTime - p.clock.Now().Sub(sent)
		if left <= 0 {
			return
		}
		at = p.place(at)
		status, wait := p.try(kind, at, left)
		if !wasRead {
			p.mu.Lock()
			count(sent, status)
			p.mu.Unlock()
		}
		wasRead = wasRead || status != "unread"
		if status == "200" {
			return
		}
		time.Sleep(wait)
	}
}

// callerConn counts what a caller has sent that was read.
type callerConn struct {
	net.Conn
	sent int
}

func (c *callerConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.sent += count
	return count, err
}

// try sends one try, and returns how it ended and how long the caller is to wait before the next.
func (p *crowded) try(kind string, at int, left time.Duration) (status string, wait time.Duration) {
	ctx, cancel := context.WithTimeout(p.ctx, left)
	defer cancel()
	var connection *callerConn
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		conn, err := p.network.Machine(limitCallers).Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		connection = &callerConn{Conn: conn}
		return connection, nil
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(p.request(ctx, kind, at, left))
	if err != nil {
		if connection == nil || connection.sent == 0 {
			return "unread", 10 * time.Millisecond
		}
		if ctx.Err() != nil {
			return "late", 0
		}
		return "broken", 10 * time.Millisecond
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut", 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return fmt.Sprint(response.StatusCode), time.Duration(seconds * float64(time.Second))
}

func (p *crowded) request(ctx context.Context, kind string, at int, left time.Duration) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:80/%s/x", machineOf(at), kind), strings.NewReader(strings.Repeat("x", max(p.body, 1))))
	if err != nil {
		p.t.Error(err)
		return nil
	}
	request.Host = "h.example"
	request.Header.Set("X-Shelfshelf-Request-Id", fmt.Sprintf("%s-%d-%d", kind, p.clock.Now().UnixNano(), rand.Int64()))
	request.Header.Set("X-Shelfshelf-Request-Deadline", fmt.Sprint(left.Milliseconds()))
	request.Header.Set("Authorization", "Bearer k1")
	return request
}

// play has callers come evenly, then most of them to one instance, then evenly again.
func (p *crowded) play() {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go p.runBalancer(ctx)
	into := func(t *tally) func(time.Time, string) {
		return func(_ time.Time, status string) { t.add(status) }
	}
	p.come(calmSpan, p.perSecond, into(&p.calm)).Wait()
	for range max(p.times, 1) {
		p.playCrowd(p.at)
	}
	p.come(crowdContact, p.perSecond, func(time.Time, string) {}).Wait()
	p.come(calmSpan, p.perSecond, into(&p.after)).Wait()
}

// playCrowd has most callers come to one instance for a while, then all evenly for a moment.
func (p *crowded) playCrowd(at int) {
	perSecond := p.perSecond
	if p.evenly > 0 {
		perSecond *= p.evenly
	} else {
		p.setCrowd(at)
	}
	began := p.clock.Now()
	for move := range p.moves {
		time.AfterFunc(crowdSpan*time.Duration(move+1)/time.Duration(p.moves+1), p.moveOn)
	}
	callers := p.come(crowdSpan, perSecond, func(sent time.Time, status string) {
		since := sent.Sub(began)
		second := int(since / time.Second)
		if p.seconds[second] == nil {
			p.seconds[second] = &tally{}
		}
		p.seconds[second].add(status)
		if since >= crowdContact {
			p.during.add(status)
		}
	})
	p.setCrowd(-1)
	callers.Wait()
}

// check checks that requests were served as often as the rule asks, and that nobody was turned away in calm.
func (p *crowded) check() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for second := range int(crowdSpan / time.Second) {
		p.t.Logf("second %d: %v", second, p.seconds[second])
	}
	p.t.Logf("calm %v", &p.calm)
	p.t.Logf("crowd %v; %d times an instance was taken out", &p.during, p.changes)
	p.t.Logf("after %v", &p.after)
	p.t.Logf("%d times an owner of slots was skipped", len(p.log.Lines("Slot owner does not respond")))
	for _, blame := range []string{"A target gets no requests for a while", "The link to a target is down"} {
		if lines := p.log.Lines(blame); len(lines) > 0 {
			p.t.Errorf("%d times, no target and no link is at fault: %s", len(lines), lines[0])
		}
	}
	if p.during.share() < leastCrowdShare*p.calm.share() {
		p.t.Errorf("crowd: %d of %d were served at the first try that was read, %d of %d before", p.during.served, p.during.read, p.calm.served, p.calm.read)
	}
	if p.after.share() < leastCrowdShare*p.calm.share() {
		p.t.Errorf("after the crowd: %d of %d were served at the first try that was read, %d of %d before", p.after.served, p.after.read, p.calm.served, p.calm.read)
	}
	for name, quiet := range map[string]*tally{"calm": &p.calm, "after the crowd": &p.after} {
		if quiet.unread > 0 {
			p.t.Errorf("%s: %d connections were closed or refused unread", name, quiet.unread)
		}
	}
}
