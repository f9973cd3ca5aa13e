package shelfshelf

import (
	"errors"
	"net/http"
	"time"
)

// ErrBadCall means that the caller's headers are malformed.
var ErrBadCall = errors.New("malformed request headers")

// PromptPart is a part of a prompt; parts with the same ID hold the same tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call holds the decoded headers of a caller's request.
type Call struct {
	// ID is the caller's identifier of this attempt; a retry by the caller has another ID.
	ID RequestID
	// Key is the bearer token; empty if none was sent.
	Key string
	// Timeout is the caller's timeout, counted from when the caller sent the request.
	Timeout time.Duration
	// Model is the requested model; empty for plain services.
	Model string
	// PromptTokens and MaxOutputTokens are the sizes that the caller declares. HasTokenCounts is set if they
	// are known; otherwise both are zero.
	PromptTokens    int
	MaxOutputTokens int
	HasTokenCounts  bool
	// OutputHint is the caller's estimate of the response length in tokens; 0 if there is none.
	OutputHint int
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEventID is the last event that the caller has received; empty if the stream starts from the
	// beginning.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this one takes
	// up; empty if the caller doesn't tell it.
	Resumes RequestID
}

// Attempt is one dispatch of a call to one target.
type Attempt struct {
	Target Target
	// Customer is the owner of the caller's key; empty on public routes.
	Customer CustomerName
	// Timeout is the time that the target has for its response.
	Timeout time.Duration
	// LastEventID makes the target resume the stream after that event; empty to start from the
	// beginning.
	LastEventID string
}

// ResponseMetadata holds the status and the decoded headers of a target's response.
type ResponseMetadata struct {
	Status int
	// ID is the request ID that the response belongs to.
	ID RequestID
	// NotRun is set if the target guarantees that it has not executed the call and never will.
	NotRun bool
	// Misdirected is set if the responding target is not the one that the request was meant for.
	Misdirected bool
	// HasSignature is set if the response carries a signature of the target.
	HasSignature bool
	// Running, Waiting and Slots are the load of the target; LoadKnown is set if the target reported
	// it.
	Running   int
	Waiting   int
	Slots     int
	LoadKnown bool
	// Slowdown is the current processing time of the target relative to its usual one (1), for targets that
	// share their machine with others; 0 if it is not reported.
	Slowdown float64
	// Limit is the announced rate limit. InvalidLimit is the text of a limit header that could not be
	// parsed, or else empty.
	Limit        RateLimit
	InvalidLimit string
	// Brittle is how many requests the target may have to turn away in a second before it fails; 0 if it
	// announces nothing of the kind. InvalidBrittle is the text of the header if it could not be parsed.
	Brittle        int
	InvalidBrittle string
	// Leaving is set if the target announces that it is shutting down and wants no more requests.
	// InvalidLeaving is the text of the header if it could not be parsed.
	Leaving        bool
	InvalidLeaving string
	// RetryAfter is the backoff that a target asks of this instance when it rejects a request; 0 if there is
	// none. InvalidRetryAfter is the text of the header if it could not be parsed.
	RetryAfter        time.Duration
	InvalidRetryAfter string
}

// HasAnnouncement reports whether the response announces something that concerns later requests too.
func (r ResponseMetadata) HasAnnouncement() bool {
	return r.Limit.Set || r.Leaving || r.RetryAfter > 0 || r.Brittle > 0
}

// CallCodec decodes and encodes the headers of requests and responses.
type CallCodec interface {
	// Call decodes a caller's request headers; the error is ErrBadCall.
	Call(header http.Header) (Call, error)
	// AttemptHeader returns the request headers for one attempt at a target.
	AttemptHeader(caller http.Header, attempt Attempt) http.Header
	// Answer decodes the status and headers of a target's response.
	Answer(status int, header http.Header) ResponseMetadata
	// CallerHeader returns the response headers to send to the caller, given those of the target.
	CallerHeader(target http.Header) http.Header
}
