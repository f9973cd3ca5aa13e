package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/shelfshelf/shelfshelf"
)

// brokenError reports a round trip that failed after the client began to send the request.
type brokenError struct {
	cause error
}

// Error returns the text of the cause, followed by that of ErrIncompleteResponse.
func (e *brokenError) Error() string {
	return e.cause.Error() + ": " + shelfshelf.ErrIncompleteResponse.Error()
}

// Unwrap makes the error match both ErrIncompleteResponse and its cause.
func (e *brokenError) Unwrap() []error {
	return []error{shelfshelf.ErrIncompleteResponse, e.cause}
}

// ErrNotPrepared means that a request's Prepare failed, so that nothing was sent. It is always joined with
// shelfshelf.ErrNotRun and says nothing of the target.
var ErrNotPrepared = errors.New("the request must not be sent any more")

// NotPrepared returns the error for a request whose Prepare failed.
func NotPrepared(cause error) error {
	return &unsentError{cause: fmt.Errorf("%w: %w", ErrNotPrepared, cause)}
}

// unsentError reports a connection that could not be opened, so that nothing was sent.
type unsentError struct {
	cause error
}

// Error returns the text of the cause, followed by that of ErrNotRun.
func (e *unsentError) Error() string {
	return e.cause.Error() + ": " + shelfshelf.ErrNotRun.Error()
}

// Unwrap makes the error match both ErrNotRun and its cause.
func (e *unsentError) Unwrap() []error {
	return []error{shelfshelf.ErrNotRun, e.cause}
}

// ClosedByTarget reports whether a round trip failed because the target closed or reset the connection.
func ClosedByTarget(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
