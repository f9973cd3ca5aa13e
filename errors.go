package shelfshelf

import (
	"errors"
	"fmt"
	"strings"
)

// ErrConflict means that a conditional write found another version.
var ErrConflict = errors.New("version conflict")

// ErrAmbiguous means that a write may or may not have taken effect.
var ErrAmbiguous = errors.New("write may have taken effect")

// ErrUnavailable means that the store did not answer and nothing was written.
var ErrUnavailable = errors.New("store unavailable")

// ErrNotFound means that the object is not in the store.
var ErrNotFound = errors.New("not found")

// ConflictError names the rows of a transaction whose version did not match.
type ConflictError struct {
	Keys []string
}

// Error returns the conflicting keys in one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict on %s", strings.Join(e.Keys, ", "))
}

// Is reports that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
