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
	// silenceFactor times the route's longest pause is how long a stream that can go
	// on elsewhere may be silent; leastSilence bounds it from below.
	silenceFactor = 3
	leastSilence  = time.Second
	// firstSilenceFactor times the expected time, and leastSilence, is the same before
	// the first event.
	firstSilenceFactor = 3
)

var (
	errSilent  = errors.New("the target is silent")
	errAborted = errors.New("the caller is gone")
)

// stream is the state of one streamed answer over all its attempts.
type stream struct {
	*request
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// failure is the last failure that a target gave itself.
	failure *plainAnswer
}

// serveStream carries a call that is answered by events.
func (c *request) serveStream() {
	s := &stream{request: c, lastEvent: c.call.LastEventID}
	for {
		lease, refused := c.place()
		if refused != nil {
			s.end(refused)
			return
		}
		err := s.attempt(lease)
		if err == nil {
			return
		}
		c.avoid = append(c.avoid, lease.Target.Name)
		if errors.Is(err, errAborted) || !s.resumable() || !c.mayRepeat(err) {
			s.end(c.giveUp(err.Error(), c.comeBack()))
			return
		}
		if c.headWritten {
			c.resumed++
		}
	}
}

// resumable reports that a broken attempt may be followed by another.
func (s *stream) resumable() bool {
	return !s.mayHaveRun || s.route.Resumable
}

// end answers with a refusal, or breaks the answer off if it has begun: its end
// must not look like a whole one.
func (s *stream) end(refused *refusal) {
	if !s.headWritten {
		s.endPlain(s.failure, refused)
		return
	}
	s.status = http.StatusOK
	s.result = "broken off: " + refused.text
	panic(http.ErrAbortHandler)
}

// attempt sends the call to one target and passes its events on. It returns nil if
// the caller has a whole answer, of whatever status.
func (s *stream) attempt(lease *balance.Lease) error {
	began := s.server.Clock.Now()
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	watch := s.watch(cancel, lease)
	defer watch.Stop()
	response, err := s.send(ctx, lease, s.lastEvent)
	if errors.Is(err, shelfshelf.ErrNotRun) {
		lease.Release(balance.Result{Failed: true, Unreachable: !s.over(), Unsent: true})
		s.attemptFailed(lease, began, err)
		return err
	}
	s.sent++
	if err != nil {
		s.mayHaveRun = true
		return s.failed(ctx, lease, began, err, 0)
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		return s.answerStatus(lease, began, response)
	}
	s.mayHaveRun = true
	events, err := s.copyEvents(response, lease, watch)
	if err != nil {
		return s.failed(ctx, lease, began, err, events)
	}
	lease.Release(balance.Result{Events: events})
	s.outlived()
	s.status = http.StatusOK
	s.result = "answered"
	return nil
}

// failed settles an attempt that broke off.
func (s *stream) failed(ctx context.Context, lease *balance.Lease, began time.Time, err error, events int) error {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = errSilent
	}
	gone := s.http.Context().Err() != nil || errors.Is(err, errAborted)
	if gone {
		err = errAborted
	}
	lease.Release(balance.Result{Failed: !gone, Left: gone, Unreachable: errors.Is(err, errSilent), Events: events})
	s.attemptFailed(lease, began, err)
	return err
}

// answerStatus handles an answer that is not a stream.
func (s *stream) answerStatus(lease *balance.Lease, began time.Time, response *upstream.Response) error {
	answer, err := readPlain(response)
	if err == nil && !response.Answer.NotRun {
		s.outlived()
	}
	lease.Release(balance.Result{Failed: true, Gone: response.Answer.OtherTarget, NotRun: response.Answer.NotRun})
	if err == nil && !response.Answer.NotRun && !s.headWritten && response.Status < http.StatusInternalServerError {
		s.mayHaveRun = true
		s.writePlain(answer)
		return nil
	}
	if err != nil || !response.Answer.NotRun {
		s.mayHaveRun = true
	} else {
		s.turnedAway++
	}
	if err == nil {
		err = &statusError{answer: response.Answer}
	}
	if !response.Answer.NotRun {
		s.failure = answer
	}
	s.attemptFailed(lease, began, err)
	return err
}

// watch ends an attempt whose target is silent, where another may take over.
func (s *stream) watch(cancel context.CancelCauseFunc, lease *balance.Lease) *time.Timer {
	limit := s.left()
	if s.route.Resumable && s.attempts()+1 < s.route.MaxAttempts {
		limit = max(firstSilenceFactor*lease.Expected, leastSilence)
	}
	return time.AfterFunc(limit, func() { cancel(errSilent) })
}

// silence is how long a stream may pause once it has begun.
func (s *stream) silence() time.Duration {
	if s.route.Resumable && s.attempts() < s.route.MaxAttempts {
		return max(silenceFactor*s.route.EventGap, leastSilence)
	}
	return s.left()
}

// copyEvents passes whole events on as they come and returns how many there were.
func (s *stream) copyEvents(response *upstream.Response, lease *balance.Lease, watch *time.Timer) (int, error) {
	reader := &eventReader{source: response}
	events := 0
	for {
		next, err := reader.next()
		if err != nil && err != io.EOF {
			return events, err
		}
		watch.Reset(s.silence())
		now := s.server.Clock.Now()
		if events == 0 {
			lease.FirstToken()
		}
		if s.passed > 0 {
			s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
		}
		s.lastAt = now
		if len(next.raw) > 0 || err == io.EOF {
			s.writeHead(response)
			if failed := s.write(next.raw); failed != nil {
				return events, failed
			}
		}
		if err == io.EOF {
			return events, nil
		}
		events++
		s.passed++
		if next.id != "" {
			s.lastEvent = next.id
		}
	}
}

// writeHead hands the first target's head on, once.
func (s *stream) writeHead(response *upstream.Response) {
	if s.headWritten {
		return
	}
	s.headWritten = true
	s.firstByte = s.server.Clock.Now()
	s.copyHeader(response.Header)
	s.writer.WriteHeader(response.Status)
}

// write passes bytes on at once.
func (s *stream) write(raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	if _, err := s.writer.Write(raw); err != nil {
		return errAborted
	}
	if err := http.NewResponseController(s.writer).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errAborted
	}
	return nil
}
