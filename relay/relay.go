package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/transfer"
)

const (
	// fetchTimeout bounds one fetch from another instance.
	fetchTimeout = 600 * time.Millisecond
	// fetchPause is the least time between two fetches of the same kind.
	fetchPause = 100 * time.Millisecond
	// idleTimeout is how long a connection to another instance is kept unused.
	idleTimeout = 90 * time.Second
	// maxFetched bounds what is fetched, in bytes.
	maxFetched = 16 << 20
)

// Relay hands out what this instance knows and fetches what others know better.
// Fields are set before Run.
type Relay struct {
	Clock   shelfshelf.Clock
	Log     *log.Logger
	Catalog *catalog.Catalog
	// Fetched is told of each fetch: what was fetched, how far it came and whether it
	// was taken; may be nil.
	Fetched func(kind string, progress transfer.Progress, ok bool)
	// Dial opens connections to the others; nil means the operating system's.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	client http.Client
	// newest is the newest revision heard of that was not in force here then.
	newest         atomic.Uint64
	configurations chan string
	targets        chan string
}

// Init makes the parts; it is called before Heard and Run.
func (r *Relay) Init() {
	r.configurations = make(chan string, 1)
	r.targets = make(chan string, 1)
	r.client.Transport = &http.Transport{DialContext: r.Dial, DisableCompression: true, IdleConnTimeout: idleTimeout}
}

// Handler serves what this instance knows to the others.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /"+kindConfiguration, r.serveConfiguration)
	mux.HandleFunc("GET /"+kindTargets, r.serveTargets)
	return mux
}

func (r *Relay) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	index, at := r.Catalog.Index()
	if index == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	content, err := cbor.Marshal(wireConfiguration{Age: int64(r.Clock.Now().Sub(at)), Encoded: index.Encoded})
	r.write(w, content, err)
}

func (r *Relay) serveTargets(w http.ResponseWriter, _ *http.Request) {
	snapshot := r.Catalog.Targets()
	if snapshot.At.IsZero() {
		http.Error(w, "no targets are known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeTargets(snapshot, r.Clock.Now())
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
	index, _ := r.Catalog.Index()
	switch {
	case status.Revision == 0:
	case index == nil || status.Revision > index.Revision:
		r.noteNewer(status, index)
		offer(r.configurations, status.From.Address)
	case status.Revision == index.Revision && !at.IsZero():
		r.Catalog.Confirm(status.Revision, at.Add(-status.RevisionAge))
	}
	version, _ := r.Catalog.TargetsKnown()
	switch {
	case status.TargetsVersion > version:
		offer(r.targets, status.From.Address)
	case status.TargetsVersion == version && status.TargetsVersion > 0 && !at.IsZero():
		r.Catalog.ConfirmTargets(status.TargetsVersion, at.Add(-status.TargetsAge))
	}
}

// noteNewer tells of a revision that is newer than the one in force, once.
func (r *Relay) noteNewer(status shelfshelf.Status, index *catalog.Index) {
	newest := r.newest.Load()
	if uint64(status.Revision) <= newest || !r.newest.CompareAndSwap(newest, uint64(status.Revision)) {
		return
	}
	var inForce shelfshelf.Revision
	if index != nil {
		inForce = index.Revision
	}
	r.Log.Info("A newer configuration is known of.", "revision", status.Revision, "from", status.From.ID, "inForce", inForce)
}

// offer leaves an address to fetch from, unless one waits already.
func offer(addresses chan string, address string) {
	select {
	case addresses <- address:
	default:
	}
}

// Run fetches until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return r.loop(ctx, r.configurations, kindConfiguration, r.takeConfiguration) }, func(error) { cancel() })
	group.Add(func() error { return r.loop(ctx, r.targets, kindTargets, r.takeTargets) }, func(error) { cancel() })
	return group.Run()
}

func (r *Relay) loop(ctx context.Context, addresses <-chan string, kind string, take func([]byte, time.Time, string) error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-addresses:
			r.fetch(ctx, address, kind, take)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.Clock.After(fetchPause):
		}
	}
}

// fetch takes what another instance knows, and tells of it.
func (r *Relay) fetch(ctx context.Context, address, kind string, take func([]byte, time.Time, string) error) {
	asked := r.Clock.Now()
	answer, err := r.ask(ctx, address, kind)
	if err == nil {
		err = take(answer.Body, asked, address)
	}
	if ctx.Err() != nil {
		return
	}
	if r.Fetched != nil {
		r.Fetched(kind, answer.Progress, err == nil)
	}
	fields := []any{"kind", kind, "from", address, "bytes", answer.Bytes, "expected", answer.Expected, "first", answer.First, "took", answer.Took}
	if err != nil {
		r.Log.Warn("Another instance gave no knowledge.", append(fields, "error", err)...)
		return
	}
	r.Log.Info("Another instance gave knowledge.", fields...)
}

func (r *Relay) takeConfiguration(content []byte, asked time.Time, from string) error {
	var wire wireConfiguration
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return eris.Wrap(err, "decode configuration")
	}
	return r.Catalog.Offer(wire.Encoded, asked.Add(-time.Duration(wire.Age)), from)
}

func (r *Relay) takeTargets(content []byte, asked time.Time, from string) error {
	snapshot, err := decodeTargets(content, asked)
	if err != nil {
		return err
	}
	r.Catalog.OfferTargets(snapshot, from)
	return nil
}

func (r *Relay) ask(ctx context.Context, address, kind string) (transfer.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+kind, nil)
	if err != nil {
		return transfer.Answer{}, eris.Wrap(err, "ask another instance")
	}
	answer, err := transfer.Do(r.Clock, &r.client, request, transfer.Limits{Whole: fetchTimeout, Bytes: maxFetched})
	if err != nil {
		return answer, eris.Wrap(err, "ask another instance")
	}
	if answer.Status != http.StatusOK {
		return answer, eris.Errorf("another instance answered %d", answer.Status)
	}
	return answer, nil
}
