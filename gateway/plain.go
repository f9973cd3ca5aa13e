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
	// maxAnswer bounds a plain answer, in bytes.
	maxAnswer = 8 << 20
	// patienceFactor times the expected time is how long a call that may be repeated
	// waits for one target, within the two bounds below.
	patienceFactor = 8
	// leastPatience is the least of it, and patienceShare the largest part of the time
	// left.
	leastPatience = 120 * time.Millisecond
	patienceShare = 0.5
)

// plainAnswer is a target's whole answer.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain carries a call whose answer is read whole.
func (c *request) servePlain() {
	var failure *plainAnswer
	for {
		lease, refused := c.place()
		if refused != nil {
			c.endPlain(failure, refused)
			return
		}
		answer, err := c.attemptPlain(lease)
		if err == nil {
			c.writePlain(answer)
			return
		}
		if answer != nil {
			failure = answer
		}
		c.avoid = append(c.avoid, lease.Target.Name)
		if !c.repeatable() || !c.mayRepeat(err) {
			c.endPlain(failure, c.giveUp(err.Error(), c.comeBack()))
			return
		}
	}
}

// endPlain answers with the last failure that a target gave itself, else with a
// refusal.
func (c *request) endPlain(failure *plainAnswer, refused *refusal) {
	if failure != nil {
		c.writePlain(failure)
		return
	}
	c.refuse(refused)
}

// repeatable reports that a failed request may be sent again.
func (c *request) repeatable() bool {
	return !c.mayHaveRun || c.route.Repeatable
}

// attemptPlain sends the call to one target. With an error, the answer is the
// failure that the target itself gave, if any.
func (c *request) attemptPlain(lease *balance.Lease) (*plainAnswer, error) {
	began := c.server.Clock.Now()
	ctx, cancel := context.WithTimeout(c.ctx, c.attemptPatience(lease))
	defer cancel()
	response, err := c.send(ctx, lease, "")
	if errors.Is(err, shelfshelf.ErrNotRun) {
		lease.Release(balance.Result{Failed: true, Unreachable: !c.over(), Unsent: true})
		c.attemptFailed(lease, began, err)
		return nil, err
	}
	c.sent++
	if err != nil {
		return nil, c.plainFailed(lease, began, err)
	}
	answer, err := readPlain(response)
	response.Close()
	if answer != nil {
		c.holdAnswer(int64(len(answer.body)))
	}
	if err != nil {
		return nil, c.plainFailed(lease, began, err)
	}
	if response.Answer.NotRun {
		c.turnedAway++
		lease.Release(balance.Result{Failed: true, Gone: response.Answer.OtherTarget, NotRun: response.Answer.NotRun})
		err = &statusError{answer: response.Answer}
		c.attemptFailed(lease, began, err)
		return nil, err
	}
	c.mayHaveRun = true
	c.outlived()
	if answer.status >= http.StatusInternalServerError {
		lease.Release(balance.Result{Failed: true})
		err = &statusError{answer: response.Answer}
		c.attemptFailed(lease, began, err)
		return answer, err
	}
	lease.Release(balance.Result{})
	return answer, nil
}

// plainFailed settles an attempt that may have run and gave no whole answer.
func (c *request) plainFailed(lease *balance.Lease, began time.Time, err error) error {
	c.mayHaveRun = true
	gone := c.http.Context().Err() != nil
	lease.Release(balance.Result{Failed: !gone, Left: gone})
	c.attemptFailed(lease, began, err)
	return err
}

// attemptPatience bounds one attempt, so that time is left for another target.
func (c *request) attemptPatience(lease *balance.Lease) time.Duration {
	left := c.left()
	if !c.route.Repeatable || c.attempts()+1 >= c.route.MaxAttempts {
		return left
	}
	patience := max(patienceFactor*lease.Expected, leastPatience)
	return min(patience, time.Duration(patienceShare*float64(left)))
}

func readPlain(response *upstream.Response) (*plainAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errors.New("the answer is too long")
	}
	return &plainAnswer{status: response.Status, header: response.Header, body: body}, nil
}

// writePlain hands a target's answer to the caller as it is.
func (c *request) writePlain(answer *plainAnswer) {
	c.status = answer.status
	c.result = "answered"
	c.firstByte = c.server.Clock.Now()
	c.copyHeader(answer.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	c.writer.WriteHeader(answer.status)
	if _, err := c.writer.Write(answer.body); err != nil {
		c.result = "the caller is gone"
	}
}

// copyHeader hands a target's headers on, without those of its connection.
func (c *request) copyHeader(from http.Header) {
	header := c.writer.Header()
	for name, values := range c.server.Codec.CallerHeader(from) {
		header[name] = values
	}
	if _, set := header["Content-Type"]; !set {
		// A nil value keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	header.Del("Content-Length")
}
