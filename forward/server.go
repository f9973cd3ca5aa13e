package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// maxRequests is how many requests of other instances are served at once. With more, an instance that
	// most others come to would serve its own callers late.
	maxRequests = 256
	// maxTransit is how long a request may be on its way after it was asked for, beside the time that its size
	// takes at minTransitRate bytes a second. One that is later has a deadline that is too late by as much.
	maxTransit     = 400 * time.Millisecond
	minTransitRate = 1 << 20
	// serveTimeout bounds the time that a request of another instance takes whose end isn't known.
	serveTimeout = 10 * time.Minute
	// writeGrace is how long after its end the last of a response may still be written.
	writeGrace = time.Second
	copyBytes  = 32 << 10
	// waitInterval is how often Wait looks.
	waitInterval = 20 * time.Millisecond
)

// Server serves requests of other instances that don't reach a target. Set the exported fields before use. It
// is safe for concurrent use.
type Server struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Direct *upstream.Client
	// Links knows which links of this instance fail.
	Links *Client
	// Lookup returns the list entry of a target.
	Lookup func(shelfshelf.TargetName) (shelfshelf.Target, bool)
	// IsInstance reports whether a host is that of an instance.
	IsInstance func(host string) bool
	// MaxHeldBytes bounds the bodies in memory, all together; 0 means unlimited. A request whose body doesn't fit
	// is not taken.
	MaxHeldBytes int64
	// OnServed, if set, is called with the outcome of each request.
	OnServed func(outcome string)

	inFlight  atomic.Int64
	heldBytes atomic.Int64
	stopping  atomic.Bool
}

// InFlight returns how many requests of other instances are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Stop refuses further requests.
func (s *Server) Stop() { s.stopping.Store(true) }

// Wait waits until no request of another instance is being served, or the context ends.
func (s *Server) Wait(ctx context.Context) {
	for s.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(waitInterval):
		}
	}
}

// ServeHTTP serves one request of another instance.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.IsInstance(hostOf(r.RemoteAddr)) {
		s.Log.Warn("A host that is no instance asked for a target.", "from", r.RemoteAddr)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	// The deadline of the request before on the connection. Writers without deadline support, as in tests, are
	// left as they are.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	in := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	target := shelfshelf.TargetName(r.Header.Get(headerTarget))
	told := outcomeBusy
	if in <= maxRequests && !s.stopping.Load() {
		told = s.serve(w, r, target)
	}
	if s.OnServed != nil {
		s.OnServed(string(told))
	}
	switch told {
	case outcomeComplete, outcomeReached:
	case outcomeClosed, outcomeBroken:
		// The head of the response may be out.
	default:
		s.refuse(w, told)
		s.Log.Debug("A request of another instance was not taken.", "from", r.RemoteAddr, "target", target, "outcome", told)
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// refuse says that nothing was sent.
func (s *Server) refuse(w http.ResponseWriter, told outcome) {
	w.Header().Set(headerOutcome, string(told))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serve connects to the target, asks for the request and passes the response on. An outcome other than
// complete, closed or broken means that nothing was sent and no response has been written.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, name shelfshelf.TargetName) outcome {
	probe := r.Header.Get(headerProbe) != ""
	target, found := s.lookup(name, r.Header.Get(headerAddress), probe)
	if !found {
		return outcomeUnknown
	}
	if s.Links.failing(target) {
		return outcomeCut
	}
	reserved, told := s.Links.reserve(r.Context(), target, probe || r.Header.Get(headerFresh) == "true")
	if reserved == nil {
		return told
	}
	if probe {
		reserved.Cancel()
		w.Header().Set(headerOutcome, string(outcomeReached))
		w.WriteHeader(http.StatusOK)
		return outcomeReached
	}
	body, room := s.holdBody(w, r)
	if !room {
		reserved.Cancel()
		return outcomeBusy
	}
	defer body.release()
	asked := s.Clock.Now()
	request, timeout, err := body.decode()
	_, listed := s.lookup(name, target.Address, false)
	if err != nil || !listed || s.Clock.Now().Sub(asked) > transitTime(body.read) {
		reserved.Cancel()
		return outcomeUnsent
	}
	request.Target = target
	began := s.Clock.Now()
	ctx, cancel := s.limit(w, r, timeout)
	defer cancel()
	told, status := s.exchange(ctx, w, reserved, request)
	s.Log.Info("A request of another instance has ended.", "request", request.ID, "from", r.RemoteAddr, "target", name,
		"status", status, "outcome", told, "took", s.Clock.Now().Sub(began))
	return told
}

// lookup returns a target that is listed at an address and may get requests. A probe may be of one that is leaving.
func (s *Server) lookup(name shelfshelf.TargetName, address string, probe bool) (shelfshelf.Target, bool) {
	target, found := s.Lookup(name)
	return target, found && target.Address == address && (probe || !target.Leaving)
}

// limit ends a request with its time, also where the instance that handed it over can't say any more that its
// caller has gone.
func (s *Server) limit(w http.ResponseWriter, r *http.Request, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 || timeout > serveTimeout {
		timeout = serveTimeout
	}
	// Writers without deadline support, as in tests, are left as they are.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeGrace))
	return context.WithTimeout(r.Context(), timeout)
}

// transitTime returns how long a request of some bytes may be on its way.
func transitTime(bytes int64) time.Duration {
	return maxTransit + time.Duration(bytes)*time.Second/minTransitRate
}

// exchange sends the request and passes the response on.
func (s *Server) exchange(ctx context.Context, w http.ResponseWriter, reserved *upstream.Reservation, request upstream.Request) (outcome, int) {
	response, err := directConnection{Reservation: reserved, client: s.Links}.Send(ctx, request)
	if err != nil {
		told := brokenOutcome(err)
		w.Header().Set(headerOutcome, string(told))
		w.WriteHeader(http.StatusBadGateway)
		return told, 0
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Trailer", headerOutcome)
	w.WriteHeader(http.StatusOK)
	if err := writeHead(w, response); err != nil {
		return outcomeBroken, response.Status
	}
	told := passOn(w, response.Body)
	w.Header().Set(headerOutcome, string(told))
	return told, response.Status
}

// brokenOutcome says how a round trip failed that may have run.
func brokenOutcome(err error) outcome {
	if upstream.ClosedByTarget(err) {
		return outcomeClosed
	}
	return outcomeBroken
}

// passOn passes a body on as it comes.
func passOn(w http.ResponseWriter, body io.Reader) outcome {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	if control.Flush() != nil {
		return outcomeBroken
	}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return outcomeBroken
			}
		}
		switch {
		case err == io.EOF:
			return outcomeComplete
		case err != nil:
			return brokenOutcome(err)
		case control.Flush() != nil:
			return outcomeBroken
		}
	}
}
