package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bounds"
)

// pieceSize is how much of an answer counts as something more of it, in bytes. A read of
// net/http fills what it is given with all of a chunk, which may be the whole answer, and
// on a link that much else goes over some kilobytes may take longer than an answer may pause.
const pieceSize = 2 << 10

const (
	// MaxHeaderBytes is the bound that a client's transport should set on the header of an answer, with that of all
	// interim answers before it; net/http takes 10 MB unless told otherwise.
	MaxHeaderBytes = 64 << 10
	// slowAfter is how long an answer may arrive at any rate, and minRate is the least mean rate after that, in
	// bytes a second. A link of 10 Mbit/s has 1,200 times as much; without it, an answer of one byte each half
	// second would never end.
	slowAfter = 30 * time.Second
	minRate   = 1 << 10
)

// ErrSlow means that an answer arrived at less than the least rate.
var ErrSlow = eris.New("answer too slow")

// ErrTooLarge means that an answer is larger than it may be.
var ErrTooLarge = eris.New("answer too large")

// ErrSilent means that nothing came for as long as an answer may pause.
var ErrSilent = eris.New("nothing more came")

// Limits bound one fetch. Its whole time is bounded only by a least rate after half a minute: how long an answer
// takes depends on its size and the link, and one that is cut off has to come again from the start.
type Limits struct {
	// First bounds the time until the answer begins.
	First time.Duration
	// Silence bounds the time without another byte of it.
	Silence time.Duration
	// Bytes bounds the size of the answer.
	Bytes int64
}

// Progress tells how far a fetch came.
type Progress struct {
	// Bytes have come, of Expected; that is -1 if the sender did not say.
	Bytes    int64
	Expected int64
	// First is how long the answer's head took, 0 if none came.
	First time.Duration
	// Took is how long the fetch took.
	Took time.Duration
}

// Answer is an answer that came whole.
type Answer struct {
	Progress
	Status int
	Header http.Header
	Body   []byte
}

// Error is a fetch that failed on its way.
type Error struct {
	Progress
	Cause error
}

// Error tells the cause and how far the fetch came.
func (e *Error) Error() string {
	if e.First == 0 {
		return fmt.Sprintf("%v, no answer after %v", e.Cause, e.Took)
	}
	return fmt.Sprintf("%v, %d of %d bytes after %v, the first after %v", e.Cause, e.Bytes, e.Expected, e.Took, e.First)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Do sends a request and reads its answer. A failure on the way is an *Error, an
// answer of any status is none. After one that fell silent, the client's idle
// connections are closed: they may have gone silent with it, and each would
// cost a call.
func Do(clock shelfshelf.Clock, client *http.Client, request *http.Request, limits Limits) (Answer, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	f := &fetch{clock: clock, limits: limits, moved: make(chan struct{}, 1), cancel: cancel}
	go f.run(ctx)
	answer := Answer{Progress: Progress{Expected: -1}}
	began := clock.Now()
	err := f.read(client, request.WithContext(ctx), &answer)
	answer.Took = clock.Now().Sub(began)
	if err == nil {
		return answer, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, ErrSilent) {
		client.CloseIdleConnections()
	}
	return answer, &Error{Progress: answer.Progress, Cause: err}
}

// fetch is one answer on its way.
type fetch struct {
	clock  shelfshelf.Clock
	limits Limits
	// moved receives when a part of the answer has come.
	moved  chan struct{}
	cancel context.CancelCauseFunc
}

// run ends the fetch when nothing comes for too long.
func (f *fetch) run(ctx context.Context) {
	limit := f.limits.First
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.moved:
			limit = f.limits.Silence
		case <-f.clock.After(limit):
			f.cancel(ErrSilent)
			return
		}
	}
}

func (f *fetch) move() {
	select {
	case f.moved <- struct{}{}:
	default:
	}
}

func (f *fetch) read(client *http.Client, request *http.Request, answer *Answer) error {
	began := f.clock.Now()
	response, err := client.Do(request)
	if err != nil {
		if exceeded := bounds.HeaderExceeded(err, MaxHeaderBytes); exceeded != nil {
			return fmt.Errorf("%w: %w", err, exceeded)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	f.move()
	answer.Status = response.StatusCode
	answer.Header = response.Header
	answer.First = f.clock.Now().Sub(began)
	answer.Expected = response.ContentLength
	if answer.Expected > f.limits.Bytes {
		return tooLarge(0)
	}
	var body bytes.Buffer
	body.Grow(int(max(answer.Expected, 0)) + bytes.MinRead)
	answer.Bytes, err = body.ReadFrom(io.LimitReader(&movingReader{fetch: f, body: response.Body, began: f.clock.Now()}, f.limits.Bytes+1))
	if err != nil {
		return err
	}
	if answer.Bytes > f.limits.Bytes {
		return tooLarge(answer.Bytes)
	}
	answer.Body = body.Bytes()
	return nil
}

func tooLarge(bytes int64) error {
	return fmt.Errorf("%w: %w", ErrTooLarge, &bounds.Exceeded{Bound: bounds.BodyBytes, Bytes: bytes})
}

// movingReader reads an answer piece by piece, and notes each that comes.
type movingReader struct {
	fetch *fetch
	body  io.Reader
	began time.Time
	read  int64
}

func (r *movingReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), pieceSize)])
	if n > 0 {
		r.fetch.move()
	}
	r.read += int64(n)
	if took := r.fetch.clock.Now().Sub(r.began); err == nil && took > slowAfter && float64(r.read) < minRate*took.Seconds() {
		return n, fmt.Errorf("%w: %w", ErrSlow, &bounds.Exceeded{Bound: bounds.Rate, Bytes: r.read})
	}
	return n, err
}
