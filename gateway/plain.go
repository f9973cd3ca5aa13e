package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// maxResponseBytes is the maximum size of a plain response.
	maxResponseBytes = 8 << 20
	// attemptTimeoutFactor times the lease's expected time is the timeout of one attempt of a retryable
	// request, within the two limits below.
	attemptTimeoutFactor = 8
	// minAttemptTimeout is the lower limit of that timeout. maxAttemptTimeoutShare is the upper limit,
	// as a fraction of the time left.
	minAttemptTimeout      = 120 * time.Millisecond
	maxAttemptTimeoutShare = 0.5
)

// plainResponse is a target's complete response.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}

// servePlain serves a request whose response is read completely before it is sent to the caller.
func (c *request) servePlain() {
	var lastFailure *plainResponse
	for {
		lease, refused := c.acquireLease()
		if refused != nil {
			c.writeFailure(lastFailure, refused)
			return
		}
		plain, err := c.attemptPlain(lease)
		if err == nil {
			c.writeResponse(plain)
			return
		}
		if plain != nil {
			lastFailure = plain
		}
		c.avoidTargets = append(c.avoidTargets, lease.Target.Name)
		if !c.retryable() || !c.claimRetry(err) {
			c.writeFailure(lastFailure, c.refusalFor(err.Error(), c.retryDelay()))
			return
		}
	}
}

// writeFailure sends the caller the last failure response that came from a target, or else a refusal.
func (c *request) writeFailure(lastFailure *plainResponse, refused *refusal) {
	if lastFailure != nil {
		c.writeResponse(lastFailure)
		return
	}
	c.refuse(refused)
}

// retryable reports whether a failed request may be sent again.
func (c *request) retryable() bool {
	return !c.mayHaveRun || c.route.Repeatable
}

// attemptPlain sends the request to one target. If it returns an error, the response is the failure
// that the target itself sent, if any.
func (c *request) attemptPlain(lease *balance.Lease) (*plainResponse, error) {
	began := c.server.Clock.Now()
	ctx, cancel := context.WithTimeout(c.ctx, c.attemptTimeout(lease))
	defer cancel()
	response, err := c.send(ctx, lease, "")
	if errors.Is(err, shelfshelf.ErrNotRun) {
		c.releaseUnsent(lease, err)
		c.recordFailedAttempt(lease, began, err)
		return nil, err
	}
	c.sentAttempts++
	if err != nil {
		return nil, c.failPlainAttempt(lease, began, err)
	}
	plain, err := c.readPlainResponse(response)
	_ = response.Body.Close()
	if err != nil {
		return nil, c.failPlainAttempt(lease, began, err)
	}
	if response.Answer.NotRun {
		c.rejections++
		lease.Release(balance.Result{Failed: true, AddressReused: response.Answer.Misdirected, NotRun: response.Answer.NotRun})
		err = &statusError{answer: response.Answer}
		c.recordFailedAttempt(lease, began, err)
		return nil, err
	}
	c.mayHaveRun = true
	if plain.status == http.StatusOK {
		c.recordAnswered()
	} else {
		c.recordSurvived()
	}
	if plain.status >= http.StatusInternalServerError {
		lease.Release(balance.Result{Failed: true})
		err = &statusError{answer: response.Answer}
		c.recordFailedAttempt(lease, began, err)
		return plain, err
	}
	lease.Release(balance.Result{})
	return plain, nil
}

// failPlainAttempt releases the lease of an attempt that gave no complete response and may have run.
func (c *request) failPlainAttempt(lease *balance.Lease, began time.Time, err error) error {
	c.mayHaveRun = true
	callerGone := c.incoming.Context().Err() != nil
	lease.Release(balance.Result{Failed: !callerGone, CallerDisconnected: callerGone})
	c.recordFailedAttempt(lease, began, err)
	return err
}

// attemptTimeout returns the timeout of one attempt. It leaves time for a retry at another target.
func (c *request) attemptTimeout(lease *balance.Lease) time.Duration {
	left := c.timeLeft()
	if !c.route.Repeatable || c.possibleRuns()+1 >= c.route.MaxAttempts {
		return left
	}
	timeout := max(attemptTimeoutFactor*lease.Expected, minAttemptTimeout)
	return min(timeout, time.Duration(maxAttemptTimeoutShare*float64(left)))
}

// readPlainResponse reads a response completely. Its space stays reserved until the request ends, or is released
// at once after an error.
func (c *request) readPlainResponse(response *upstream.Response) (*plainResponse, error) {
	reader := &responseReader{request: c, body: response.Body}
	body, err := io.ReadAll(reader)
	if err != nil {
		c.releaseResponse(reader.read)
		return nil, err
	}
	return &plainResponse{status: response.Status, header: response.Header, body: body}, nil
}

// writeResponse sends a target's response to the caller unchanged.
func (c *request) writeResponse(plain *plainResponse) {
	c.status = plain.status
	c.result = "answered"
	c.firstByte = c.server.Clock.Now()
	c.copyHeader(plain.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(plain.body)))
	c.writer.WriteHeader(plain.status)
	if _, err := c.writer.Write(plain.body); err != nil {
		c.result = "the caller is gone"
	}
}

// copyHeader copies the headers of a target's response, without those that concern its connection.
func (c *request) copyHeader(from http.Header) {
	header := c.writer.Header()
	for name, values := range c.server.Codec.CallerHeader(from) {
		header[name] = values
	}
	if _, set := header["Content-Type"]; !set {
		// A nil value keeps net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	header.Del("Content-Length")
}
