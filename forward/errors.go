package forward

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// errPeerBroke means that the exchange with another instance broke off, for whatever reason.
var errPeerBroke = eris.New("the other instance broke off")

// errOwnLateness means that a connection took too long while this instance was late itself.
var errOwnLateness = fmt.Errorf("this instance is late: %w", shelfshelf.ErrOwnLink)

// unsentError reports a request that was certainly not sent to its target.
type unsentError struct {
	cause error
}

// Error returns the text of the cause, followed by that of shelfshelf.ErrNotRun.
func (e *unsentError) Error() string { return e.cause.Error() + ": " + shelfshelf.ErrNotRun.Error() }

// Unwrap makes the error match both shelfshelf.ErrNotRun and its cause.
func (e *unsentError) Unwrap() []error { return []error{shelfshelf.ErrNotRun, e.cause} }

// brokenError reports a handover that failed after the request was sent to the other instance.
type brokenError struct {
	cause error
}

// Error returns the text of the cause, followed by that of shelfshelf.ErrIncompleteResponse.
func (e *brokenError) Error() string {
	return e.cause.Error() + ": " + shelfshelf.ErrIncompleteResponse.Error()
}

// Unwrap makes the error match both shelfshelf.ErrIncompleteResponse and its cause.
func (e *brokenError) Unwrap() []error { return []error{shelfshelf.ErrIncompleteResponse, e.cause} }

// errorOf returns the error for a response whose target broke it off, as another instance told.
func errorOf(told outcome) error {
	if told == outcomeClosed {
		return io.ErrUnexpectedEOF
	}
	return errPeerBroke
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
