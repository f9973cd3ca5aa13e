package upstream

import (
	"errors"
	"io"
	"syscall"

	"github.com/shelfshelf/shelfshelf"
)

// brokenError is an exchange that broke off after its request was sent.
type brokenError struct {
	cause error
}

// Error names the cause.
func (e *brokenError) Error() string {
	return e.cause.Error() + ": " + shelfshelf.ErrBroken.Error()
}

// Unwrap makes the error an ErrBroken besides its cause.
func (e *brokenError) Unwrap() []error {
	return []error{shelfshelf.ErrBroken, e.cause}
}

// ClosedByTarget reports that an exchange broke off because the target's end of the
// connection was closed or reset.
func ClosedByTarget(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
