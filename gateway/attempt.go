package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// send sends the request to a target once.
func (c *request) send(ctx context.Context, lease *balance.Lease, lastEventID string) (*upstream.Response, error) {
	attempt := shelfshelf.Attempt{
		Target:      lease.Target,
		LastEventID: lastEventID,
	}
	if c.customer != nil {
		attempt.Customer = c.customer.Name
	}
	response, err := c.server.Upstream.Send(ctx, lease.Target.Address, upstream.Request{
		ID:            c.call.ID,
		Target:        lease.Target,
		Method:        c.incoming.Method,
		RequestURI:    c.incoming.RequestURI,
		Host:          c.incoming.Host,
		Body:          c.body,
		NewConnection: c.sentAttempts > 0,
		Prepare:       func(request *upstream.Request) error { return c.prepareAttempt(request, attempt) },
	})
	if err == nil {
		c.lastAnswer = response.Answer
		c.via = response.Via
	}
	return response, err
}

// prepareAttempt checks a request again once there is a connection to its target, which may have taken a
// while, and charges it from now on.
func (c *request) prepareAttempt(request *upstream.Request, attempt shelfshelf.Attempt) error {
	if refused := c.checkBeforeSend(); refused != nil {
		return errors.New(refused.text)
	}
	attempt.Timeout = c.timeLeft()
	request.Header = c.server.Codec.AttemptHeader(c.incoming.Header, attempt)
	c.charge = c.server.Quota.Recharge(c.charge)
	c.chargedAt = c.server.Clock.Now()
	return nil
}

// releaseUnsent releases the lease of an attempt that did not reach its target. A failure of this instance's
// own link says nothing of the target, nor does a check that failed.
func (c *request) releaseUnsent(lease *balance.Lease, err error) {
	if errors.Is(err, shelfshelf.ErrOwnLink) || errors.Is(err, upstream.ErrNotPrepared) {
		lease.Cancel()
		return
	}
	lease.Release(balance.Result{Failed: true, Unreachable: !c.expired(), Unsent: true})
}

// claimRetry reports whether the request may be sent to another target after a failure, and counts the
// retry if so. If the failed attempt reached its target, the retry counts against the retry budget;
// otherwise only maxUnsentAttempts limits it.
func (c *request) claimRetry(failure error) bool {
	if c.expired() {
		return false
	}
	if errors.Is(failure, shelfshelf.ErrNotRun) {
		c.unsentAttempts++
		return c.unsentAttempts < maxUnsentAttempts
	}
	var status *statusError
	if errors.As(failure, &status) && status.answer.NotRun {
		return c.rejections < maxRejections && c.server.Retries.TakeRetry(c.pool)
	}
	return c.possibleRuns() < c.route.MaxAttempts && c.server.Retries.TakeRetry(c.pool)
}

// possibleRuns returns the number of targets that may have run the request.
func (c *request) possibleRuns() int {
	return c.sentAttempts - c.rejections
}

// recordFailedAttempt counts and logs a failed attempt, and has the detector check for a crash of its
// target if the attempt broke off.
func (c *request) recordFailedAttempt(lease *balance.Lease, began time.Time, cause error) {
	c.server.Metrics.countFailedAttempt()
	fields := []any{
		"request", c.call.ID, "fingerprint", c.fingerprint, "parts", c.parts, "target", lease.Target.Name,
		"version", lease.Target.Version, "address", lease.Target.Address, "after", c.server.Clock.Now().Sub(began), "sent", c.sentAttempts,
		"mayHaveRun", c.mayHaveRun, "passed", c.eventsSent, "asked", lease.OwnersAsked, "alone", lease.WithoutOwner, "error", cause,
	}
	var status *statusError
	if errors.As(cause, &status) {
		fields = append(fields, "targetLeaves", status.answer.Leaving, "targetRest", status.answer.RetryAfter)
	}
	c.server.Log.Warn("An attempt has failed.", fields...)
	c.reportExceeded(lease, cause)
	c.checkForCrash(lease, cause)
}

// statusError is a target's response that counts as a failed attempt.
type statusError struct {
	answer shelfshelf.ResponseMetadata
}

func (e *statusError) Error() string {
	if e.answer.NotRun {
		return fmt.Sprintf("the target refused with %d", e.answer.Status)
	}
	return fmt.Sprintf("the target failed with %d", e.answer.Status)
}
