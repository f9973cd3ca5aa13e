package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/claim"
	"github.com/shelfshelf/shelfshelf/crashes"
)

const (
	// DefaultMaxBody bounds a caller's body.
	DefaultMaxBody = 4 << 20
	// DefaultBodyTimeout bounds the time that a caller takes to send a body.
	DefaultBodyTimeout = 30 * time.Second
	// lateFactor times its deadline is how long a request that runs may go on; it
	// counts as late.
	lateFactor = 2
	// maxDispatches bounds how often a request that targets have refused is asked
	// again.
	maxDispatches = 4
)

// Server takes callers' requests. Fields are set before Handler is called.
type Server struct {
	Clock    shelfshelf.Clock
	Log      *log.Logger
	Granter  shelfshelf.Granter
	Engines  shelfshelf.EngineClient
	Services shelfshelf.ServiceClient
	Claims   *claim.Claims
	// Crashes knows under which requests targets have ended, and Witness finds it out; a
	// nil Witness finds out nothing.
	Crashes *crashes.Tracker
	Witness *crashes.Detector
	Metrics *Metrics
	// Instances returns how many instances are live; limits are shared by it.
	Instances func() int
	// Fit returns nil while this instance may serve, else why not.
	Fit func() error
	// NewID returns a new unguessable request id.
	NewID func() shelfshelf.RequestID
	// MaxBody bounds a body, in bytes, and BodyTimeout the time to send it; 0 means
	// the default.
	MaxBody     int64
	BodyTimeout time.Duration

	current  atomic.Pointer[directory]
	limits   limiters
	inFlight atomic.Int64
	settles  sync.WaitGroup
}

// call is one request as it goes through the entry.
type call struct {
	id       shelfshelf.RequestID
	dir      *directory
	customer *shelfshelf.Customer
	route    *shelfshelf.Route
	tier     shelfshelf.Tier
	tierName string
	arrived  time.Time
	deadline time.Time
	// fingerprint is the same for all tries of the request.
	fingerprint shelfshelf.Fingerprint
	// target is where the request was dispatched last.
	target shelfshelf.TargetName
	// firstToken is when the first token came; zero before.
	firstToken time.Time
}

// Apply puts a bundle in force for the requests that come from now on.
func (s *Server) Apply(accepted *bundle.Accepted) {
	s.current.Store(newDirectory(accepted, s.serviceHandler))
	s.Metrics.objective(accepted.Bundle.Routes)
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// WaitSettled waits until the answers of finished calls are stored.
func (s *Server) WaitSettled() {
	s.settles.Wait()
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.completion)
	mux.HandleFunc("POST /v1/completions", s.completion)
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("/", s.service)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		mux.ServeHTTP(w, r)
	})
}

// identify finds the bundle and the customer of a request.
func (s *Server) identify(r *http.Request) (*directory, *shelfshelf.Customer, *problem) {
	dir := s.current.Load()
	if dir == nil {
		return nil, nil, notRunProblem("no-bundle", "no bundle is in force yet", time.Second)
	}
	if err := s.Fit(); err != nil {
		return nil, nil, notRunProblem("not-fit", err.Error(), time.Second)
	}
	customer := dir.customer(r)
	if customer == nil {
		return nil, nil, &problem{
			status:  http.StatusUnauthorized,
			kind:    "unknown-customer",
			title:   "The bearer token belongs to no customer.",
			outcome: shelfshelf.OutcomeNotRun,
			result:  ResultRefused,
		}
	}
	return dir, customer, nil
}

// begin makes the call of a request to a route, with what the caller lowered.
func (s *Server) begin(r *http.Request, dir *directory, customer *shelfshelf.Customer, route *shelfshelf.Route) (*call, *problem) {
	if !allowed(customer, route.Name) {
		return nil, &problem{
			status:  http.StatusForbidden,
			kind:    "route-not-allowed",
			title:   "The customer may not call this route.",
			detail:  string(route.Name),
			outcome: shelfshelf.OutcomeNotRun,
			result:  ResultRefused,
		}
	}
	c := &call{
		id:       s.NewID(),
		dir:      dir,
		customer: customer,
		route:    route,
		tier:     tierOf(customer, route),
		arrived:  s.Clock.Now(),
	}
	if p := c.lowerTier(r.Header.Get(HeaderTier)); p != nil {
		return nil, p
	}
	c.tierName = dir.accepted.Bundle.Tiers[c.tier].Name
	return c, c.shortenDeadline(r.Header.Get(HeaderDeadline))
}

func (c *call) lowerTier(name string) *problem {
	if name == "" {
		return nil
	}
	tier, known := c.dir.tiers[name]
	if !known {
		return badRequest("bad-tier", HeaderTier+": unknown tier "+name)
	}
	c.tier = max(c.tier, tier)
	return nil
}

func (c *call) shortenDeadline(text string) *problem {
	deadline := c.route.Deadline
	if text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return badRequest("bad-deadline", HeaderDeadline+": "+text+" is not a duration above zero")
		}
		deadline = min(deadline, asked)
	}
	c.deadline = c.arrived.Add(deadline)
	return nil
}

// admit checks the customer's and the route's limits.
func (s *Server) admit(c *call, tokens int) *problem {
	now := s.Clock.Now()
	share := s.Instances()
	wait, ok := s.limits.allow(now, "customer/"+string(c.customer.Name), c.customer.Limits, tokens, share)
	if ok {
		wait, ok = s.limits.allow(now, "route/"+string(c.route.Name), c.route.Limits, tokens, share)
	}
	if ok {
		return nil
	}
	return refusalProblem(shelfshelf.Decision{Reason: shelfshelf.RefusedLimit, RetryAfter: wait})
}

// ask describes the call to the owner of its pool.
func (c *call) ask() shelfshelf.Ask {
	ask := shelfshelf.Ask{
		ID:       c.id,
		Customer: c.customer.Name,
		Route:    c.route.Name,
		Pool:     c.route.Pool,
		Tier:     c.tier,
		Weight:   c.customer.Weight,
		Arrived:  c.arrived,
		Deadline: c.deadline,
	}
	if c.route.FirstTokenGoal > 0 {
		ask.FirstTokenBy = c.arrived.Add(c.route.FirstTokenGoal)
		if ask.FirstTokenBy.After(c.deadline) {
			ask.FirstTokenBy = c.deadline
		}
	}
	return ask
}

// dispatchFunc runs a granted call on a target; the error is ErrNotRun if it
// provably did not run.
type dispatchFunc func(ctx context.Context, target shelfshelf.Target, ticket shelfshelf.Ticket) (shelfshelf.Completion, error)

// dispatch asks for a grant and runs the call once. Only a call that provably
// was not run is asked again, without the target that refused it.
func (s *Server) dispatch(ctx context.Context, c *call, ask shelfshelf.Ask, run dispatchFunc) *problem {
	for range maxDispatches {
		if p := s.heldBack(c); p != nil {
			return p
		}
		asking, cancel := s.until(ctx, c.deadline)
		ticket, err := s.Granter.Ask(asking, ask)
		cancel()
		if err != nil {
			return s.askFailed(ctx, err)
		}
		decision := ticket.Decision()
		if !decision.Granted {
			return refusalProblem(decision)
		}
		p, again := s.runGranted(ctx, c, ticket, run)
		if !again {
			return p
		}
		ask.Avoid = append(ask.Avoid, decision.Target)
	}
	return notRunProblem("refused-by-targets", "every target that was tried refused the request", time.Second)
}

// heldBack refuses a request that ends whatever runs it, at whichever instance and under
// whichever id it comes again.
func (s *Server) heldBack(c *call) *problem {
	hold, held := s.Crashes.CheckQuarantine(c.fingerprint, c.id)
	if !held {
		return nil
	}
	return notRunProblem("held-back", fmt.Sprintf("%d targets have ended under this request", hold.Crashes), hold.Remaining)
}

func (s *Server) askFailed(ctx context.Context, err error) *problem {
	if ctx.Err() != nil {
		p := notRunProblem("cancelled", "the caller went away", 0)
		p.result = ResultCancelled
		return p
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return refusalProblem(shelfshelf.Decision{Reason: shelfshelf.RefusedDeadline, RetryAfter: time.Second})
	}
	return notRunProblem("no-decision", err.Error(), time.Second)
}

// runGranted uses one grant. again is true if the call was provably not run and
// may be asked again.
func (s *Server) runGranted(ctx context.Context, c *call, ticket shelfshelf.Ticket, run dispatchFunc) (_ *problem, again bool) {
	decision := ticket.Decision()
	completion := shelfshelf.Completion{ID: c.id, Target: decision.Target, Outcome: shelfshelf.OutcomeNotRun}
	target := s.current.Load().targets[decision.Target]
	if target == nil || !s.Clock.Now().Before(decision.ValidUntil) {
		ticket.Done(completion)
		return nil, true
	}
	c.target = target.Name
	running, cancel := s.until(ctx, c.arrived.Add(lateFactor*c.deadline.Sub(c.arrived)))
	defer cancel()
	completion, err := run(running, *target, ticket)
	completion.ID, completion.Target = c.id, target.Name
	switch {
	case err == nil:
		completion.Outcome = shelfshelf.OutcomeDone
	case errors.Is(err, shelfshelf.ErrNotRun):
		completion.Outcome = shelfshelf.OutcomeNotRun
		completion.Refused = ctx.Err() == nil && !errors.Is(err, shelfshelf.ErrRejected)
	default:
		completion.Outcome = shelfshelf.OutcomeUnknown
	}
	ticket.Done(completion)
	switch {
	case err == nil:
		s.Crashes.RequestCompleted(c.fingerprint)
		return nil, false
	case errors.Is(err, shelfshelf.ErrRejected):
		return badRequest("rejected", "the engine does not take this request"), false
	case errors.Is(err, shelfshelf.ErrNotRun) && ctx.Err() == nil:
		s.Log.Info("A target did not run a request.", "request", c.id, "target", target.Name, "error", err)
		return nil, true
	case errors.Is(err, shelfshelf.ErrNotRun):
		return s.askFailed(ctx, err), false
	}
	s.Log.Warn("A request may have run without a whole answer.", "request", c.id, "target", target.Name, "error", err)
	p := unknownProblem("target " + string(target.Name) + " gave no whole answer")
	if ctx.Err() != nil {
		p.result = ResultCancelled
		return p, false
	}
	if s.Witness != nil {
		s.Witness.ResponseBroken(*target, c.fingerprint)
	}
	return p, false
}

// until bounds a context by an instant of the server's clock.
func (s *Server) until(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadline.Sub(s.Clock.Now()))
}

// result tells a good answer from a late one.
func (s *Server) result(c *call) Result {
	now := s.Clock.Now()
	first := c.firstToken
	if first.IsZero() {
		first = now
	}
	if now.After(c.deadline) || (c.route.FirstTokenGoal > 0 && first.Sub(c.arrived) > c.route.FirstTokenGoal) {
		return ResultLate
	}
	return ResultGood
}

// Target returns a target of the bundle in force.
func (s *Server) Target(name shelfshelf.TargetName) (shelfshelf.Target, bool) {
	dir := s.current.Load()
	if dir == nil || dir.targets[name] == nil {
		return shelfshelf.Target{}, false
	}
	return *dir.targets[name], true
}

// readBody reads a caller's body up to the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem) {
	limit := s.MaxBody
	if limit == 0 {
		limit = DefaultMaxBody
	}
	timeout := s.BodyTimeout
	if timeout == 0 {
		timeout = DefaultBodyTimeout
	}
	// Writers that know no deadline, as in tests, have no slow callers.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// After an error the deadline stays: net/http reads what is left of a body
		// before it closes, and would wait for ever.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &problem{
			status:  http.StatusRequestEntityTooLarge,
			kind:    "body-too-large",
			title:   "The body is too large.",
			detail:  "the limit is " + strconv.FormatInt(limit, 10) + " bytes",
			outcome: shelfshelf.OutcomeNotRun,
			result:  ResultRefused,
		}
	}
	if err != nil {
		return nil, badRequest("body-broken", "the body broke off")
	}
	return body, nil
}

// models lists the completion routes that the customer may call.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	dir, customer, p := s.identify(r)
	if p != nil {
		p.write(w, "")
		return
	}
	type wireModel struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string      `json:"object"`
		Data   []wireModel `json:"data"`
	}{Object: "list", Data: []wireModel{}}
	for _, route := range dir.accepted.Bundle.Routes {
		if route.Kind == shelfshelf.RouteCompletion && allowed(customer, route.Name) {
			list.Data = append(list.Data, wireModel{ID: string(route.Name), Object: "model", OwnedBy: "shelfshelf"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, shelfshelf.OutcomeDone.String())
	_ = json.NewEncoder(w).Encode(list)
}
