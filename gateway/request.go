package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/quota"
)

const (
	// queueTimeShare is the fraction of the latency goal that a request may wait in the queue for a slot.
	// After that it is refused early enough for the caller to retry in time.
	queueTimeShare = 0.22
	// defaultLatencyGoal applies to routes without a goal.
	defaultLatencyGoal = time.Second
	// unavailableRetryAfter is the Retry-After sent when no target could be reached.
	unavailableRetryAfter = 150 * time.Millisecond
	// maxUnsentAttempts is the number of unreachable targets at which the request fails.
	maxUnsentAttempts = 8
	// maxRejections is the number of rejections (responses saying that the target did not run the
	// request) at which the request fails. Limits are known with a delay, so a target that is full by
	// now may have been chosen while others have free slots. Each such retry counts against the retry
	// budget.
	maxRejections = 3
	// maxLeaseTries is the maximum number of leases acquired for one attempt. Another one is needed if
	// a new configuration has excluded the lease's region while the request waited.
	maxLeaseTries = 3
	// minTimeLeft is the minimum time left for which sending a request is worthwhile.
	minTimeLeft = 20 * time.Millisecond
)

// request is the state of one caller's request.
type request struct {
	server   *Server
	writer   http.ResponseWriter
	incoming *http.Request
	ctx      context.Context
	arrived  time.Time
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time

	index            *catalog.Index
	configurationAge time.Duration
	call             shelfshelf.Call
	route            *shelfshelf.Route
	customer         *shelfshelf.Customer
	pool             shelfshelf.PoolName
	body             []byte
	// bufferedBytes is the buffer space reserved for the request.
	bufferedBytes int64
	// fingerprint is the same for all retries of this request by the caller; 0 until the body is read.
	fingerprint shelfshelf.Fingerprint
	// parts are the fingerprints of the parts of its prompt that it may share with other requests.
	parts []shelfshelf.Fingerprint
	// progressRecorded is set once a stream of the request has shown that the parts crash no target.
	progressRecorded bool
	tokens           int
	quotaVerdict     quota.Verdict
	// charge is the entry counted against the customer's quota, and chargedAt when the request was last
	// sent, from which the charge counts.
	charge    quota.Charge
	chargedAt time.Time
	// unsentAttempts counts attempts that did not reach a target.
	unsentAttempts int

	// sentAttempts counts the targets that the request was sent to. rejections counts those of them
	// that responded that they did not run it. mayHaveRun says that at least one of them may have run
	// it.
	sentAttempts  int
	rejections    int
	mayHaveRun    bool
	avoidTargets  []shelfshelf.TargetName
	target        shelfshelf.TargetName
	targetVersion shelfshelf.TargetVersion
	queueTime     time.Duration
	// held is the part of queueTime that the latest search for a target took.
	held           time.Duration
	expectedTime   time.Duration
	targetInFlight int
	// via is the instance that the latest response came through; empty if it came directly.
	via string
	// lastAnswer is the information in the headers of the latest target response.
	lastAnswer   shelfshelf.ResponseMetadata
	cachedTokens int
	// streamVersion is the version that began the stream, from its first event on; nil before that.
	streamVersion *shelfshelf.TargetVersion
	// originRecorded says that a record shows where the stream that the caller takes up began.
	originRecorded bool
	// slotRequests is how many owners were sent a slot request for the latest lease. chosenLocally says
	// that no owner granted it and this instance chose the target by what it knew. unaskedWithRoom is how many
	// targets had room that were not asked, for a request that got no slot.
	slotRequests    int
	chosenLocally   bool
	unaskedWithRoom int
	// admission is the latest decision to hold or refuse the request by a forecast.
	admission balance.Admission
	// refusedAfter is the Retry-After of a request that got no slot.
	refusedAfter time.Duration

	status    int
	result    string
	firstByte time.Time
	// eventsSent counts the events sent to the caller.
	eventsSent int
	// lastEventAt is when the last event arrived. longestEventGap is the longest time between two
	// events.
	lastEventAt     time.Time
	longestEventGap time.Duration
	resumptions     int
	headerWritten   bool
}

// refusal is an error response of the gateway itself.
type refusal struct {
	status     int
	text       string
	retryAfter time.Duration
}

// problemDetails is the body of a refusal, in the format of RFC 9457.
type problemDetails struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
}

func retryableRefusal(status int, text string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, text: text, retryAfter: max(retryAfter, 50*time.Millisecond)}
}

func finalRefusal(status int, text string) *refusal {
	return &refusal{status: status, text: text}
}

// refuse sends a refusal to the caller.
func (c *request) refuse(r *refusal) {
	c.status = r.status
	c.result = r.text
	header := c.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(problemDetails{Title: r.text, Status: r.status})
	if err != nil {
		c.server.Log.Error("Could not encode a refusal.", "request", c.call.ID, "error", err)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(r.status)
	if _, err := c.writer.Write(body); err != nil {
		c.result = r.text + "; the caller is gone"
	}
}

// finish refunds the quota if the request did not run, updates the metrics and logs the result.
func (c *request) finish() {
	if !c.mayHaveRun && c.status != http.StatusOK {
		c.server.Quota.Refund(c.charge)
	}
	c.server.Metrics.observe(c)
	c.server.Log.Info("A request has ended.", c.logFields()...)
}

// latencyGoal returns the response time within which a response has its full value.
func (c *request) latencyGoal() time.Duration {
	if c.route.LatencyGoal > 0 {
		return c.route.LatencyGoal
	}
	return defaultLatencyGoal
}

// balancerNeed describes the request to the balancer.
func (c *request) balancerNeed() balance.Need {
	output := c.call.OutputHint
	if output == 0 {
		output = c.call.MaxOutputTokens
	}
	maxQueueTime := time.Duration(queueTimeShare * float64(c.latencyGoal()))
	need := balance.Need{
		ID:              c.call.ID,
		Pool:            c.pool,
		Tier:            c.route.Tier,
		Arrived:         c.arrived,
		WaitUntil:       c.arrived.Add(maxQueueTime),
		Deadline:        c.deadline,
		LatencyGoal:     c.latencyGoal(),
		Prompt:          c.call.Prompt,
		PromptTokens:    c.call.PromptTokens,
		OutputTokens:    output,
		ExcludedTargets: c.avoidTargets,
		Route:           c.route.Name,
		Fingerprint:     c.fingerprint,
		StreamVersion:   c.streamVersion,
	}
	if c.customer != nil {
		need.Rank = c.customer.Rank
		need.Customer = shelfshelf.KeyOfCustomer(c.customer.Name)
		need.Weight = c.customer.Limits.TokensPerSecond
	}
	if allowed := c.allowedRegions(); allowed.Restricted {
		need.AllowedRegions = &allowed
	}
	now := c.server.Clock.Now()
	switch {
	case c.possibleRuns() > 0 || c.originRecorded:
		// A target has worked on it, and only some may go on with it.
		need.Started = true
		need.WaitUntil = now.Add(min(c.latencyGoal(), c.timeLeft()/2))
	case c.unsentAttempts+c.rejections > 0:
		// The time spent on failed attempts that did not run doesn't count as waiting time.
		need.WaitUntil = now.Add(maxQueueTime)
	}
	return need
}

// waitForLease waits until the balancer grants a lease of a slot at a target.
func (c *request) waitForLease() (*balance.Lease, *refusal) {
	began := c.server.Clock.Now()
	lease, err := c.server.Balancer.Acquire(c.ctx, c.balancerNeed())
	c.held = c.server.Clock.Now().Sub(began)
	c.queueTime += c.held
	if err == nil {
		c.target = lease.Target.Name
		c.targetVersion = lease.Target.Version
		c.expectedTime = lease.Expected
		c.targetInFlight = lease.InFlight
		c.cachedTokens = lease.CachedTokens
		c.slotRequests = lease.OwnersAsked
		c.chosenLocally = lease.WithoutOwner
		c.recordAdmission(lease.Admission, true)
		return lease, nil
	}
	var refused *balance.Refusal
	if errors.As(err, &refused) {
		c.slotRequests = refused.SlotRequests
		c.unaskedWithRoom = refused.UnaskedWithRoom
		c.server.Metrics.countUnplaced(refused.UnaskedWithRoom > 0)
		c.recordAdmission(refused.Admission, false)
		c.refusedAfter = refused.RetryAfter
		return nil, c.refusalFor(refused.Error(), refused.RetryAfter)
	}
	return nil, c.refusalFor("the time is over before a target was free", unavailableRetryAfter)
}

// acquireLease waits for a lease and checks that the request may still be sent to its target.
func (c *request) acquireLease() (*balance.Lease, *refusal) {
	for range maxLeaseTries {
		if refused := c.checkQuarantine(); refused != nil {
			return nil, refused
		}
		lease, refused := c.waitForLease()
		if refused != nil {
			return nil, refused
		}
		if refused := c.checkBeforeSend(); refused != nil {
			lease.Cancel()
			return nil, refused
		}
		if c.allowedRegions().Allows(lease.Region) {
			return lease, nil
		}
		lease.Cancel()
	}
	return nil, c.refusalFor("the regions allowed have changed", unavailableRetryAfter)
}

// retryDelay returns the Retry-After for a request that has failed at its targets, which includes the
// backoff of the targets.
func (c *request) retryDelay() time.Duration {
	return max(unavailableRetryAfter, c.server.Balancer.RequestedBackoffLeft(c.balancerNeed()))
}

// refusalFor returns the refusal of a request that no target has answered. It says that the request
// may be retried only if it has certainly not run.
func (c *request) refusalFor(text string, retryAfter time.Duration) *refusal {
	if !c.mayHaveRun {
		return retryableRefusal(http.StatusServiceUnavailable, text, retryAfter)
	}
	if c.expired() {
		return finalRefusal(http.StatusGatewayTimeout, text)
	}
	return finalRefusal(http.StatusBadGateway, text)
}

// expired reports whether the request has no time left or its caller has disconnected. The context
// alone is not enough: the timers of an attempt and of the request can fire at the same instant in
// either order.
func (c *request) expired() bool {
	return c.ctx.Err() != nil || c.timeLeft() <= 0
}

// timeLeft returns the time until the deadline.
func (c *request) timeLeft() time.Duration {
	return c.deadline.Sub(c.server.Clock.Now())
}

// checkBeforeSend checks, right before a request is sent, that its key is still valid, that it was not
// quarantined while it waited, and that enough time is left.
func (c *request) checkBeforeSend() *refusal {
	if refused := c.checkQuarantine(); refused != nil {
		return refused
	}
	if !c.route.Public && !c.keysTrusted() {
		return c.refusalFor("keys can't be checked: the configuration is too old", staleKeysRetryAfter)
	}
	if c.timeLeft() < minTimeLeft {
		return c.refusalFor("the time is over", unavailableRetryAfter)
	}
	return nil
}

func hashString(text string) uint64 {
	return xxhash.Sum64String(text)
}
