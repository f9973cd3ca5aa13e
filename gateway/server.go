package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/crashes"
	"github.com/shelfshelf/shelfshelf/quota"
	"github.com/shelfshelf/shelfshelf/retrybudget"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// defaultPatience is how long a caller waits that doesn't say.
	defaultPatience = 15 * time.Second
	// defaultMaxBody bounds a body where the configuration doesn't, in bytes.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the time that a caller takes to send a body.
	bodyTimeout = 10 * time.Second
	// startingRetryAfter is what callers are told while no configuration is known.
	startingRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is what callers are told by an instance that ends; another one
	// serves them at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// leaseRetryAfter is what callers are told while keys can't be checked.
	leaseRetryAfter = time.Second
)

// Catalog is what the gateway knows of the configuration.
type Catalog interface {
	// Index returns the configuration in force, or nil, and up to when it is known
	// to hold.
	Index() (*catalog.Index, time.Time)
	// Superseded reports that a newer configuration than the one in force is known of.
	Superseded() bool
}

// Server carries requests. Fields are set before it is used.
type Server struct {
	Clock    shelfshelf.Clock
	Log      *log.Logger
	Codec    shelfshelf.CallCodec
	Catalog  Catalog
	Balancer *balance.Balancer
	Upstream *upstream.Client
	Quota    *quota.Ledger
	Retries  *retrybudget.Budget
	// Crashes knows under which requests targets have ended, and Witness finds it out.
	Crashes *crashes.Record
	Witness *crashes.Witness
	Metrics *Metrics
	// MaxHeld bounds what is held of callers' bodies, over all requests, in bytes; 0 means
	// unbounded.
	MaxHeld int64
	// Fit reports that this instance may take connections.
	Fit func() bool

	// keyLease is how old the knowledge of the configuration may be for keys to be
	// taken; an older one may miss that a key was revoked.
	keyLease atomic.Int64
	inFlight atomic.Int64
	held     held
	stopping atomic.Bool
	refusing atomic.Bool
}

// SetKeyLease sets how old the knowledge of the configuration may be for keys to
// be taken.
func (s *Server) SetKeyLease(lease time.Duration) {
	s.keyLease.Store(int64(lease))
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// Stop makes every further answer close its connection.
func (s *Server) Stop() {
	s.stopping.Store(true)
}

// RefuseAll refuses every further request: the process ends soon.
func (s *Server) RefuseAll() {
	s.refusing.Store(true)
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() || !s.Fit() {
		// The caller's next connection reaches an instance that can serve it.
		w.Header().Set("Connection", "close")
	}
	c := &request{server: s, writer: w, http: r, arrived: s.Clock.Now()}
	defer c.finish()
	defer c.letGo()
	c.boundWriting(defaultPatience)
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.serve()
}

// admit finds the route and the customer and charges the limit.
func (c *request) admit() *refusal {
	s := c.server
	if s.refusing.Load() {
		return notRun(http.StatusServiceUnavailable, "this instance is about to end", stoppingRetryAfter)
	}
	index, at := s.Catalog.Index()
	if index == nil {
		return notRun(http.StatusServiceUnavailable, "no configuration is known yet", startingRetryAfter)
	}
	c.index = index
	c.configurationAge = c.arrived.Sub(at)
	c.route = index.Route(c.http.Host, c.http.URL.Path)
	if c.route == nil {
		return c.unknown(http.StatusNotFound, "no route")
	}
	call, err := s.Codec.Call(c.http.Header)
	c.call = call
	if err != nil {
		return final(http.StatusBadRequest, err.Error())
	}
	if refused := c.identify(); refused != nil {
		return refused
	}
	if refused := c.readBody(); refused != nil {
		return refused
	}
	c.setDeadline()
	if refused := c.heldBack(); refused != nil {
		return refused
	}
	return c.checkLimit()
}

// identify finds the holder of the key.
func (c *request) identify() *refusal {
	if c.route.Public {
		return c.checkPublic()
	}
	if !c.keysKnown() {
		return notRun(http.StatusServiceUnavailable, "keys can't be checked: the configuration is too old", leaseRetryAfter)
	}
	c.customer = c.index.Customer(c.call.Key)
	if c.customer == nil {
		return c.unknown(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// unknown refuses what the configuration in force doesn't have. That is final unless a
// newer one is known of, which may have it: callers take no for an answer.
func (c *request) unknown(status int, text string) *refusal {
	if c.server.Catalog.Superseded() {
		return notRun(http.StatusServiceUnavailable, text+" yet: a newer configuration is known of", startingRetryAfter)
	}
	return final(status, text)
}

// checkPublic refuses calls without a key where a newer configuration is known of that
// could not be had for as long as keys may be trusted: the route may go elsewhere by now.
func (c *request) checkPublic() *refusal {
	if c.server.Catalog.Superseded() && !c.keysKnown() {
		return notRun(http.StatusServiceUnavailable, "a newer configuration is known of, and the one in force is too old", leaseRetryAfter)
	}
	return nil
}

// keysKnown reports that the configuration is young enough to trust its keys now.
func (c *request) keysKnown() bool {
	_, at := c.server.Catalog.Index()
	return c.server.Clock.Now().Sub(at) < time.Duration(c.server.keyLease.Load())
}

// readBody reads the whole body; it may be sent more than once.
func (c *request) readBody() *refusal {
	limit := c.index.Bundle.Callers.BodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return final(http.StatusBadRequest, "the connection takes no deadline")
	}
	body, err := io.ReadAll(heldBody{request: c, body: http.MaxBytesReader(c.writer, c.http.Body, limit)})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return final(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if errors.Is(err, errTooMuchHeld) {
		return notRun(http.StatusServiceUnavailable, err.Error(), heldRetryAfter)
	}
	if err != nil {
		return final(http.StatusBadRequest, "the body broke off")
	}
	// Writers that know no deadline, as in tests, have none to lift.
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	c.fingerprint = shelfshelf.FingerprintOf(c.http.Method, c.http.Host, c.http.RequestURI, body)
	return nil
}

// setDeadline bounds the request by the caller's patience and the route's time.
func (c *request) setDeadline() {
	patience := c.call.Patience
	if patience == 0 {
		patience = defaultPatience
	}
	if c.route.Deadline > 0 {
		patience = min(patience, c.route.Deadline)
	}
	c.deadline = c.arrived.Add(patience)
	c.boundWriting(c.left())
}

// checkLimit takes the request's tokens from the customer's limit.
func (c *request) checkLimit() *refusal {
	if c.customer == nil {
		return nil
	}
	c.tokens = c.customer.Limits.PlainTokens
	if c.call.Counted {
		c.tokens = c.call.PromptTokens + c.call.MaxOutputTokens
	}
	c.quota = c.server.Quota.Charge(c.customer, c.tokens)
	if !c.quota.OK {
		return notRun(http.StatusTooManyRequests, "over the customer's limit", c.quota.Wait)
	}
	c.charge = c.quota.Entry
	return nil
}

// serve carries an admitted request.
func (c *request) serve() {
	ctx, cancel := context.WithTimeout(c.http.Context(), c.left())
	defer cancel()
	c.ctx = ctx
	c.pool = c.pickPool()
	c.server.Retries.Request(c.pool)
	if c.route.Kind == shelfshelf.RouteStream {
		c.serveStream()
		return
	}
	c.servePlain()
}

// pickPool picks a pool by the weights of a split route; the same request always
// falls to the same part.
func (c *request) pickPool() shelfshelf.PoolName {
	total := 0
	for _, share := range c.route.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return c.route.Pool
	}
	point := int(hashOf(string(c.call.ID)) % uint64(total))
	for _, share := range c.route.Shares {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Pool
		}
	}
	return c.route.Pool
}
