package shelfshelf

import (
	"errors"
	"fmt"
	"strings"
)

// ErrConflict means that a conditional write found another version than expected.
var ErrConflict = errors.New("version conflict")

// ErrAmbiguous means that a write may or may not have taken effect.
var ErrAmbiguous = errors.New("write may have taken effect")

// ErrUnavailable means that the store did not respond and nothing was written.
var ErrUnavailable = errors.New("store unavailable")

// ErrNotFound means that the store does not contain the object.
var ErrNotFound = errors.New("not found")

// ConflictError holds the keys of a transaction's rows whose versions did not match.
type ConflictError struct {
	Keys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict on %s", strings.Join(e.Keys, ", "))
}

// Is makes errors.Is match ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
