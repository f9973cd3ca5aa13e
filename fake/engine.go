package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/engine"
	"github.com/shelfshelf/shelfshelf/prompt"
	"github.com/shelfshelf/shelfshelf/transport"
)

const (
	// keptEvents is how many cache events an engine keeps for late readers.
	keptEvents = 256
	// reportPeriod is how often an engine measures its load.
	reportPeriod = 250 * time.Millisecond
	defaultWords = 64
	idlePause    = time.Millisecond
)

// Engine is a model engine over HTTP: an EngineCore that runs in real time. It
// records what it ran, so that tests can compare.
type Engine struct {
	Clock shelfshelf.Clock
	Core  *EngineCore

	targetState
	streams  map[shelfshelf.RequestID]*engineStream
	report   shelfshelf.LoadReport
	events   []shelfshelf.CacheEvent
	cutAfter int
	wake     chan struct{}
	lastCall time.Time
}

// engineStream is one answer under way or finished.
type engineStream struct {
	chunks [][]byte
	done   bool
	// changed is closed and replaced with each new chunk.
	changed chan struct{}
	prompt  int
	chat    bool
	cancel  bool
}

// NewEngine returns an idle engine for a target.
func NewEngine(clock shelfshelf.Clock, target shelfshelf.Target) *Engine {
	return &Engine{
		Clock:       clock,
		Core:        NewEngineCore(target),
		targetState: newTargetState(),
		streams:     make(map[shelfshelf.RequestID]*engineStream),
		wake:        make(chan struct{}, 1),
	}
}

// SetSlowdown changes the engine's speed.
func (e *Engine) SetSlowdown(slowdown float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Core.Slowdown = slowdown
}

// CutStreams makes the engine cut the connection of so many of the next streams
// in their middle.
func (e *Engine) CutStreams(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAfter = count
}

// LastCall returns when the engine was last sent new work, taken or not; zero if
// never.
func (e *Engine) LastCall() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastCall
}

// Run steps the engine until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		pause := e.step()
		if pause == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-e.wake:
			case <-e.Clock.After(reportPeriod):
			}
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.Clock.After(pause):
		}
	}
}

// step runs one step and publishes what it did; 0 means there is no work.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if now.Sub(e.report.At) >= reportPeriod {
		e.report = e.Core.Report(now)
		e.report.Leaving = e.leaving
	}
	if e.Core.Idle() {
		return 0
	}
	took, progress := e.Core.Step()
	for _, step := range progress {
		if !step.Started {
			e.publish(step)
		}
	}
	if event, ok := e.Core.TakeCacheEvent(); ok {
		e.events = append(e.events, event)
		if len(e.events) > keptEvents {
			e.events = e.events[len(e.events)-keptEvents:]
		}
	}
	return max(took, idlePause)
}

func (e *Engine) publish(step Progress) {
	s := e.streams[step.ID]
	if s == nil {
		return
	}
	s.chunks = append(s.chunks, s.chunk(step))
	s.done = step.Finished
	close(s.changed)
	s.changed = make(chan struct{})
}

// Word is the token that any engine writes at a place of a request's answer.
func Word(id shelfshelf.RequestID, index int) string {
	return fmt.Sprintf(" w%04x", xxhash.Sum64String(string(id)+"/"+strconv.Itoa(index))&0xffff)
}

// Answer is the whole text that any engine writes for a request.
func Answer(id shelfshelf.RequestID, words int) string {
	var text strings.Builder
	for i := range words {
		text.WriteString(Word(id, i))
	}
	return text.String()
}

type (
	wireCompletion struct {
		ID      string            `json:"id"`
		Object  string            `json:"object"`
		Choices []wireChoice      `json:"choices"`
		Usage   *engine.WireUsage `json:"usage,omitempty"`
	}
	wireChoice struct {
		Index        int        `json:"index"`
		Text         *string    `json:"text,omitempty"`
		Delta        *wireDelta `json:"delta,omitempty"`
		FinishReason *string    `json:"finish_reason"`
	}
	wireDelta struct {
		Content string `json:"content"`
	}
)

func (s *engineStream) chunk(step Progress) []byte {
	word := Word(step.ID, step.Produced-1)
	wire := wireCompletion{ID: string(step.ID), Object: "text_completion"}
	choice := wireChoice{Text: &word}
	if s.chat {
		wire.Object = "chat.completion.chunk"
		choice = wireChoice{Delta: &wireDelta{Content: word}}
	}
	if step.Finished {
		reason := "length"
		choice.FinishReason = &reason
		usage := &engine.WireUsage{
			PromptTokens:     s.prompt,
			CompletionTokens: step.Produced,
			TotalTokens:      s.prompt + step.Produced,
		}
		usage.PromptTokensDetails.CachedTokens = step.CachedTokens
		wire.Usage = usage
	}
	wire.Choices = []wireChoice{choice}
	encoded, err := json.Marshal(wire)
	if err != nil {
		panic(err) // the types above always encode
	}
	return encoded
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET "+engine.PathStreams+"{id}", e.resume)
	mux.HandleFunc("DELETE "+engine.PathStreams+"{id}", e.cancel)
	mux.HandleFunc("GET "+engine.PathLoad, e.load)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.cacheEvents)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MaxTokens int `json:"max_tokens"`
		Priority  int `json:"priority"`
	}
	_, parsed, err := prompt.Read(r.Body, &body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := shelfshelf.RequestID(r.Header.Get(transport.HeaderRequestID))
	words := body.MaxTokens
	if words <= 0 {
		words = defaultWords
	}
	priority, err := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if err != nil {
		priority = body.Priority
	}
	e.mu.Lock()
	e.lastCall = e.Clock.Now()
	if e.leaving {
		e.mu.Unlock()
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	e.runs[id]++
	s := &engineStream{
		changed: make(chan struct{}),
		prompt:  parsed.Tokens,
		chat:    strings.Contains(r.URL.Path, "chat"),
	}
	e.streams[id] = s
	e.Core.Submit(&Sequence{
		ID:           id,
		Priority:     priority,
		Blocks:       parsed.Blocks,
		PromptTokens: parsed.Tokens,
		OutputTokens: words,
	})
	cut := -1
	if e.cutAfter > 0 {
		e.cutAfter--
		cut = words / 2
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	e.follow(w, r, s, 0, cut)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from is not a count", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.streams[shelfshelf.RequestID(r.PathValue("id"))]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.follow(w, r, s, from, -1)
}

// follow writes the chunks of a stream as they come; cut >= 0 breaks it off.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *engineStream, from, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for next := from; ; {
		e.mu.Lock()
		chunks, done, cancelled, changed := s.chunks, s.done, s.cancel, s.changed
		e.mu.Unlock()
		for ; next < len(chunks); next++ {
			if cut >= 0 && next >= cut {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, chunks[next])
		}
		if done {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", engine.FinalData)
			return
		}
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := shelfshelf.RequestID(r.PathValue("id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Core.Cancel(id)
	if s := e.streams[id]; s != nil && !s.done {
		s.cancel = true
		close(s.changed)
		s.changed = make(chan struct{})
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.report
	report.Leaving = e.leaving
	e.mu.Unlock()
	writeJSON(w, engine.LoadToWire(report, e.Clock.Now()))
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a count", http.StatusBadRequest)
		return
	}
	wire := []engine.WireCacheEvent{}
	e.mu.Lock()
	for _, event := range e.events {
		if event.Sequence > after {
			wire = append(wire, engine.CacheEventToWire(event))
		}
	}
	e.mu.Unlock()
	writeJSON(w, wire)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
