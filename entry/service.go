package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/claim"
	"github.com/shelfshelf/shelfshelf/transport"
)

const (
	// settleTimeout bounds how long a finished call's answer is tried to be stored.
	settleTimeout = time.Minute
	maxKeyBytes   = 256
)

// forwardedHeaders are the headers of a caller that a service gets.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", HeaderKey}

// service serves the routes that the bundle declares for plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	dir := s.current.Load()
	if dir == nil {
		notRunProblem("no-bundle", "no bundle is in force yet", time.Second).write(w, "")
		return
	}
	handler, pattern := dir.services.Handler(r)
	if pattern == "" {
		p := &problem{
			status:  http.StatusNotFound,
			kind:    "unknown-route",
			title:   "No route has this method and path.",
			detail:  r.Method + " " + r.URL.Path,
			outcome: shelfshelf.OutcomeNotRun,
		}
		p.write(w, "")
		return
	}
	handler.ServeHTTP(w, r)
}

// serviceHandler returns the handler of one service route.
func (s *Server) serviceHandler(route *shelfshelf.Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		dir, customer, p := s.identify(r)
		if p != nil {
			p.write(w, "")
			return
		}
		// The bundle in force may be newer than the one this handler was made for;
		// the captured route is shared by all requests and must not be changed.
		current := dir.routes[route.Name]
		if current == nil {
			current = route
		}
		c, p := s.begin(r, dir, customer, current)
		if p != nil {
			p.write(w, "")
			return
		}
		w.Header().Set(transport.HeaderRequestID, string(c.id))
		body, p := s.readBody(w, r)
		if p == nil {
			p = s.admit(c, 0)
		}
		if p != nil {
			s.fail(w, c, p)
			return
		}
		if address := legacyAddress(customer, current); address != "" {
			s.forward(w, r, c, address, body)
			return
		}
		s.serveService(w, r, c, body)
	}
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request, c *call, body []byte) {
	c.fingerprint = shelfshelf.FingerprintOf(r.Method, "", r.URL.RequestURI(), body)
	run := &serviceRun{server: s, call: c}
	run.request = shelfshelf.ServiceCall{
		ID:         c.id,
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Header:     make(http.Header),
		Body:       body,
		Repeatable: c.route.Repeatable,
	}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			run.request.Header.Set(name, value)
		}
	}
	p := run.once(r.Context(), r.Header.Get(HeaderKey))
	if p != nil {
		s.fail(w, c, p)
		return
	}
	s.Metrics.count(c, s.result(c), run.reason)
	writeService(w, run.answer)
}

func writeService(w http.ResponseWriter, answer shelfshelf.ServiceAnswer) {
	if kind := answer.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.Header().Set(HeaderOutcome, shelfshelf.OutcomeDone.String())
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// serviceRun is one call of a plain service.
type serviceRun struct {
	server  *Server
	call    *call
	request shelfshelf.ServiceCall
	answer  shelfshelf.ServiceAnswer
	// reason is set if the answer is an earlier attempt's.
	reason string
}

// once runs the call; one that may not be repeated is claimed before.
func (r *serviceRun) once(ctx context.Context, key string) *problem {
	if r.call.route.Repeatable {
		return r.dispatch(ctx)
	}
	if key == "" || len(key) > maxKeyBytes {
		return badRequest("no-idempotency-key", "this route may not be repeated: "+HeaderKey+" must be set, with up to 256 bytes")
	}
	digest := claim.Digest(r.request.Method, r.request.Path, r.request.Body)
	claiming, cancel := r.server.until(ctx, r.call.deadline)
	held, stored, err := r.server.Claims.Begin(claiming, r.call.customer.Name, key, digest)
	cancel()
	if err != nil {
		return claimProblem(err)
	}
	if stored != nil {
		r.answer = *stored
		r.reason = "stored"
		return nil
	}
	p := r.dispatch(ctx)
	r.settle(held, p)
	return p
}

// settle stores what became of a claimed call, while the caller already has it.
func (r *serviceRun) settle(held *claim.Claim, p *problem) {
	if p != nil && p.outcome == shelfshelf.OutcomeUnknown {
		return
	}
	r.server.settles.Add(1)
	go r.runSettle(held, p)
}

func (r *serviceRun) runSettle(held *claim.Claim, p *problem) {
	defer r.server.settles.Done()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	var err error
	if p == nil {
		err = r.server.Claims.Finish(ctx, held, r.answer)
	} else {
		err = r.server.Claims.Release(ctx, held)
	}
	if err != nil {
		r.server.Log.Warn("What became of a claimed call could not be stored.", "request", r.call.id, "error", err)
	}
}

func claimProblem(err error) *problem {
	switch {
	case errors.Is(err, claim.ErrOtherBody):
		return &problem{
			status:  http.StatusUnprocessableEntity,
			kind:    "key-reused",
			title:   "The Idempotency-Key was used for another call.",
			outcome: shelfshelf.OutcomeNotRun,
			result:  ResultRefused,
		}
	case errors.Is(err, claim.ErrUnknown):
		return &problem{
			status:     http.StatusConflict,
			kind:       "earlier-attempt",
			title:      "An earlier attempt with this key is running or may have run.",
			outcome:    shelfshelf.OutcomeUnknown,
			retryAfter: time.Second,
			result:     ResultUnknown,
		}
	}
	return notRunProblem("claim-not-confirmed", err.Error(), time.Second)
}

// dispatch runs the call on a target.
func (r *serviceRun) dispatch(ctx context.Context) *problem {
	ask := r.call.ask()
	ask.OutputTokens = 1
	return r.server.dispatch(ctx, r.call, ask, func(ctx context.Context, target shelfshelf.Target, ticket shelfshelf.Ticket) (shelfshelf.Completion, error) {
		if !r.call.route.Repeatable {
			// The caller may go away; the call and its claim go on.
			var cancel context.CancelFunc
			ctx, cancel = r.server.until(context.WithoutCancel(ctx), r.call.arrived.Add(lateFactor*r.call.route.Deadline))
			defer cancel()
		}
		answer, err := r.server.Services.Call(ctx, target, r.request)
		r.answer = answer
		return shelfshelf.Completion{OutputTokens: 1}, err
	})
}
