package bundle

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// ReadPeriod is how often an instance reads the head.
	ReadPeriod = time.Second
	// failedReadPeriod is the same after a read that failed: with ReadPeriod, a store that
	// was away for 4.1 s right after it had accepted a bundle left the old one in force for
	// more than 5 s in 8 of 450 plays of one schedule of faults; with this in none.
	failedReadPeriod = 200 * time.Millisecond
	// readTimeout bounds one call to the store or a peer. The head and its bundle have
	// one each: a store that takes 0.7 s a call still serves operators, so it has to
	// serve instances. Two of them and a pause stay below the 5 s within which a bundle
	// has to be in force.
	readTimeout = 1500 * time.Millisecond
	// StaleAfter is how long an instance may hear neither store nor peer and
	// still serve.
	StaleAfter = 4 * time.Second
	// storeFirst is how long a bundle is sought in the store before a peer is asked.
	storeFirst = 500 * time.Millisecond
	// objectTimeout bounds a read of a bundle, which goes on after whoever began it has
	// gone on: a link of 1 Mbit/s carries 1.1 MB in 9 s. The store's client ends it sooner
	// where the store is silent.
	objectTimeout = 10 * time.Second
)

// errNotYet means that a bundle is still on its way.
var errNotYet = errors.New("the bundle is still on its way")

// Guards switches protections off, to show that tests notice; the zero value has
// them all on. Only tests set it.
type Guards struct {
	// ApplyLower applies whatever head is read last.
	ApplyLower bool
}

// Accepted is a bundle in force.
type Accepted struct {
	Head   shelfshelf.Head
	Bundle *shelfshelf.Bundle
	// Encoded is the signed bundle as it lies in the object store.
	Encoded []byte
}

// Watcher keeps an instance on the bundle in force: it reads the head of the
// store every so often and takes heads that other instances tell. It never
// applies a lower revision. It is safe for concurrent use.
type Watcher struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	Store *Store
	// Peers and Live are where a bundle comes from if the store is down.
	Peers shelfshelf.Peers
	// Apply is called with each bundle put in force, one at a time.
	Apply  func(*Accepted)
	Guards Guards

	mu       sync.Mutex
	accepted *Accepted
	trust    Trust
	storeAt  time.Time
	wanted   wanted
	wake     chan struct{}
	reads    uint64
	refused  string
	// reading is a read of a bundle that goes on, nil for none; only Run uses it.
	reading *objectRead
}

// objectRead is a read of a bundle from the store. Cut off after readTimeout, one that a
// narrow link carries in more would start from the beginning each time, and never end.
type objectRead struct {
	digest  string
	cancel  context.CancelFunc
	done    chan struct{}
	content []byte
	err     error
}

func (o *objectRead) run(ctx context.Context, objects shelfshelf.ObjectStore) {
	defer close(o.done)
	defer o.cancel()
	o.content, o.err = objects.GetObject(ctx, o.digest)
}

// wanted is the highest head heard of and who told it.
type wanted struct {
	head shelfshelf.Head
	from shelfshelf.Instance
}

// Current returns the bundle in force; nil if there is none yet.
func (w *Watcher) Current() *Accepted {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accepted
}

// Head returns the head in force, for heartbeats.
func (w *Watcher) Head() shelfshelf.Head {
	if current := w.Current(); current != nil {
		return current.Head
	}
	return shelfshelf.Head{}
}

// StoreContact returns when the head of the store was last found in force here;
// zero if never.
func (w *Watcher) StoreContact() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeAt
}

// Reads returns how often the head was read.
func (w *Watcher) Reads() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reads
}

// Object returns the signed bundle in force if it has that digest.
func (w *Watcher) Object(digest string) ([]byte, bool) {
	current := w.Current()
	if current == nil || current.Head.Digest != digest {
		return nil, false
	}
	return current.Encoded, true
}

// Heard takes a head that another instance has in force.
func (w *Watcher) Heard(from shelfshelf.Instance, head shelfshelf.Head) {
	if head.Revision <= w.Head().Revision {
		return
	}
	w.mu.Lock()
	if head.Revision >= w.wanted.head.Revision {
		// Whoever told it last is the likeliest to answer.
		w.wanted = wanted{head: head, from: from}
	}
	wake := w.waker()
	w.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// waker returns the channel that wakes Run; the lock is held.
func (w *Watcher) waker() chan struct{} {
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// Run keeps the bundle until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.mu.Lock()
	wake := w.waker()
	w.mu.Unlock()
	for {
		period := ReadPeriod
		if !w.readHead(ctx) {
			period = failedReadPeriod
		}
		w.fetchHeard(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
			w.fetchHeard(ctx)
		case <-w.Clock.After(period/2 + rand.N(period)):
		}
	}
}

// readHead reads the head of the store and applies it if it is higher. Only a
// read after which the head is in force here counts as contact with the store,
// and from the instant it was begun. It reports whether the store has answered.
func (w *Watcher) readHead(ctx context.Context) bool {
	began := w.Clock.Now()
	headCtx, cancel := context.WithTimeout(ctx, readTimeout)
	entry, ok, err := w.Store.Head(headCtx)
	cancel()
	w.mu.Lock()
	w.reads++
	w.mu.Unlock()
	if err != nil {
		w.Log.Debug("The bundle head can't be read.", "error", err)
		return false
	}
	if ok && w.newer(entry.Head) {
		encoded, err := w.readObject(ctx, entry.Head.Digest, readTimeout)
		if err != nil {
			w.Log.Warn("The bundle can't be read.", "revision", entry.Head.Revision, "error", err)
			return false
		}
		w.take(ctx, entry.Head, encoded)
	}
	if w.Head().Revision >= entry.Head.Revision {
		w.mu.Lock()
		w.storeAt = began
		w.mu.Unlock()
	}
	return true
}

// readObject begins to read a bundle from the store, or joins the read that goes on, and
// waits for it for so long; the error is errNotYet if it goes on.
func (w *Watcher) readObject(ctx context.Context, digest string, wait time.Duration) ([]byte, error) {
	if w.reading != nil && w.reading.digest != digest {
		w.reading.cancel()
		w.reading = nil
	}
	if w.reading == nil {
		read, cancel := context.WithTimeout(ctx, objectTimeout)
		w.reading = &objectRead{digest: digest, cancel: cancel, done: make(chan struct{})}
		go w.reading.run(read, w.Store.Objects)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.Clock.After(wait):
		return nil, errNotYet
	case <-w.reading.done:
	}
	read := w.reading
	w.reading = nil
	return read.content, read.err
}

func (w *Watcher) newer(head shelfshelf.Head) bool {
	current := w.Head()
	return head.Revision > current.Revision || (w.Guards.ApplyLower && head != current)
}

// fetchHeard gets the bundle that another instance has told of, from the store
// if it answers soon, else from that instance.
func (w *Watcher) fetchHeard(ctx context.Context) {
	w.mu.Lock()
	want := w.wanted
	w.mu.Unlock()
	if !w.newer(want.head) || want.head.Revision == 0 {
		return
	}
	encoded, err := w.readObject(ctx, want.head.Digest, storeFirst)
	if err != nil {
		fromPeer, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		encoded, err = w.Peers.GetObject(fromPeer, want.from, want.head.Digest)
	}
	if err != nil {
		w.Log.Warn("A bundle that another instance has can't be got.", "revision", want.head.Revision, "instance", want.from.ID, "error", err)
		return
	}
	w.take(ctx, want.head, encoded)
}

// take checks a bundle and puts it in force.
func (w *Watcher) take(ctx context.Context, head shelfshelf.Head, encoded []byte) {
	accepted, err := w.check(ctx, head, encoded)
	if err != nil {
		w.refuse(head, err)
		return
	}
	w.mu.Lock()
	if w.accepted != nil && head.Revision <= w.accepted.Head.Revision && !w.Guards.ApplyLower {
		w.mu.Unlock()
		return
	}
	w.accepted = accepted
	w.trust = TrustOf(accepted.Bundle)
	w.mu.Unlock()
	w.Log.Info("A bundle is in force.", "revision", head.Revision, "name", accepted.Bundle.Name, "digest", head.Digest)
	w.Apply(accepted)
}

// refuse logs a bundle that can't be taken, once.
func (w *Watcher) refuse(head shelfshelf.Head, err error) {
	w.mu.Lock()
	known := w.refused == head.Digest
	w.refused = head.Digest
	w.mu.Unlock()
	if !known {
		w.Log.Error("A bundle was refused.", "revision", head.Revision, "digest", head.Digest, "error", err)
	}
}

func (w *Watcher) check(ctx context.Context, head shelfshelf.Head, encoded []byte) (*Accepted, error) {
	if sum := sha256.Sum256(encoded); hex.EncodeToString(sum[:]) != head.Digest {
		return nil, eris.New("the content has another digest")
	}
	signed, parsed, err := Open(encoded)
	if err != nil {
		return nil, err
	}
	if err := w.verify(ctx, signed); err != nil {
		return nil, err
	}
	return &Accepted{Head: head, Bundle: parsed, Encoded: encoded}, nil
}

// verify checks the signatures against whom this instance trusts now. Bundles in
// between may have changed the approvers, so on a failure the chain of trust is
// followed from the store.
func (w *Watcher) verify(ctx context.Context, signed *Signed) error {
	w.mu.Lock()
	trust := w.trust
	w.mu.Unlock()
	if trust.Threshold == 0 {
		trust = w.Store.Trust
	}
	err := signed.Verify(trust.Approvers, trust.Threshold)
	if err == nil {
		return nil
	}
	before, chainErr := w.Store.TrustBefore(ctx, signed)
	if chainErr != nil {
		return err
	}
	return signed.Verify(before.Approvers, before.Threshold)
}
