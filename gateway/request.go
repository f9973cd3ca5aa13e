package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/quota"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// waitShare is the part of the goal that a request may wait in line; after that
	// it is refused early enough for the caller to come back in time.
	waitShare = 0.22
	// defaultGoal stands in for a route without one.
	defaultGoal = time.Second
	// brokenRetryAfter is what a caller is told when no target could be reached.
	brokenRetryAfter = 150 * time.Millisecond
	// maxUnsent is how many targets may be found unreachable before a request is
	// given up.
	maxUnsent = 8
	// maxTurnedAway is the same for targets that say that they did not run it: with limits
	// known late, one that is full by now may have been chosen, while others have places.
	// Each such try counts in the budget of repeats.
	maxTurnedAway = 3
	// placeTries bounds how often a place is looked for again because a new configuration has
	// narrowed the regions that the request is bound to while it waited.
	placeTries = 3
	// leastLeft is the least time that is worth sending a request with.
	leastLeft = 20 * time.Millisecond
)

// request is one caller's request on its way.
type request struct {
	server  *Server
	writer  http.ResponseWriter
	http    *http.Request
	ctx     context.Context
	arrived time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time

	index            *catalog.Index
	configurationAge time.Duration
	call             shelfshelf.Call
	route            *shelfshelf.Route
	customer         *shelfshelf.Customer
	pool             shelfshelf.PoolName
	body             []byte
	// held is how many bytes are held for the request.
	held int64
	// fingerprint is the same for all tries of this request; 0 until its body is read.
	fingerprint shelfshelf.Fingerprint
	tokens      int
	quota       quota.Verdict
	// charge is what counts against the customer's limit.
	charge quota.Entry
	// unsent counts attempts that did not reach a target.
	unsent int

	// sent counts the targets that the request was sent to, turnedAway those of them that
	// said that they did not run it, and mayHaveRun says that one of them may have.
	sent       int
	turnedAway int
	mayHaveRun bool
	avoid      []shelfshelf.TargetName
	target     shelfshelf.TargetName
	waited     time.Duration
	expected   time.Duration
	inFlight   int
	// load is what the target said of itself with its answer.
	load   shelfshelf.Answer
	cached int
	// asked and alone tell who gave the latest place.
	asked int
	alone bool

	status    int
	result    string
	firstByte time.Time
	// passed counts the events that the caller got.
	passed int
	// lastAt is when the last event came, longestPause the longest time between two.
	lastAt       time.Time
	longestPause time.Duration
	resumed      int
	headWritten  bool
}

// refusal is an answer of this system's own.
type refusal struct {
	status     int
	text       string
	retryAfter time.Duration
}

// wireProblem is the body of a refusal, as problem details of RFC 9457.
type wireProblem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
}

func notRun(status int, text string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, text: text, retryAfter: max(retryAfter, 50*time.Millisecond)}
}

func final(status int, text string) *refusal {
	return &refusal{status: status, text: text}
}

// refuse writes an answer of this system's own.
func (c *request) refuse(r *refusal) {
	c.status = r.status
	c.result = r.text
	header := c.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(wireProblem{Title: r.text, Status: r.status})
	if err != nil {
		c.server.Log.Error("A refusal can't be encoded.", "request", c.call.ID, "error", err)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(r.status)
	if _, err := c.writer.Write(body); err != nil {
		c.result = r.text + "; the caller is gone"
	}
}

// finish settles the limit and logs what became of the request.
func (c *request) finish() {
	if !c.mayHaveRun && c.status != http.StatusOK {
		c.server.Quota.Refund(c.charge)
	}
	c.server.Metrics.observe(c)
	fields := []any{
		"request", c.call.ID, "status", c.status, "result", c.result, "took", c.server.Clock.Now().Sub(c.arrived),
	}
	if c.index != nil {
		fields = append(fields, "revision", c.index.Revision, "configAge", c.configurationAge)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name)
		if homes := c.homes(); homes.Bound {
			fields = append(fields, "homes", homes.Regions)
		}
	}
	if c.fingerprint != 0 {
		fields = append(fields, "fingerprint", c.fingerprint)
	}
	if c.customer != nil {
		fields = append(fields, "customer", c.customer.Name, "tokens", c.tokens, "prompt", c.call.PromptTokens,
			"outputHint", c.call.OutputHint)
	}
	if c.status == http.StatusTooManyRequests {
		fields = append(fields, "allowed", c.quota.Allowed, "used", c.quota.Used, "share", c.quota.Share,
			"othersSoon", c.quota.Expected, "resting", c.quota.Resting, "retryAfter", c.quota.Wait)
	}
	if c.target != "" {
		fields = append(fields, "target", c.target, "sent", c.sent, "turnedAway", c.turnedAway, "waited", c.waited,
			"expected", c.expected, "inFlight", c.inFlight, "cached", c.cached, "asked", c.asked, "alone", c.alone)
	}
	if c.load.LoadKnown {
		fields = append(fields, "targetRunning", c.load.Running, "targetWaiting", c.load.Waiting)
	}
	if c.load.Pace > 0 {
		fields = append(fields, "targetPace", c.load.Pace)
	}
	if c.load.Limit.Named {
		fields = append(fields, "targetLimit", c.load.Limit.PerSecond)
	}
	if c.load.Leaving {
		fields = append(fields, "targetLeaves", true)
	}
	if !c.firstByte.IsZero() {
		fields = append(fields, "first", c.firstByte.Sub(c.arrived))
	}
	if c.passed > 0 {
		fields = append(fields, "events", c.passed, "resumed", c.resumed, "longestPause", c.longestPause)
	}
	c.server.Log.Info("A request has ended.", fields...)
}

// goal is the time within which the answer is worth most.
func (c *request) goal() time.Duration {
	if c.route.Goal > 0 {
		return c.route.Goal
	}
	return defaultGoal
}

// need describes the request to the balancer.
func (c *request) need() balance.Need {
	output := c.call.OutputHint
	if output == 0 {
		output = c.call.MaxOutputTokens
	}
	wait := time.Duration(waitShare * float64(c.goal()))
	need := balance.Need{
		ID:           c.call.ID,
		Pool:         c.pool,
		Tier:         c.route.Tier,
		Arrived:      c.arrived,
		WaitUntil:    c.arrived.Add(wait),
		Deadline:     c.deadline,
		Goal:         c.goal(),
		Prompt:       c.call.Prompt,
		PromptTokens: c.call.PromptTokens,
		OutputTokens: output,
		Avoid:        c.avoid,
		Route:        c.route.Name,
	}
	if c.customer != nil {
		need.Rank = c.customer.Rank
	}
	if homes := c.homes(); homes.Bound {
		need.Homes = &homes
	}
	now := c.server.Clock.Now()
	switch {
	case c.attempts() > 0:
		need.Begun = true
		need.WaitUntil = now.Add(min(c.goal(), c.left()/2))
	case c.unsent+c.turnedAway > 0:
		// The time that such a target took is not the line's.
		need.WaitUntil = now.Add(wait)
	}
	return need
}

// acquire waits for a place at a target.
func (c *request) acquire() (*balance.Lease, *refusal) {
	began := c.server.Clock.Now()
	lease, err := c.server.Balancer.Acquire(c.ctx, c.need())
	c.waited += c.server.Clock.Now().Sub(began)
	if err == nil {
		c.target = lease.Target.Name
		c.expected = lease.Expected
		c.inFlight = lease.InFlight
		c.cached = lease.CachedTokens
		c.asked = lease.Asked
		c.alone = lease.Alone
		return lease, nil
	}
	var refused *balance.Refusal
	if errors.As(err, &refused) {
		return nil, c.giveUp(refused.Error(), refused.RetryAfter)
	}
	return nil, c.giveUp("the time is over before a target was free", brokenRetryAfter)
}

// place waits for a place at a target and checks that the request may still go there.
func (c *request) place() (*balance.Lease, *refusal) {
	for range placeTries {
		if refused := c.heldBack(); refused != nil {
			return nil, refused
		}
		lease, refused := c.acquire()
		if refused != nil {
			return nil, refused
		}
		if refused := c.maySend(); refused != nil {
			lease.Cancel()
			return nil, refused
		}
		if c.homes().Allows(lease.Region) {
			return lease, nil
		}
		lease.Cancel()
	}
	return nil, c.giveUp("the regions allowed have changed", brokenRetryAfter)
}

// comeBack is when the caller of a request that its targets have failed may come back.
func (c *request) comeBack() time.Duration {
	return max(brokenRetryAfter, c.server.Balancer.RestLeft(c.need()))
}

// giveUp is the answer to a request that no target has answered: the promise that
// it has not run is only made where it is true.
func (c *request) giveUp(text string, retryAfter time.Duration) *refusal {
	if !c.mayHaveRun {
		return notRun(http.StatusServiceUnavailable, text, retryAfter)
	}
	if c.over() {
		return final(http.StatusGatewayTimeout, text)
	}
	return final(http.StatusBadGateway, text)
}

// over reports that the request has no time left or its caller has gone. An
// attempt's timer and the request's own fire at the same instant in either order, so
// the context alone doesn't tell.
func (c *request) over() bool {
	return c.ctx.Err() != nil || c.left() <= 0
}

// left is the time that a target may take.
func (c *request) left() time.Duration {
	return c.deadline.Sub(c.server.Clock.Now())
}

// maySend checks, right before a request goes out, that its key still holds, that no
// further target has ended under it while it waited, and that time is left.
func (c *request) maySend() *refusal {
	if refused := c.heldBack(); refused != nil {
		return refused
	}
	if !c.route.Public && !c.keysKnown() {
		return c.giveUp("keys can't be checked: the configuration is too old", leaseRetryAfter)
	}
	if c.left() < leastLeft {
		return c.giveUp("the time is over", brokenRetryAfter)
	}
	return nil
}

// send sends the request to a target once.
func (c *request) send(ctx context.Context, lease *balance.Lease, lastEvent string) (*upstream.Response, error) {
	attempt := shelfshelf.Attempt{
		Target:      lease.Target,
		Left:        c.left(),
		LastEventID: lastEvent,
	}
	if c.customer != nil {
		attempt.Customer = c.customer.Name
	}
	if c.sent == 0 {
		c.charge = c.server.Quota.Move(c.charge)
	}
	response, err := c.server.Upstream.Send(ctx, lease.Target.Address, upstream.Request{
		ID:     c.call.ID,
		To:     lease.Target,
		Method: c.http.Method,
		Target: c.http.RequestURI,
		Host:   c.http.Host,
		Header: c.server.Codec.AttemptHeader(c.http.Header, attempt),
		Body:   c.body,
		Fresh:  c.sent > 0,
	})
	if err == nil {
		c.load = response.Answer
	}
	return response, err
}

// mayRepeat reports that the request may go to one more target after a failure.
// What reached a target counts in the budget of repeats; what didn't is bounded on
// its own.
func (c *request) mayRepeat(failure error) bool {
	if c.over() {
		return false
	}
	if errors.Is(failure, shelfshelf.ErrNotRun) {
		c.unsent++
		return c.unsent < maxUnsent
	}
	var status *statusError
	if errors.As(failure, &status) && status.answer.NotRun {
		return c.turnedAway < maxTurnedAway && c.server.Retries.Take(c.pool)
	}
	return c.attempts() < c.route.MaxAttempts && c.server.Retries.Take(c.pool)
}

// attempts counts the targets that may have run the request.
func (c *request) attempts() int {
	return c.sent - c.turnedAway
}

// attemptFailed logs why an attempt failed, and has it looked into whether its target ended.
func (c *request) attemptFailed(lease *balance.Lease, began time.Time, cause error) {
	c.server.Metrics.attemptFailed()
	fields := []any{
		"request", c.call.ID, "fingerprint", c.fingerprint, "target", lease.Target.Name,
		"address", lease.Target.Address, "after", c.server.Clock.Now().Sub(began), "sent", c.sent,
		"mayHaveRun", c.mayHaveRun, "passed", c.passed, "asked", lease.Asked, "alone", lease.Alone, "error", cause,
	}
	var status *statusError
	if errors.As(cause, &status) {
		fields = append(fields, "targetLeaves", status.answer.Leaving, "targetRest", status.answer.Rest)
	}
	c.server.Log.Warn("An attempt has failed.", fields...)
	c.broken(lease, cause)
}

func hashOf(text string) uint64 {
	return xxhash.Sum64String(text)
}

// statusError is a target's answer that counts as a failed attempt.
type statusError struct {
	answer shelfshelf.Answer
}

// Error names the status.
func (e *statusError) Error() string {
	if e.answer.NotRun {
		return fmt.Sprintf("the target refused with %d", e.answer.Status)
	}
	return fmt.Sprintf("the target failed with %d", e.answer.Status)
}
