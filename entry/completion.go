package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/prompt"
	"github.com/shelfshelf/shelfshelf/transport"
)

// defaultOutputTokens is the expected length of an answer without max_tokens.
const defaultOutputTokens = 256

// completion serves an OpenAI-style completion, streamed or whole.
func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	c, body, request, p := s.beginCompletion(w, r)
	if p != nil {
		id := shelfshelf.RequestID("")
		if c != nil {
			id = c.id
			s.Metrics.count(c, p.result, p.kind)
		}
		p.write(w, id)
		return
	}
	w.Header().Set(transport.HeaderRequestID, string(c.id))
	if address := legacyAddress(c.customer, c.route); address != "" {
		s.forward(w, r, c, address, body)
		return
	}
	s.complete(w, r, c, body, request)
}

// beginCompletion reads and checks the request.
func (s *Server) beginCompletion(w http.ResponseWriter, r *http.Request) (*call, []byte, prompt.Request, *problem) {
	dir, customer, p := s.identify(r)
	if p != nil {
		return nil, nil, prompt.Request{}, p
	}
	if kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, nil, prompt.Request{}, &problem{
			status:  http.StatusUnsupportedMediaType,
			kind:    "bad-content-type",
			title:   "The content type is not application/json.",
			outcome: shelfshelf.OutcomeNotRun,
			result:  ResultRefused,
		}
	}
	body, p := s.readBody(w, r)
	if p != nil {
		return nil, nil, prompt.Request{}, p
	}
	request, err := prompt.Decode(body)
	if err != nil {
		return nil, nil, prompt.Request{}, badRequest("bad-body", err.Error())
	}
	route := dir.routes[shelfshelf.RouteName(request.Model)]
	if route == nil || route.Kind != shelfshelf.RouteCompletion {
		return nil, nil, prompt.Request{}, &problem{
			status:  http.StatusNotFound,
			kind:    "unknown-model",
			title:   "No completion route has this name.",
			detail:  "model: " + request.Model,
			outcome: shelfshelf.OutcomeNotRun,
			result:  ResultRefused,
		}
	}
	c, p := s.begin(r, dir, customer, route)
	if p != nil {
		return c, nil, request, p
	}
	return c, body, request, s.checkSize(c, &request)
}

// checkSize checks the prompt and the answer against the route, and both
// against the limits.
func (s *Server) checkSize(c *call, request *prompt.Request) *problem {
	if request.Prompt.Tokens > c.route.MaxPromptTokens {
		return badRequest("prompt-too-long", fmt.Sprintf("the prompt has about %d tokens; route %s takes %d",
			request.Prompt.Tokens, c.route.Name, c.route.MaxPromptTokens))
	}
	if request.MaxTokens > c.route.MaxOutputTokens {
		return badRequest("answer-too-long", fmt.Sprintf("max_tokens: %d is more than the %d of route %s",
			request.MaxTokens, c.route.MaxOutputTokens, c.route.Name))
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = min(defaultOutputTokens, c.route.MaxOutputTokens)
	}
	return s.admit(c, request.Prompt.Tokens+request.MaxTokens)
}

// complete has the request run and writes the answer.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, c *call, body []byte, request prompt.Request) {
	// Instances are reached by different names, so that the host says nothing.
	c.fingerprint = shelfshelf.FingerprintOf(r.Method, "", r.URL.RequestURI(), body)
	ask := c.ask()
	ask.PromptTokens = request.Prompt.Tokens
	ask.OutputTokens = request.MaxTokens
	ask.Prefix = prompt.Marks(request.Prompt.Blocks)
	engineBody, err := rewriteBody(body, c.dir.pools[c.route.Pool].Model, request.MaxTokens)
	if err != nil {
		s.fail(w, c, badRequest("bad-body", err.Error()))
		return
	}
	answer := newAnswer(w, request.Stream, r.URL.Path)
	p := s.dispatch(r.Context(), c, ask, func(ctx context.Context, target shelfshelf.Target, ticket shelfshelf.Ticket) (shelfshelf.Completion, error) {
		run := &completionRun{server: s, call: c, ticket: ticket, answer: answer}
		err := s.Engines.Complete(ctx, target, shelfshelf.CompletionCall{
			ID:       c.id,
			Path:     r.URL.Path,
			Body:     engineBody,
			Priority: ticket.Decision().Priority,
		}, run.emit)
		used := err == nil
		if run.completion.CacheKnown {
			s.Metrics.prompt(c, ask.PromptTokens, run.completion.CachedTokens, used)
		} else if !errors.Is(err, shelfshelf.ErrNotRun) {
			s.Metrics.prompt(c, ask.PromptTokens, ticket.Decision().CachedTokens, used)
		}
		return run.completion, err
	})
	if p != nil {
		if answer.started {
			answer.breakOff(p, c.id)
			s.Metrics.count(c, p.result, p.kind)
			return
		}
		s.fail(w, c, p)
		return
	}
	s.Metrics.count(c, s.result(c), "")
	answer.finish()
}

func (s *Server) fail(w http.ResponseWriter, c *call, p *problem) {
	s.Metrics.count(c, p.result, p.kind)
	p.write(w, c.id)
}

// rewriteBody makes the engine's request of the caller's: the engine's model
// name, always streamed, an explicit length.
func rewriteBody(body []byte, model string, maxTokens int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "the body is not an object")
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, eris.Wrap(err, "encode model")
	}
	length, err := json.Marshal(maxTokens)
	if err != nil {
		return nil, eris.Wrap(err, "encode max_tokens")
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = length
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	delete(fields, "max_completion_tokens")
	return json.Marshal(fields)
}

// completionRun takes the chunks of one dispatch.
type completionRun struct {
	server     *Server
	call       *call
	ticket     shelfshelf.Ticket
	answer     *answer
	completion shelfshelf.Completion
}

func (r *completionRun) emit(chunk shelfshelf.EngineChunk) error {
	if r.call.firstToken.IsZero() {
		r.call.firstToken = r.server.Clock.Now()
		r.ticket.FirstToken()
		r.server.Metrics.firstToken(r.call, r.call.firstToken.Sub(r.call.arrived))
	}
	r.completion.OutputTokens += chunk.Tokens
	if chunk.CacheKnown {
		r.completion.CacheKnown = true
		r.completion.CachedTokens = chunk.CachedTokens
	}
	return r.answer.add(chunk)
}
