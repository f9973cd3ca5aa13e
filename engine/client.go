package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/transport"
)

const (
	resumeTries   = 5
	resumePause   = 50 * time.Millisecond
	controlWait   = 2 * time.Second
	maxReplyBytes = 4 << 20
)

// Client talks to engines over HTTP. A call is sent once; a stream that breaks
// is resumed on the same engine and never sent again.
type Client struct {
	Clock shelfshelf.Clock
	// Once carries the calls; Control carries reports, events and cancels.
	Once    *transport.Once
	Control *http.Client
}

// NewClient returns a client with its own connections.
func NewClient(clock shelfshelf.Clock) *Client {
	return &Client{
		Clock:   clock,
		Once:    transport.NewOnce(),
		Control: &http.Client{Timeout: controlWait},
	}
}

// stream is the state of one answer, kept over resumptions.
type stream struct {
	id   shelfshelf.RequestID
	next int
	emit func(shelfshelf.EngineChunk) error
	done bool
}

// errEmit marks an error of the caller's side, after which nothing is resumed.
type errEmit struct{ cause error }

func (e *errEmit) Error() string { return e.cause.Error() }

func (e *errEmit) Unwrap() error { return e.cause }

// Complete runs a call; see shelfshelf.EngineClient.
func (c *Client) Complete(ctx context.Context, target shelfshelf.Target, call shelfshelf.CompletionCall, emit func(shelfshelf.EngineChunk) error) error {
	header := http.Header{
		"Content-Type":            {"application/json"},
		"Accept":                  {"text/event-stream"},
		transport.HeaderRequestID: {string(call.ID)},
		HeaderPriority:            {strconv.Itoa(call.Priority)},
	}
	//nolint:bodyclose // refusal and read close it.
	response, err := c.Once.RoundTrip(ctx, http.MethodPost, target.Address+call.Path, header, call.Body)
	s := &stream{id: call.ID, emit: emit}
	if err != nil {
		if transport.IsNotRun(err) || ctx.Err() != nil {
			return c.abandon(ctx, target, call.ID, err)
		}
		return c.resume(ctx, target, s, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	err = s.read(response.Body)
	if err == nil {
		return nil
	}
	return c.resume(ctx, target, s, err)
}

// refusal maps an answer that is not a stream.
func refusal(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if response.StatusCode == http.StatusBadRequest {
		return errors.Join(shelfshelf.ErrNotRun, eris.Wrapf(shelfshelf.ErrRejected, "%s", text))
	}
	if transport.RefusedStatus(response.StatusCode) {
		return eris.Wrapf(shelfshelf.ErrNotRun, "engine answered %d: %s", response.StatusCode, text)
	}
	return eris.Wrapf(shelfshelf.ErrIncompleteResponse, "engine answered %d: %s", response.StatusCode, text)
}

// resume goes on with a broken stream on the same engine.
func (c *Client) resume(ctx context.Context, target shelfshelf.Target, s *stream, cause error) error {
	for range resumeTries {
		var own *errEmit
		if errors.As(cause, &own) || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(resumePause):
		}
		cause = c.resumeOnce(ctx, target, s)
		if cause == nil {
			return nil
		}
	}
	return c.abandon(ctx, target, s.id, eris.Wrap(shelfshelf.ErrIncompleteResponse, cause.Error()))
}

func (c *Client) resumeOnce(ctx context.Context, target shelfshelf.Target, s *stream) error {
	url := fmt.Sprintf("%s%s%s?from=%d", target.Address, PathStreams, s.id, s.next)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	// A resumption only reads, so it needs no transport that sends once; it has
	// no time limit but the caller's.
	response, err := (&http.Client{Transport: c.Control.Transport}).Do(request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return eris.Errorf("engine does not resume: %d", response.StatusCode)
	}
	return s.read(response.Body)
}

// read hands on the chunks of a stream, each once and in order.
func (s *stream) read(body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	reader := NewEventReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return eris.Wrap(err, "stream broke off")
		}
		if string(event.Data) == FinalData {
			if !s.done {
				return eris.New("stream ended before its last chunk")
			}
			return nil
		}
		if event.Index >= 0 && event.Index < s.next {
			continue
		}
		if event.Index != s.next {
			return eris.Errorf("chunk %d came where %d was due", event.Index, s.next)
		}
		if err := s.take(event); err != nil {
			return err
		}
	}
}

func (s *stream) take(event Event) error {
	var chunk wireChunk
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return eris.Wrap(err, "unreadable chunk")
	}
	if chunk.ID != string(s.id) {
		return eris.Errorf("chunk belongs to %q, not to %q", chunk.ID, s.id)
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			s.done = true
		}
	}
	s.next++
	out := shelfshelf.EngineChunk{Index: event.Index, Data: event.Data, Tokens: 1}
	if chunk.Usage != nil {
		out.CacheKnown = true
		out.CachedTokens = chunk.Usage.PromptTokensDetails.CachedTokens
	}
	if err := s.emit(out); err != nil {
		return &errEmit{cause: err}
	}
	return nil
}

// abandon tells the engine to drop a stream that nobody reads any more.
func (c *Client) abandon(ctx context.Context, target shelfshelf.Target, id shelfshelf.RequestID, cause error) error {
	if transport.IsNotRun(cause) {
		return cause
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.Address+PathStreams+string(id), nil)
	if err != nil {
		return cause
	}
	response, err := c.Control.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	return cause
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, target shelfshelf.Target) (shelfshelf.LoadReport, error) {
	var wire WireLoad
	if err := c.get(ctx, target.Address+PathLoad, &wire); err != nil {
		return shelfshelf.LoadReport{}, err
	}
	return wire.domain(target.Name, c.Clock.Now()), nil
}

// CacheEvents returns the engine's events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, target shelfshelf.Target, after uint64) ([]shelfshelf.CacheEvent, error) {
	var wire []WireCacheEvent
	if err := c.get(ctx, fmt.Sprintf("%s%s?after=%d", target.Address, PathCacheEvents, after), &wire); err != nil {
		return nil, err
	}
	events := make([]shelfshelf.CacheEvent, len(wire))
	for i, event := range wire {
		events[i] = event.domain(target.Name)
	}
	return events, nil
}

func (c *Client) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "engine request")
	}
	response, err := c.Control.Do(request)
	if err != nil {
		return eris.Wrap(err, "engine request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("engine answered %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(into); err != nil {
		return eris.Wrap(err, "unreadable answer of an engine")
	}
	return nil
}
