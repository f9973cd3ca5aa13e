package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// idleTimeoutFactor times the route's longest expected gap between events is the idle timeout of a
	// stream that can be resumed at another target. minIdleTimeout is its lower limit: a target may be silent
	// for a second or so and go on, and callers wait for 2 s at least.
	idleTimeoutFactor = 3
	minIdleTimeout    = 1500 * time.Millisecond
	// firstEventTimeoutFactor times the lease's expected time is the timeout before the first event,
	// with minIdleTimeout as its lower limit too.
	firstEventTimeoutFactor = 3
)

var (
	errIdleTimeout = errors.New("the target is silent")
	errCallerGone  = errors.New("the caller is gone")
)

// stream is the state of one streamed response over all its attempts.
type stream struct {
	*request
	// lastEventID is the ID of the last event sent to the caller.
	lastEventID string
	// lastFailure is the last failure response that came from a target itself.
	lastFailure *plainResponse
}

// serveStream serves a request whose response is a stream of events.
func (c *request) serveStream() {
	s := &stream{request: c, lastEventID: c.call.LastEventID}
	if refused := c.findOrigin(); refused != nil {
		s.finishRefused(refused)
		return
	}
	for {
		lease, refused := c.acquireLease()
		if refused != nil {
			s.finishRefused(refused)
			return
		}
		err := s.attempt(lease)
		if err == nil {
			return
		}
		c.avoidTargets = append(c.avoidTargets, lease.Target.Name)
		if errors.Is(err, errCallerGone) || !s.resumable() || !c.claimRetry(err) {
			s.finishRefused(c.refusalFor(err.Error(), c.retryDelay()))
			return
		}
		if c.headerWritten {
			c.resumptions++
		}
	}
}

// resumable reports whether a broken attempt may be followed by another.
func (s *stream) resumable() bool {
	return !s.mayHaveRun || s.route.Resumable
}

// finishRefused sends a refusal, or aborts the connection if the response has begun, so that the
// caller doesn't take it for complete.
func (s *stream) finishRefused(refused *refusal) {
	if !s.headerWritten {
		s.writeFailure(s.lastFailure, refused)
		return
	}
	s.status = http.StatusOK
	s.result = "broken off: " + refused.text
	panic(http.ErrAbortHandler)
}

// attempt sends the request to one target and forwards its events. It returns nil if the caller has a
// complete response of any status.
func (s *stream) attempt(lease *balance.Lease) error {
	began := s.server.Clock.Now()
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	idleTimer := s.startIdleTimer(cancel, lease)
	defer idleTimer.Stop()
	response, err := s.send(ctx, lease, s.lastEventID)
	if errors.Is(err, shelfshelf.ErrNotRun) {
		s.releaseUnsent(lease, err)
		s.recordFailedAttempt(lease, began, err)
		return err
	}
	s.sentAttempts++
	if err != nil {
		s.mayHaveRun = true
		return s.failStreamAttempt(ctx, lease, began, err, 0)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Status != http.StatusOK {
		return s.handlePlainResponse(lease, began, response)
	}
	s.mayHaveRun = true
	events, err := s.forwardEvents(response, lease, idleTimer)
	if err != nil {
		return s.failStreamAttempt(ctx, lease, began, err, events)
	}
	lease.Release(balance.Result{Events: events})
	s.recordAnswered()
	s.status = http.StatusOK
	s.result = "answered"
	return nil
}

// failStreamAttempt releases the lease of an attempt that broke off and returns the cause.
func (s *stream) failStreamAttempt(ctx context.Context, lease *balance.Lease, began time.Time, err error, events int) error {
	if cause := context.Cause(ctx); errors.Is(cause, errIdleTimeout) {
		err = errIdleTimeout
	}
	callerGone := s.incoming.Context().Err() != nil || errors.Is(err, errCallerGone)
	if callerGone {
		err = errCallerGone
	}
	lease.Release(balance.Result{Failed: !callerGone, CallerDisconnected: callerGone, Unreachable: errors.Is(err, errIdleTimeout), Events: events})
	s.recordFailedAttempt(lease, began, err)
	return err
}

// handlePlainResponse handles a response that is not a stream.
func (s *stream) handlePlainResponse(lease *balance.Lease, began time.Time, response *upstream.Response) error {
	plain, err := s.readPlainResponse(response)
	if err == nil && !response.Answer.NotRun {
		s.recordSurvived()
	}
	lease.Release(balance.Result{Failed: true, AddressReused: response.Answer.Misdirected, NotRun: response.Answer.NotRun})
	if err == nil && !response.Answer.NotRun && !s.headerWritten && response.Status < http.StatusInternalServerError {
		s.mayHaveRun = true
		s.writeResponse(plain)
		return nil
	}
	if err != nil || !response.Answer.NotRun {
		s.mayHaveRun = true
	} else {
		s.rejections++
	}
	if err == nil {
		err = &statusError{answer: response.Answer}
	}
	if !response.Answer.NotRun {
		s.lastFailure = plain
	}
	s.recordFailedAttempt(lease, began, err)
	return err
}

// startIdleTimer starts the timer that cancels an attempt when its target sends nothing for too long.
// If no other target can take over, the limit is the time left.
func (s *stream) startIdleTimer(cancel context.CancelCauseFunc, lease *balance.Lease) *time.Timer {
	limit := s.timeLeft()
	if s.route.Resumable && s.possibleRuns()+1 < s.route.MaxAttempts {
		limit = max(firstEventTimeoutFactor*lease.Expected, minIdleTimeout)
	}
	return time.AfterFunc(limit, func() { cancel(errIdleTimeout) })
}

// idleTimeout returns the longest gap between events that is accepted after the first event.
func (s *stream) idleTimeout() time.Duration {
	if s.route.Resumable && s.possibleRuns() < s.route.MaxAttempts {
		return max(idleTimeoutFactor*s.route.MaxEventGap, minIdleTimeout)
	}
	return s.timeLeft()
}

// forwardEvents forwards complete events as they arrive and returns their number.
func (s *stream) forwardEvents(response *upstream.Response, lease *balance.Lease, idleTimer *time.Timer) (int, error) {
	reader := &eventReader{source: response.Body, reserve: s.reserveResponse, release: s.releaseResponse}
	defer reader.close()
	events := 0
	var firstAt time.Time
	for {
		next, err := reader.next()
		if err != nil && err != io.EOF {
			return events, err
		}
		idleTimer.Reset(s.idleTimeout())
		now := s.server.Clock.Now()
		if events == 0 {
			lease.FirstToken()
			firstAt = now
			s.bindVersion(lease.Target.Version)
		}
		if s.eventsSent == 0 && len(next.raw) > 0 {
			s.recordOrigin()
		}
		s.recordProgress(now.Sub(firstAt))
		if s.eventsSent > 0 {
			s.longestEventGap = max(s.longestEventGap, now.Sub(s.lastEventAt))
		}
		s.lastEventAt = now
		if len(next.raw) > 0 || err == io.EOF {
			s.writeHeader(response)
			if writeErr := s.writeAndFlush(next.raw); writeErr != nil {
				return events, writeErr
			}
		}
		if err == io.EOF {
			return events, nil
		}
		events++
		s.eventsSent++
		if next.id != "" {
			s.lastEventID = next.id
		}
	}
}

// bindVersion has the stream go on only at the version of its first event.
func (s *stream) bindVersion(version shelfshelf.TargetVersion) {
	if s.streamVersion == nil {
		s.streamVersion = &version
	}
}

// writeHeader sends the header of the first response to the caller, once.
func (s *stream) writeHeader(response *upstream.Response) {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.firstByte = s.server.Clock.Now()
	s.copyHeader(response.Header)
	s.writer.WriteHeader(response.Status)
}

// writeAndFlush sends bytes to the caller immediately.
func (s *stream) writeAndFlush(raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	if _, err := s.writer.Write(raw); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(s.writer).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errCallerGone
	}
	return nil
}
