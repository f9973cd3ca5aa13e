package bundle_test

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/deploy"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/keys"
)

// person is an approver.
type person struct {
	name    string
	public  ed25519.PublicKey
	private ed25519.PrivateKey
}

func newPerson(t *testing.T, name string) person {
	t.Helper()
	public, private, err := keys.NewApprover()
	if err != nil {
		t.Fatal(err)
	}
	return person{name: name, public: public, private: private}
}

// signedBy returns the example bundle with a name, naming one approver for the
// next bundle and signed by another.
func signedBy(t *testing.T, name string, next, signer person) *bundle.Signed {
	t.Helper()
	raw, err := deploy.Bundle("prairie")
	if err != nil {
		t.Fatal(err)
	}
	var content map[string]any
	if err := json.Unmarshal(raw, &content); err != nil {
		t.Fatal(err)
	}
	content["name"] = name
	content["approvers"] = []any{map[string]any{"name": next.name, "publicKey": hex.EncodeToString(next.public)}}
	encoded, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	signed := &bundle.Signed{Content: encoded}
	signed.Sign(signer.name, signer.private)
	return signed
}

func storeTrusting(store *fake.Store, trusted person) *bundle.Store {
	return &bundle.Store{
		Clock:   clockwork.NewRealClock(),
		Table:   store,
		Objects: store,
		Trust:   bundle.Trust{Approvers: []shelfshelf.Approver{{Name: trusted.name, PublicKey: trusted.public}}, Threshold: 1},
		Nonce:   keys.NewNonce,
	}
}

func TestApproversChangeByABundle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alex, kim := newPerson(t, "alex"), newPerson(t, "kim")
		platform := fake.NewStore(clockwork.NewRealClock())
		store := storeTrusting(platform, alex)
		ctx := context.Background()
		if _, err := store.Roll(ctx, signedBy(t, "first", alex, alex), "op"); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Roll(ctx, signedBy(t, "to kim", kim, alex), "op"); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Roll(ctx, signedBy(t, "by alex", kim, alex), "op"); !errors.Is(err, bundle.ErrSignature) {
			t.Fatalf("the old key still signs: %v", err)
		}
		third, err := store.Roll(ctx, signedBy(t, "by kim", kim, kim), "op")
		if err != nil || third.Head.Revision != 3 {
			t.Fatal(third, err)
		}
		// A fresh instance that knows only the first key gets to the third bundle.
		watcher := &bundle.Watcher{
			Clock: store.Clock,
			Log:   log.New(io.Discard),
			Store: storeTrusting(platform, alex),
			Apply: func(*bundle.Accepted) {},
		}
		running, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); _ = watcher.Run(running) }()
		time.Sleep(time.Second)
		if got := watcher.Head().Revision; got != 3 {
			t.Errorf("a fresh instance is at revision %d", got)
		}
		// One that trusts another key takes nothing.
		stranger := &bundle.Watcher{
			Clock: store.Clock,
			Log:   log.New(io.Discard),
			Store: storeTrusting(platform, newPerson(t, "alex")),
			Apply: func(*bundle.Accepted) { t.Error("a bundle of strangers was put in force") },
		}
		go func() { _ = stranger.Run(running) }()
		time.Sleep(5 * time.Second)
		cancel()
		<-ended
	})
}

// narrowObjects is a store whose objects come over a narrow link.
type narrowObjects struct {
	*fake.Store
	takes time.Duration
	reads atomic.Int64
}

func (s *narrowObjects) GetObject(ctx context.Context, digest string) ([]byte, error) {
	s.reads.Add(1)
	select {
	case <-ctx.Done():
		return nil, shelfshelf.ErrUnavailable
	case <-time.After(s.takes):
		return s.Store.GetObject(ctx, digest)
	}
}

// A bundle that takes longer than a call may take comes into force all the same, by one
// read that goes on: read anew each time it would never come whole, and fill the link.
func TestLargeBundlesComeOverNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 6 * time.Second
		alex := newPerson(t, "alex")
		platform := fake.NewStore(clockwork.NewRealClock())
		store := storeTrusting(platform, alex)
		objects := &narrowObjects{Store: platform, takes: takes}
		ctx, cancel := context.WithCancel(t.Context())
		if _, err := store.Roll(ctx, signedBy(t, "first", alex, alex), "op"); err != nil {
			t.Fatal(err)
		}
		store.Objects = objects
		watcher := &bundle.Watcher{Clock: store.Clock, Log: log.New(io.Discard), Store: store, Apply: func(*bundle.Accepted) {}}
		ended := make(chan struct{})
		go func() { defer close(ended); _ = watcher.Run(ctx) }()
		time.Sleep(takes + 2*bundle.ReadPeriod)
		if got := watcher.Head().Revision; got != 1 {
			t.Errorf("revision %d is in force", got)
		}
		if got := objects.reads.Load(); got != 1 {
			t.Errorf("the bundle was read %d times", got)
		}
		cancel()
		<-ended
	})
}

func TestRollsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alex := newPerson(t, "alex")
		platform := fake.NewStore(clockwork.NewRealClock())
		store := storeTrusting(platform, alex)
		ctx := context.Background()
		platform.SetFaults(fake.StoreFaults{LoseAnswers: 1})
		first, err := store.Roll(ctx, signedBy(t, "first", alex, alex), "op")
		if err != nil || first.Head.Revision != 1 {
			t.Fatalf("a lost answer was not read back: %v", err)
		}
		platform.SetFaults(fake.StoreFaults{Down: true})
		if _, err := store.Roll(ctx, signedBy(t, "second", alex, alex), "op"); !errors.Is(err, shelfshelf.ErrUnavailable) {
			t.Fatalf("a roll during an outage ended with %v", err)
		}
		platform.SetFaults(fake.StoreFaults{})
		// Two operators at once: one is accepted, the other is told.
		results := make(chan error, 2)
		for _, name := range []string{"left", "right"} {
			signed := signedBy(t, name, alex, alex)
			go func() {
				_, err := store.Roll(ctx, signed, name)
				results <- err
			}()
		}
		one, other := <-results, <-results
		if accepted := (one == nil) != (other == nil); !accepted && (one != nil || other != nil) {
			t.Errorf("racing rolls ended with %v and %v", one, other)
		}
		for _, err := range []error{one, other} {
			if err != nil && !errors.Is(err, bundle.ErrRaced) {
				t.Errorf("the loser was told %v", err)
			}
		}
		back, err := store.Rollback(ctx, 1, "op")
		if err != nil || back.RollbackOf != 1 || back.Head.Digest != first.Head.Digest || back.Head.Revision < 3 {
			t.Errorf("rollback: %+v, %v", back, err)
		}
	})
}
