package claim

import "errors"

// ErrOtherBody means that the key has been used for another call.
var ErrOtherBody = errors.New("the Idempotency-Key was used for another call")

// ErrUnknown means that the call may have run: another attempt holds the claim
// or its holder has died.
var ErrUnknown = errors.New("an earlier attempt may have run")

// ErrNotConfirmed means that the claim could not be confirmed in time, so the
// call was not dispatched.
var ErrNotConfirmed = errors.New("the claim could not be confirmed in time")

// ErrStopped means that the claims are stopping; nothing was written.
var ErrStopped = errors.New("claims are stopping")
