package shelfshelf

import (
	"errors"
	"net/http"
	"time"
)

// ErrBadCall means that a caller's headers can't be read.
var ErrBadCall = errors.New("malformed request headers")

// PromptPart is one piece of a prompt; equal IDs hold equal tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is what a caller says of its request, decoded from the wire.
type Call struct {
	// ID is the caller's name for this try; another try has another ID.
	ID RequestID
	// Key is the bearer key; empty if none was sent.
	Key string
	// Patience is how long the caller waits, from when it sent the request.
	Patience time.Duration
	// Model is the model asked for; empty for plain services.
	Model string
	// PromptTokens and MaxOutputTokens are the sizes that the caller declares; both
	// are zero where Counted is false.
	PromptTokens    int
	MaxOutputTokens int
	Counted         bool
	// OutputHint is the caller's estimate of the answer, in tokens; 0 if none.
	OutputHint int
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEventID is the last event that the caller has; empty at a start.
	LastEventID string
}

// Attempt is one sending of a call to one target.
type Attempt struct {
	Target Target
	// Customer is the holder of the caller's key; empty on public routes.
	Customer CustomerName
	// Left is the time that the target may take.
	Left time.Duration
	// LastEventID makes a stream go on after that event; empty at a start.
	LastEventID string
}

// Answer is what a target says of its answer in the headers.
type Answer struct {
	Status int
	// ID is the call that the answer belongs to.
	ID RequestID
	// NotRun says that the target has not run the call and never will.
	NotRun bool
	// OtherTarget says that the target isn't the one that was meant.
	OtherTarget bool
	// Genuine says that the answer is signed by the target.
	Genuine bool
	// Running, Waiting and Slots are the target's load; LoadKnown says they are set.
	Running   int
	Waiting   int
	Slots     int
	LoadKnown bool
	// Pace is how long work takes at the target now, 1 being as usual, where others share its
	// machine; 0 if it doesn't say.
	Pace float64
	// Limit is what the target says that it takes, and LimitUnread what it says of it that
	// can't be read, empty if all can.
	Limit       RateLimit
	LimitUnread string
	// Leaving says that the target is about to stop and wants nothing more, and
	// LeavingUnread what it says of that that can't be read.
	Leaving       bool
	LeavingUnread string
	// Rest is for how long a target that has turned the request away wants nothing more of
	// this instance, 0 if it doesn't say, and RestUnread what it says of that that can't be
	// read.
	Rest       time.Duration
	RestUnread string
}

// Announces reports that a target says something with its answer that concerns the requests
// after it too.
func (a Answer) Announces() bool { return a.Limit.Named || a.Leaving || a.Rest > 0 }

// CallCodec reads and writes the headers of calls and answers.
type CallCodec interface {
	// Call reads what a caller says; the error is ErrBadCall.
	Call(header http.Header) (Call, error)
	// AttemptHeader returns the headers for one attempt at a target.
	AttemptHeader(caller http.Header, attempt Attempt) http.Header
	// Answer reads what a target says.
	Answer(status int, header http.Header) Answer
	// CallerHeader returns the headers of an answer as the caller gets them.
	CallerHeader(target http.Header) http.Header
}
