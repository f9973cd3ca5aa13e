package transfer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// pieceSize is how much of an answer is read at once, in bytes: some packets.
const pieceSize = 16 << 10

// ErrTooLarge means that an answer is larger than it may be.
var ErrTooLarge = eris.New("answer too large")

// Limits bound one fetch.
type Limits struct {
	// Whole bounds the time until the last byte.
	Whole time.Duration
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
// answer of any status is none.
func Do(clock shelfshelf.Clock, client *http.Client, request *http.Request, limits Limits) (Answer, error) {
	ctx, cancel := context.WithTimeout(request.Context(), limits.Whole)
	defer cancel()
	answer := Answer{Progress: Progress{Expected: -1}}
	began := clock.Now()
	err := answer.read(clock, client, request.WithContext(ctx), limits.Bytes)
	answer.Took = clock.Now().Sub(began)
	if err != nil {
		return answer, &Error{Progress: answer.Progress, Cause: err}
	}
	return answer, nil
}

func (a *Answer) read(clock shelfshelf.Clock, client *http.Client, request *http.Request, most int64) error {
	began := clock.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	a.Status = response.StatusCode
	a.First = clock.Now().Sub(began)
	a.Expected = response.ContentLength
	if a.Expected > most {
		return ErrTooLarge
	}
	var body bytes.Buffer
	body.Grow(int(max(a.Expected, 0)) + bytes.MinRead)
	for {
		n, err := io.CopyN(&body, response.Body, pieceSize)
		a.Bytes += n
		switch {
		case err == io.EOF:
			a.Body = body.Bytes()
			return nil
		case err != nil:
			return err
		case a.Bytes > most:
			return ErrTooLarge
		}
	}
}
