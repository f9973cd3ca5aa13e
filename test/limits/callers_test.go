package limits

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// step is the time between two moments at which requests come.
	step = 10 * time.Millisecond
	// maxRequest is the largest request, in tokens.
	maxRequest = 40000
	// patience is how long a caller waits for an instance that takes its request, or for its
	// time to come again after a refusal.
	patience = 4 * time.Second
	// excess is by which part the users let a window exceed a limit.
	excess = 0.1
)

// callers are a customer's callers at all instances.
type callers struct {
	fleet    *fleet
	customer *shelfshelf.Customer
	mean     float64
	// demand is the tokens a second that they ask for, in parts of the limit's rate.
	demand  float64
	waiting []waitingRequest
	// ran is the tokens that ran, by step.
	ran []float64
	// lowestRefusal is the lowest usage at which a request was refused, as a part of the limit, with the
	// refused request counted. early counts the refusals below 0.95, refusals all of them, and asked the
	// requests that an instance decided on.
	lowestRefusal float64
	early         int
	refusals      int
	asked         int
}

// waitingRequest is a request that is due at a time; first is when its caller first sent it.
type waitingRequest struct {
	tokens int
	first  time.Time
	due    time.Time
}

func newCallers(f *fleet, rate, mean float64) *callers {
	return &callers{
		fleet: f, mean: mean, lowestRefusal: 1,
		customer: &shelfshelf.Customer{Name: "c", Limits: shelfshelf.Limits{TokensPerSecond: rate, TokenBurst: rate, DefaultRequestTokens: 200}},
	}
}

func (c *callers) allowed() float64 {
	return allowedBy(c.customer.Limits.TokensPerSecond)
}

// allowedBy returns what a window may hold under a limit of so many tokens a second, with a burst of one
// second's worth.
func allowedBy(rate float64) float64 { return rate * (window.Seconds() + 1) }

// wait adds requests of callers that have waited for an instance; part is their total, as a part of the limit.
func (c *callers) wait(part float64) {
	now := c.fleet.clock.Now()
	for left := part * c.allowed(); left > 0; {
		r := waitingRequest{tokens: c.draw(), first: now, due: now}
		c.waiting = append(c.waiting, r)
		left -= float64(r.tokens)
	}
}

// draw draws the size of a request, in tokens.
func (c *callers) draw() int { return 1 + int(min(c.mean*c.fleet.random.ExpFloat64(), maxRequest)) }

// run lets requests come for a time.
func (c *callers) run(span time.Duration) {
	for range span / step {
		now := c.fleet.clock.Now()
		c.ran = append(c.ran, 0)
		for left := c.demand * c.customer.Limits.TokensPerSecond * step.Seconds() / c.mean; left > 0; left-- {
			if c.fleet.random.Float64() < min(left, 1) {
				c.waiting = append(c.waiting, waitingRequest{tokens: c.draw(), first: now, due: now})
			}
		}
		c.askDue(now)
		time.Sleep(step)
	}
}

// askDue sends all requests that are due.
func (c *callers) askDue(now time.Time) {
	waiting := c.waiting
	c.waiting = nil
	for _, r := range waiting {
		switch {
		case r.due.After(now):
			c.waiting = append(c.waiting, r)
		case now.Sub(r.first) < patience:
			c.ask(r, now)
		}
	}
}

// ask sends a request to an instance drawn among those that take connections. What comes to one that
// stands still waits for it, and what finds none waits for one.
func (c *callers) ask(r waitingRequest, now time.Time) {
	var ready []*instance
	for _, i := range c.fleet.instances {
		if i.ready() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		r.due = now.Add(step)
		c.waiting = append(c.waiting, r)
		return
	}
	i := ready[c.fleet.random.IntN(len(ready))]
	if i.stall.active() {
		c.queue(i, r)
		return
	}
	c.charge(i, r, now)
}

func (c *callers) charge(i *instance, r waitingRequest, now time.Time) {
	used := c.used()
	v := i.ledger.Charge(c.customer, r.tokens)
	c.asked++
	if v.OK {
		c.ran[len(c.ran)-1] += float64(r.tokens)
		return
	}
	c.refusals++
	part := (used + float64(r.tokens)) / c.allowed()
	c.lowestRefusal = min(c.lowestRefusal, part)
	if part < 0.95 {
		c.early++
	}
	r.due = now.Add(v.Wait)
	c.waiting = append(c.waiting, r)
}

// forgetRefusals starts counting refusals anew.
func (c *callers) forgetRefusals() {
	c.refusals, c.early, c.asked, c.lowestRefusal = 0, 0, 0, 1
}

// queue holds a request until the instance goes on.
func (c *callers) queue(i *instance, r waitingRequest) {
	i.queued = append(i.queued, r)
}

// endStall lets an instance go on that stood still, and asks it for the requests that waited for it.
func (c *callers) endStall(i *instance) {
	now := c.fleet.clock.Now()
	queued := i.queued
	i.queued = nil
	c.ran = append(c.ran, 0)
	for _, r := range queued {
		if now.Sub(r.first) < patience {
			c.charge(i, r, now)
		}
	}
	i.stall.end()
	time.Sleep(step)
}

// used returns the tokens that ran in the window that ends now.
func (c *callers) used() float64 {
	sum := 0.0
	for _, tokens := range c.ran[max(len(c.ran)-int(window/step), 0):] {
		sum += tokens
	}
	return sum
}

// worst returns the most tokens that ran in a window, as a part of the limit.
func (c *callers) worst() float64 {
	worst, sum := 0.0, 0.0
	for i, tokens := range c.ran {
		sum += tokens
		if j := i - int(window/step); j >= 0 {
			sum -= c.ran[j]
		}
		worst = math.Max(worst, sum)
	}
	return worst / c.allowed()
}
