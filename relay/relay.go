package relay

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bounds"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/parts"
	"github.com/shelfshelf/shelfshelf/rollout"
	"github.com/shelfshelf/shelfshelf/transfer"
)

const (
	// responseTimeout bounds the time to the first byte of another instance's response and the gap
	// between bytes. The total time is unbounded, or an instance on a slow link would never receive a
	// large response.
	responseTimeout = 600 * time.Millisecond
	// minFetchInterval is the pause after each fetch before the next one of the same kind.
	minFetchInterval = 100 * time.Millisecond
	// idleConnTimeout is how long an idle connection to another instance is kept open.
	idleConnTimeout = 90 * time.Second
	// paramAfter is the query parameter with the version of the list of targets that the client has.
	paramAfter = "after"
	// paramLeaving is the one that asks for since when targets are leaving.
	paramLeaving = "leaving"
	// maxFetchBytes bounds the size of a response and of a configuration.
	maxFetchBytes = 16 << 20
	// maxRequestBytes bounds the list of parts that another instance asks for, and requestBodyTimeout the time in
	// which it arrives.
	maxRequestBytes    = 1 << 20
	requestBodyTimeout = 10 * time.Second
)

// Relay serves this instance's state to other instances and fetches newer state from them.
// The exported fields must be set before Run.
type Relay struct {
	Clock   shelfshelf.Clock
	Log     *log.Logger
	Catalog *catalog.Catalog
	// Usage returns the usage of customers, for an instance that is starting. The error is ErrUnavailable
	// if the usage is not known here yet and ErrNotFound if no instance knows it. If nil, the usage is
	// never known here.
	Usage func() (shelfshelf.SavedUsages, error)
	// Crashes returns all known target crashes. The error is ErrUnavailable if they are not known here
	// yet. If nil, they are never known here.
	Crashes func() ([]shelfshelf.Crash, error)
	// VersionReport returns this instance's counts per pool and version. If nil, it keeps no counts.
	VersionReport func() rollout.Report
	// Instances returns the known instances. If nil, they are never known here.
	Instances func() shelfshelf.KnownInstances
	// OnFetch, if set, is called after each fetch with the kind of the fetched resource, the progress of
	// the transfer and whether the result was accepted.
	OnFetch func(kind string, progress transfer.Progress, ok bool)
	// OnExceeded, if set, is called when another instance's response exceeds a bound.
	OnExceeded func(address string, exceeded *bounds.Exceeded)
	// Dial opens connections to other instances. If nil, the operating system's dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	client               http.Client
	configurationFetches chan pendingFetch
	targetFetches        chan pendingFetch

	// receivedParts are the parts of a configuration that is still incomplete. Only the fetch loop of
	// configurations accesses them.
	receivedParts map[parts.ID][]byte

	mu sync.Mutex
	// split caches the configuration in force, split into parts, once it has been requested.
	split *splitConfiguration
}

// pendingFetch is a queued fetch from another instance that announced newer state.
type pendingFetch struct {
	address string
	// needed reports whether that state is still newer than the local one.
	needed func() bool
}

// Init initializes the queues and the HTTP client. It must be called before HandleStatus and Run.
func (r *Relay) Init() {
	r.configurationFetches = make(chan pendingFetch, 1)
	r.targetFetches = make(chan pendingFetch, 1)
	r.client.Transport = &http.Transport{
		DialContext: r.Dial, DisableCompression: true, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: transfer.MaxHeaderBytes,
	}
}

// Handler returns the HTTP handler that serves this instance's state to other instances.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /"+kindConfiguration, r.serveManifest)
	mux.HandleFunc("POST /"+kindParts, r.serveParts)
	mux.HandleFunc("GET /"+kindTargets, r.serveTargets)
	mux.HandleFunc("GET /"+kindUsage, r.serveUsage)
	mux.HandleFunc("GET /"+kindCrashes, r.serveCrashes)
	mux.HandleFunc("GET /"+kindVersions, r.serveVersions)
	mux.HandleFunc("GET /"+kindInstances, r.serveInstances)
	return mux
}

// serveTargets sends the changes since the version that the other instance has, or the whole list.
func (r *Relay) serveTargets(w http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get(paramAfter), 10, 64)
	if err != nil {
		after = 0
	}
	delta := r.Catalog.TargetsSince(after)
	if delta.ValidAt.IsZero() {
		http.Error(w, "no targets are known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeTargets(delta, r.Clock.Now(), request.URL.Query().Has(paramLeaving))
	r.writeResponse(w, content, err)
}

func (r *Relay) writeResponse(w http.ResponseWriter, content []byte, err error) {
	if err != nil {
		r.Log.Error("Encoding a response for another instance failed.", "error", err)
		http.Error(w, "can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if _, err := w.Write(content); err != nil {
		r.Log.Debug("Writing a response to another instance failed.", "error", err)
	}
}

// HandleStatus processes another instance's status and queues fetches of whatever is newer there. The
// status is no older than at; a zero at means that its age is unknown.
func (r *Relay) HandleStatus(status shelfshelf.Status, at time.Time) {
	if r.Catalog.RecordRevision(status.Revision) {
		r.Log.Info("Another instance announced a newer configuration.", "revision", status.Revision, "from", status.From.ID)
	}
	switch {
	case status.Revision == 0:
	case r.Catalog.IsNewer(status.Revision):
		enqueue(r.configurationFetches, pendingFetch{status.From.Address, func() bool { return r.Catalog.IsNewer(status.Revision) }})
	case !at.IsZero():
		r.Catalog.ConfirmConfiguration(status.Revision, at.Add(-status.RevisionAge))
	}
	knownVersion, _ := r.Catalog.TargetsVersion()
	switch {
	case status.TargetsVersion > knownVersion:
		enqueue(r.targetFetches, pendingFetch{status.From.Address, func() bool {
			known, _ := r.Catalog.TargetsVersion()
			return status.TargetsVersion > known
		}})
	case status.TargetsVersion == knownVersion && status.TargetsVersion > 0 && !at.IsZero():
		r.Catalog.ConfirmTargets(status.TargetsVersion, at.Add(-status.TargetsAge))
	}
}

// enqueue adds a fetch to the queue, or drops it if the queue is full.
func enqueue(queue chan pendingFetch, pending pendingFetch) {
	select {
	case queue <- pending:
	default:
	}
}

// Run fetches newer state from other instances until the context is cancelled.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return r.fetchLoop(ctx, r.configurationFetches, kindConfiguration, r.fetchConfiguration) }, func(error) { cancel() })
	group.Add(func() error { return r.fetchLoop(ctx, r.targetFetches, kindTargets, r.fetchTargets) }, func(error) { cancel() })
	return group.Run()
}

func (r *Relay) fetchLoop(ctx context.Context, queue <-chan pendingFetch, kind string, fetch func(context.Context, *exchange) error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case pending := <-queue:
			// Fetching what has arrived in the meantime again would waste bandwidth.
			if !pending.needed() {
				continue
			}
			r.fetchFrom(ctx, pending.address, kind, fetch)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.Clock.After(minFetchInterval):
		}
	}
}

// fetchFrom runs one fetch from another instance and reports the outcome.
func (r *Relay) fetchFrom(ctx context.Context, address, kind string, fetch func(context.Context, *exchange) error) {
	e := &exchange{relay: r, address: address, startedAt: r.Clock.Now()}
	err := fetch(ctx, e)
	if ctx.Err() != nil {
		return
	}
	r.report(e, kind, err)
}

// report logs the outcome of an exchange and passes it to OnFetch.
func (r *Relay) report(e *exchange, kind string, err error) {
	e.progress.Took = r.Clock.Now().Sub(e.startedAt)
	if r.OnFetch != nil {
		r.OnFetch(kind, e.progress, err == nil)
	}
	fields := []any{"kind", kind, "from", e.address, "bytes", e.progress.Bytes, "asks", e.requests, "first", e.progress.First, "took", e.progress.Took}
	if exceeded := (*bounds.Exceeded)(nil); r.OnExceeded != nil && errors.As(err, &exceeded) {
		r.OnExceeded(e.address, exceeded)
	}
	if err != nil {
		r.Log.Warn("A fetch from another instance failed.", append(fields, "error", err)...)
		return
	}
	r.Log.Info("A fetch from another instance succeeded.", fields...)
}

func (r *Relay) fetchTargets(ctx context.Context, e *exchange) error {
	knownVersion, _ := r.Catalog.TargetsVersion()
	query := paramAfter + "=" + strconv.FormatUint(knownVersion, 10) + "&" + paramLeaving
	content, err := e.send(ctx, http.MethodGet, kindTargets+"?"+query, nil)
	if err != nil {
		return err
	}
	delta, err := decodeTargets(content, e.startedAt)
	if err != nil {
		return err
	}
	r.Catalog.OfferDelta(delta, e.address)
	return nil
}

// fetchOnce fetches and decodes a resource with a single request to another instance, and reports the
// outcome.
func fetchOnce[T any](ctx context.Context, r *Relay, address, kind string, decode func([]byte) (T, error)) (T, error) {
	e := &exchange{relay: r, address: address, startedAt: r.Clock.Now()}
	content, err := e.send(ctx, http.MethodGet, kind, nil)
	var result T
	if err == nil {
		result, err = decode(content)
	}
	r.report(e, kind, err)
	return result, err
}

// exchange is the series of requests to another instance that make up one fetch.
type exchange struct {
	relay     *Relay
	address   string
	startedAt time.Time
	requests  int
	progress  transfer.Progress
}

// send sends one request and adds its transfer to the progress of the exchange.
func (e *exchange) send(ctx context.Context, method, kind string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+"/"+kind, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request to another instance")
	}
	limits := transfer.Limits{First: responseTimeout, Silence: responseTimeout, Bytes: maxFetchBytes}
	response, err := transfer.Do(e.relay.Clock, &e.relay.client, request, limits)
	if e.requests == 0 {
		e.progress.First = response.First
	}
	e.requests++
	e.progress.Bytes += response.Bytes
	if err != nil {
		return nil, eris.Wrap(err, "request to another instance")
	}
	switch response.Status {
	case http.StatusOK:
		return response.Body, nil
	case http.StatusNotFound:
		return nil, eris.Wrap(shelfshelf.ErrNotFound, "another instance")
	}
	return nil, eris.Errorf("another instance answered %d", response.Status)
}
