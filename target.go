package shelfshelf

import (
	"context"
	"errors"
	"net/http"
)

// ErrNotRun means that the target provably did not run the request.
var ErrNotRun = errors.New("not run by the target")

// ErrRejected means that the target found the request itself wrong, and did not
// run it; no other target would. It comes together with ErrNotRun.
var ErrRejected = errors.New("request rejected by the target")

// ErrBroken means that the answer is not whole and the request may have run.
var ErrBroken = errors.New("answer broken off")

// CompletionCall is one model request as it is sent to an engine.
type CompletionCall struct {
	ID RequestID
	// Path is the engine's endpoint, such as /v1/completions.
	Path string
	// Body is the JSON request, its model already set for the engine.
	Body     []byte
	Priority int
}

// EngineChunk is one server-sent event of an engine's answer.
type EngineChunk struct {
	// Index counts the events of a stream from 0.
	Index int
	// Data is the event's JSON.
	Data []byte
	// Tokens is how many tokens the event carries.
	Tokens int
	// CacheKnown says that the event tells how much of the prompt was held.
	CacheKnown bool
	// CachedTokens is how much of the prompt the engine held, in tokens.
	CachedTokens int
}

// EngineClient talks to model engines.
type EngineClient interface {
	// Complete runs a call and hands each chunk to emit in order, each once.
	// It returns nil only if the answer was whole, an error that is ErrNotRun
	// if the engine did not run it, else one that is ErrBroken.
	Complete(ctx context.Context, target Target, call CompletionCall, emit func(EngineChunk) error) error
	// Load returns the engine's load report.
	Load(ctx context.Context, target Target) (LoadReport, error)
	// CacheEvents returns the engine's events after the given sequence number.
	CacheEvents(ctx context.Context, target Target, after uint64) ([]CacheEvent, error)
}

// ServiceCall is one plain request as it is sent to a service.
type ServiceCall struct {
	ID     RequestID
	Method string
	// Path is the request's path and query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable says that the call may run twice without harm.
	Repeatable bool
}

// ServiceAnswer is a plain service's whole answer.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ServiceClient talks to plain services.
type ServiceClient interface {
	// Call runs a call once; errors are ErrNotRun or ErrBroken as for engines.
	Call(ctx context.Context, target Target, call ServiceCall) (ServiceAnswer, error)
}
