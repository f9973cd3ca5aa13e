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
	"github.com/shelfshelf/shelfshelf/bounds"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/crashes"
	"github.com/shelfshelf/shelfshelf/quota"
	"github.com/shelfshelf/shelfshelf/retrybudget"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// defaultCallerTimeout applies to callers that don't send a timeout.
	defaultCallerTimeout = 15 * time.Second
	// defaultMaxBodyBytes is the maximum body size if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// bodyReadTimeout is how long a caller may take to send the body.
	bodyReadTimeout = 10 * time.Second
	// startingRetryAfter is the Retry-After sent while no configuration, or not the newest one, is
	// loaded.
	startingRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After sent by an instance that is about to stop. It is short
	// because another instance can serve the retry at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// staleKeysRetryAfter is the Retry-After sent while the configuration is too old to be relied on,
	// such as for checking keys.
	staleKeysRetryAfter = time.Second
)

// Catalog provides the configuration.
type Catalog interface {
	// Index returns the configuration in force, or nil, and the time at which it was last confirmed to
	// be current.
	Index() (*catalog.Index, time.Time)
	// HasNewerRevision reports whether a newer configuration than the one in force is known to exist.
	HasNewerRevision() bool
}

// Sender sends requests to targets.
type Sender interface {
	// Send sends a request to an address and returns once the head of the response has been read. The error is
	// ErrNotRun if nothing was sent, joined with ErrOwnLink if that says nothing of the target, and
	// ErrIncompleteResponse otherwise.
	Send(ctx context.Context, address string, request upstream.Request) (*upstream.Response, error)
}

// Server is the HTTP handler for callers' requests. Its exported fields must be set before use.
type Server struct {
	Clock    shelfshelf.Clock
	Log      *log.Logger
	Codec    shelfshelf.CallCodec
	Catalog  Catalog
	Balancer *balance.Balancer
	Upstream Sender
	Quota    *quota.Ledger
	Retries  *retrybudget.Budget
	// Crashes records which requests were running when targets crashed. Witness detects such crashes.
	Crashes       *crashes.Tracker
	CrashDetector *crashes.Detector
	Metrics       *Metrics
	// Origins remembers at which versions streams began; nil means that streams go on at any version.
	Origins shelfshelf.StreamOrigins
	// MaxBufferedBytes limits the bytes buffered over all requests; 0 means unlimited. Request bodies beyond it
	// are refused. Plain responses and long events count too, and fail at a somewhat higher limit.
	MaxBufferedBytes int64
	// OnExceeded, if set, is called when the response of a target exceeds a bound on bodies, events or the buffer.
	OnExceeded func(target shelfshelf.Target, exceeded *bounds.Exceeded)
	// Ready reports whether this instance may accept connections.
	Ready func() bool

	// keyLease is the maximum age of the configuration for accepting keys. An older configuration may
	// still hold a key that has been revoked.
	keyLease    atomic.Int64
	inFlight    atomic.Int64
	buffered    bufferUsage
	stopping    atomic.Bool
	refusingAll atomic.Bool
}

// SetKeyLease sets the maximum age of the configuration for accepting keys.
func (s *Server) SetKeyLease(lease time.Duration) {
	s.keyLease.Store(int64(lease))
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// Stop makes every further response close its connection.
func (s *Server) Stop() {
	s.stopping.Store(true)
}

// RefuseAll refuses all further requests. It is called shortly before the process ends.
func (s *Server) RefuseAll() {
	s.refusingAll.Store(true)
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() || !s.Ready() {
		// The caller's next connection reaches an instance that can serve it.
		w.Header().Set("Connection", "close")
	}
	c := &request{server: s, writer: w, incoming: r, arrived: s.Clock.Now()}
	defer c.finish()
	defer c.releaseBuffer()
	c.setWriteDeadline(defaultCallerTimeout)
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.serve()
}

// admit finds the route and the customer, reads the body and charges the customer's quota.
func (c *request) admit() *refusal {
	s := c.server
	if refused := c.checkStopping(); refused != nil {
		return refused
	}
	index, confirmedAt := s.Catalog.Index()
	if index == nil {
		return retryableRefusal(http.StatusServiceUnavailable, "no configuration is known yet", startingRetryAfter)
	}
	c.index = index
	c.configurationAge = c.arrived.Sub(confirmedAt)
	c.route = index.Route(c.incoming.Host, c.incoming.URL.Path)
	if c.route == nil {
		return c.refuseUnknown(http.StatusNotFound, "no route")
	}
	call, err := s.Codec.Call(c.incoming.Header)
	c.call = call
	c.parts = shelfshelf.FingerprintsOfParts(call.Prompt)
	if err != nil {
		return finalRefusal(http.StatusBadRequest, err.Error())
	}
	if refused := c.authenticate(); refused != nil {
		return refused
	}
	if refused := c.readBody(); refused != nil {
		return refused
	}
	// The body may have taken long to come.
	if refused := c.checkStopping(); refused != nil {
		return refused
	}
	c.setDeadline()
	if refused := c.checkQuarantine(); refused != nil {
		return refused
	}
	return c.chargeQuota()
}

// checkStopping refuses a request that comes too late in a stop to be served before the process ends.
func (c *request) checkStopping() *refusal {
	if !c.server.refusingAll.Load() {
		return nil
	}
	c.writer.Header().Set("Connection", "close")
	return retryableRefusal(http.StatusServiceUnavailable, "this instance is about to end", stoppingRetryAfter)
}

// authenticate finds the customer that the key belongs to.
func (c *request) authenticate() *refusal {
	if c.route.Public {
		return c.checkPublicRoute()
	}
	if !c.keysTrusted() {
		return retryableRefusal(http.StatusServiceUnavailable, "keys can't be checked: the configuration is too old", staleKeysRetryAfter)
	}
	c.customer = c.index.Customer(c.call.Key)
	if c.customer == nil {
		return c.refuseUnknown(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// refuseUnknown refuses a request whose route or key is not in the configuration in force. If a newer
// configuration is known to exist, the refusal is temporary, because callers don't retry a final one.
func (c *request) refuseUnknown(status int, text string) *refusal {
	if c.server.Catalog.HasNewerRevision() {
		return retryableRefusal(http.StatusServiceUnavailable, text+" yet: a newer configuration is known of", startingRetryAfter)
	}
	return finalRefusal(status, text)
}

// checkPublicRoute refuses requests for a public route if a newer configuration exists that could not
// be loaded for longer than the key lease. That configuration may send the route elsewhere.
func (c *request) checkPublicRoute() *refusal {
	if c.server.Catalog.HasNewerRevision() && !c.keysTrusted() {
		return retryableRefusal(http.StatusServiceUnavailable, "a newer configuration is known of, and the one in force is too old", staleKeysRetryAfter)
	}
	return nil
}

// keysTrusted reports whether the configuration is recent enough to accept its keys.
func (c *request) keysTrusted() bool {
	_, confirmedAt := c.server.Catalog.Index()
	return c.server.Clock.Now().Sub(confirmedAt) < time.Duration(c.server.keyLease.Load())
}

// readBody reads the whole body, which may have to be sent more than once.
func (c *request) readBody() *refusal {
	limit := c.index.Bundle.CallerLimits.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return finalRefusal(http.StatusBadRequest, "the connection takes no deadline")
	}
	body, err := io.ReadAll(bufferedBody{request: c, body: http.MaxBytesReader(c.writer, c.incoming.Body, limit)})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return finalRefusal(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if errors.Is(err, errBufferFull) {
		return retryableRefusal(http.StatusServiceUnavailable, err.Error(), bufferFullRetryAfter)
	}
	if err != nil {
		return finalRefusal(http.StatusBadRequest, "the body broke off")
	}
	// Writers without deadline support, as in tests, are left as they are.
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	c.fingerprint = shelfshelf.FingerprintOf(c.incoming.Method, c.incoming.Host, c.incoming.RequestURI, body)
	return nil
}

// setDeadline sets the request's deadline from the caller's timeout and the route's limit.
func (c *request) setDeadline() {
	timeout := c.call.Timeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	if c.route.Deadline > 0 {
		timeout = min(timeout, c.route.Deadline)
	}
	c.deadline = c.arrived.Add(timeout)
	c.setWriteDeadline(c.timeLeft())
}

// serve serves an admitted request.
func (c *request) serve() {
	ctx, cancel := context.WithTimeout(c.incoming.Context(), c.timeLeft())
	defer cancel()
	c.ctx = ctx
	c.pool = c.selectPool()
	c.server.Retries.CountRequest(c.pool)
	if c.route.Kind == shelfshelf.RouteStream {
		c.serveStream()
		return
	}
	c.servePlain()
}

// selectPool selects a pool by the weights of a split route. The same request ID always selects the
// same pool, and a stream that is taken up that of its first attempt.
func (c *request) selectPool() shelfshelf.PoolName {
	total := 0
	for _, share := range c.route.PoolShares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return c.route.Pool
	}
	id := c.call.ID
	if c.takesUp() && c.call.Resumes != "" {
		id = c.call.Resumes
	}
	point := int(hashString(string(id)) % uint64(total))
	for _, share := range c.route.PoolShares {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Pool
		}
	}
	return c.route.Pool
}
