package relay

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/parts"
	"github.com/shelfshelf/shelfshelf/rollout"
	"github.com/shelfshelf/shelfshelf/transfer"
)

const (
	// answerTime bounds the time until another instance's answer begins, and the time
	// without another byte of it. The whole has no bound, or a link too narrow to carry it
	// in that time would never have it.
	answerTime = 600 * time.Millisecond
	// fetchPause is the least time between two fetches of the same kind.
	fetchPause = 100 * time.Millisecond
	// idleTimeout is how long a connection to another instance is kept unused.
	idleTimeout = 90 * time.Second
	// queryAfter holds the version of the list of targets that is known.
	queryAfter = "after"
	// maxFetched bounds what is fetched, in bytes.
	maxFetched = 16 << 20
)

// Relay hands out what this instance knows and fetches what others know better.
// Fields are set before Run.
type Relay struct {
	Clock   shelfshelf.Clock
	Log     *log.Logger
	Catalog *catalog.Catalog
	// Uses returns what customers have used, for an instance that starts; the error is
	// ErrUnavailable if that is not known here yet, ErrNotFound if nobody knows. Nil means
	// that it never is.
	Uses func() (shelfshelf.SavedUses, error)
	// Crashes returns all that is known of targets that ended; the error is ErrUnavailable
	// if that is not known here yet. Nil means that it never is.
	Crashes func() ([]shelfshelf.Crash, error)
	// Versions returns what this instance has counted of pools' versions; nil means nothing.
	Versions func() rollout.Report
	// Instances returns all instances that are known here; false while not all are. Nil means that
	// they never are.
	Instances func() ([]shelfshelf.Instance, bool)
	// Fetched is told of each fetch: what was fetched, how far it came and whether it
	// was taken; may be nil.
	Fetched func(kind string, progress transfer.Progress, ok bool)
	// Dial opens connections to the others; nil means the operating system's.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	client         http.Client
	configurations chan offer
	targets        chan offer

	// received are parts of a configuration that is still to be put together; only the
	// loop of configurations uses them.
	received map[parts.ID][]byte

	mu sync.Mutex
	// cut is the configuration in force in parts, once it was asked for.
	cut *cutConfiguration
}

// offer is another instance's word that it knows something newer.
type offer struct {
	address string
	// wanted reports that it is still newer than what is known here.
	wanted func() bool
}

// Init makes the parts that Heard and Run need; it is called before them.
func (r *Relay) Init() {
	r.configurations = make(chan offer, 1)
	r.targets = make(chan offer, 1)
	r.client.Transport = &http.Transport{DialContext: r.Dial, DisableCompression: true, IdleConnTimeout: idleTimeout}
}

// Handler serves what this instance knows to the others.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /"+kindConfiguration, r.serveManifest)
	mux.HandleFunc("POST /"+kindParts, r.serveParts)
	mux.HandleFunc("GET /"+kindTargets, r.serveTargets)
	mux.HandleFunc("GET /"+kindUses, r.serveUses)
	mux.HandleFunc("GET /"+kindCrashes, r.serveCrashes)
	mux.HandleFunc("GET /"+kindVersions, r.serveVersions)
	mux.HandleFunc("GET /"+kindInstances, r.serveInstances)
	return mux
}

// serveTargets answers with what has changed since the version that the other instance knows, or with
// the whole list.
func (r *Relay) serveTargets(w http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get(queryAfter), 10, 64)
	if err != nil {
		after = 0
	}
	delta := r.Catalog.TargetsSince(after)
	if delta.At.IsZero() {
		http.Error(w, "no targets are known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeTargets(delta, r.Clock.Now())
	r.write(w, content, err)
}

func (r *Relay) write(w http.ResponseWriter, content []byte, err error) {
	if err != nil {
		r.Log.Error("Knowledge can't be encoded.", "error", err)
		http.Error(w, "can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if _, err := w.Write(content); err != nil {
		r.Log.Debug("An instance did not take what it asked for.", "error", err)
	}
}

// Heard takes what another instance says of its knowledge; at is an instant that
// this is surely no older than, zero if there is none.
func (r *Relay) Heard(status shelfshelf.Status, at time.Time) {
	if r.Catalog.HeardOf(status.Revision) {
		r.Log.Info("A newer configuration is known of.", "revision", status.Revision, "from", status.From.ID)
	}
	switch {
	case status.Revision == 0:
	case r.Catalog.Lacks(status.Revision):
		leave(r.configurations, offer{status.From.Address, func() bool { return r.Catalog.Lacks(status.Revision) }})
	case !at.IsZero():
		r.Catalog.Confirm(status.Revision, at.Add(-status.RevisionAge))
	}
	version, _ := r.Catalog.TargetsKnown()
	switch {
	case status.TargetsVersion > version:
		leave(r.targets, offer{status.From.Address, func() bool {
			known, _ := r.Catalog.TargetsKnown()
			return status.TargetsVersion > known
		}})
	case status.TargetsVersion == version && status.TargetsVersion > 0 && !at.IsZero():
		r.Catalog.ConfirmTargets(status.TargetsVersion, at.Add(-status.TargetsAge))
	}
}

// leave leaves an offer, unless one waits already.
func leave(offers chan offer, o offer) {
	select {
	case offers <- o:
	default:
	}
}

// Run fetches until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return r.loop(ctx, r.configurations, kindConfiguration, r.fetchConfiguration) }, func(error) { cancel() })
	group.Add(func() error { return r.loop(ctx, r.targets, kindTargets, r.fetchTargets) }, func(error) { cancel() })
	return group.Run()
}

func (r *Relay) loop(ctx context.Context, offers <-chan offer, kind string, fetch func(context.Context, *exchange) error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-offers:
			// A second fetch of what has come meanwhile would fill the link for nothing.
			if !o.wanted() {
				continue
			}
			r.take(ctx, o.address, kind, fetch)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.Clock.After(fetchPause):
		}
	}
}

// take fetches what another instance knows, and tells of it.
func (r *Relay) take(ctx context.Context, address, kind string, fetch func(context.Context, *exchange) error) {
	e := &exchange{relay: r, address: address, began: r.Clock.Now()}
	err := fetch(ctx, e)
	if ctx.Err() != nil {
		return
	}
	r.report(e, kind, err)
}

// report logs and counts what became of an exchange.
func (r *Relay) report(e *exchange, kind string, err error) {
	e.progress.Took = r.Clock.Now().Sub(e.began)
	if r.Fetched != nil {
		r.Fetched(kind, e.progress, err == nil)
	}
	fields := []any{"kind", kind, "from", e.address, "bytes", e.progress.Bytes, "asks", e.asks, "first", e.progress.First, "took", e.progress.Took}
	if err != nil {
		r.Log.Warn("Another instance gave no knowledge.", append(fields, "error", err)...)
		return
	}
	r.Log.Info("Another instance gave knowledge.", fields...)
}

func (r *Relay) fetchTargets(ctx context.Context, e *exchange) error {
	known, _ := r.Catalog.TargetsKnown()
	content, err := e.ask(ctx, http.MethodGet, kindTargets+"?"+queryAfter+"="+strconv.FormatUint(known, 10), nil)
	if err != nil {
		return err
	}
	delta, err := decodeTargets(content, e.began)
	if err != nil {
		return err
	}
	r.Catalog.OfferDelta(delta, e.address)
	return nil
}

// fetchOnce asks another instance for one piece of knowledge and reads it, and reports what
// became of that.
func fetchOnce[T any](ctx context.Context, r *Relay, address, kind string, decode func([]byte) (T, error)) (T, error) {
	e := &exchange{relay: r, address: address, began: r.Clock.Now()}
	content, err := e.ask(ctx, http.MethodGet, kind, nil)
	var known T
	if err == nil {
		known, err = decode(content)
	}
	r.report(e, kind, err)
	return known, err
}

// exchange is what is asked of another instance for one piece of knowledge.
type exchange struct {
	relay    *Relay
	address  string
	began    time.Time
	asks     int
	progress transfer.Progress
}

// ask asks once and adds up how far the exchange has come.
func (e *exchange) ask(ctx context.Context, method, kind string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+"/"+kind, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "ask another instance")
	}
	limits := transfer.Limits{First: answerTime, Silence: answerTime, Bytes: maxFetched}
	answer, err := transfer.Do(e.relay.Clock, &e.relay.client, request, limits)
	if e.asks == 0 {
		e.progress.First = answer.First
	}
	e.asks++
	e.progress.Bytes += answer.Bytes
	if err != nil {
		return nil, eris.Wrap(err, "ask another instance")
	}
	switch answer.Status {
	case http.StatusOK:
		return answer.Body, nil
	case http.StatusNotFound:
		return nil, eris.Wrap(shelfshelf.ErrNotFound, "another instance")
	}
	return nil, eris.Errorf("another instance answered %d", answer.Status)
}
