package shelfshelf

import (
	"context"
	"errors"
	"net/http"
)

// ErrNotRun means that the target provably did not run the request.
var ErrNotRun = errors.New("not run by the target")

// ErrOwnLink means that the target is not reached from this instance, but from others, so that the failure
// says nothing of the target. It is always joined with ErrNotRun.
var ErrOwnLink = errors.New("no link to the target, and no other instance took the request")

// ErrRejected means that the target rejected the request itself as invalid without running it, so that
// no other target would accept it. It is always joined with ErrNotRun.
var ErrRejected = errors.New("request rejected by the target")

// ErrIncompleteResponse means that the response is incomplete and the request may have run.
var ErrIncompleteResponse = errors.New("answer broken off")

// CompletionCall is a model request as sent to an engine.
type CompletionCall struct {
	ID RequestID
	// Path is the path of the engine's endpoint, such as /v1/completions.
	Path string
	// Body is the JSON request, with the model name already replaced by the engine's.
	Body     []byte
	Priority int
}

// EngineChunk is one server-sent event of an engine's response.
type EngineChunk struct {
	// Index numbers the events of a stream from 0.
	Index int
	// Data is the event's JSON.
	Data []byte
	// Tokens is the number of tokens in the event.
	Tokens int
	// CacheKnown is set if the event reports how many prompt tokens were cached.
	CacheKnown bool
	// CachedTokens is the number of prompt tokens that the engine had cached.
	CachedTokens int
}

// EngineClient sends requests to model engines.
type EngineClient interface {
	// Complete runs a call and passes each chunk of the response to emit, in order and exactly once. It
	// returns nil only if the response was complete, ErrNotRun if the engine did not run the call, and
	// otherwise ErrIncompleteResponse; the errors may be wrapped.
	Complete(ctx context.Context, target Target, call CompletionCall, emit func(EngineChunk) error) error
	// Load returns the engine's load report.
	Load(ctx context.Context, target Target) (LoadReport, error)
	// CacheEvents returns the engine's cache events after the given sequence number.
	CacheEvents(ctx context.Context, target Target, after uint64) ([]CacheEvent, error)
}

// ServiceCall is a request as sent to a plain service.
type ServiceCall struct {
	ID     RequestID
	Method string
	// Path is the path and query of the request.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is set if the call is idempotent: it may run twice without harm.
	Repeatable bool
}

// ServiceAnswer is the whole response of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ServiceClient sends requests to plain services.
type ServiceClient interface {
	// Call runs a call once; errors are ErrNotRun or ErrIncompleteResponse, as for engines.
	Call(ctx context.Context, target Target, call ServiceCall) (ServiceAnswer, error)
}
