package claim_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/claim"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/keys"
)

// bubble runs a test in simulated time with claims of one instance.
func bubble(t *testing.T, test func(t *testing.T, claims *claim.Claims, store *fake.Store)) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		store := fake.NewStore(clock)
		claims := newClaims(clock, store)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = claims.Run(ctx)
		}()
		test(t, claims, store)
		cancel()
		<-ended
	})
}

func newClaims(clock shelfshelf.Clock, store *fake.Store) *claim.Claims {
	return &claim.Claims{
		Clock:    clock,
		Log:      log.New(io.Discard),
		Table:    store,
		Instance: "i",
		Nonce:    keys.NewNonce,
		WaitFor:  time.Second,
	}
}

func within(span time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), span)
}

func TestRetryGetsTheStoredAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, claims *claim.Claims, _ *fake.Store) {
		ctx, cancel := within(5 * time.Second)
		defer cancel()
		held, _, err := claims.Begin(ctx, "c", "k", "digest")
		if err != nil || held == nil {
			t.Fatal(held, err)
		}
		if err := claims.Finish(ctx, held, shelfshelf.ServiceAnswer{Status: 201, Body: []byte("b")}); err != nil {
			t.Fatal(err)
		}
		again, answer, err := claims.Begin(ctx, "c", "k", "digest")
		if err != nil || again != nil || answer == nil || answer.Status != 201 || string(answer.Body) != "b" {
			t.Fatal(again, answer, err)
		}
		if _, _, err := claims.Begin(ctx, "c", "k", "other"); !errors.Is(err, claim.ErrOtherBody) {
			t.Fatal(err)
		}
	})
}

func TestClaimOfADeadHolderIsUnknownForEver(t *testing.T) {
	bubble(t, func(t *testing.T, claims *claim.Claims, _ *fake.Store) {
		ctx, cancel := within(48 * time.Hour)
		defer cancel()
		if _, _, err := claims.Begin(ctx, "c", "k", "digest"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(24 * time.Hour)
		if _, _, err := claims.Begin(ctx, "c", "k", "digest"); !errors.Is(err, claim.ErrUnknown) {
			t.Fatal(err)
		}
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	bubble(t, func(t *testing.T, claims *claim.Claims, store *fake.Store) {
		store.SetFaults(fake.StoreFaults{LoseAnswers: 1})
		ctx, cancel := within(5 * time.Second)
		defer cancel()
		held, _, err := claims.Begin(ctx, "c", "k", "digest")
		if err != nil || held == nil {
			t.Fatal(held, err)
		}
		if err := claims.Release(ctx, held); err != nil {
			t.Fatal(err)
		}
		if held, _, err = claims.Begin(ctx, "c", "k", "digest"); err != nil || held == nil {
			t.Fatal("a released call can't be claimed again", err)
		}
	})
}

func TestStoreDownEndsAsNotConfirmed(t *testing.T) {
	bubble(t, func(t *testing.T, claims *claim.Claims, store *fake.Store) {
		store.SetFaults(fake.StoreFaults{Down: true})
		ctx, cancel := within(2 * time.Second)
		defer cancel()
		began := time.Now()
		if _, _, err := claims.Begin(ctx, "c", "k", "digest"); !errors.Is(err, claim.ErrNotConfirmed) {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited != 2*time.Second {
			t.Fatalf("waited %v", waited)
		}
		// Once the store is back, the call can be made.
		store.SetFaults(fake.StoreFaults{})
		again, cancelAgain := within(5 * time.Second)
		defer cancelAgain()
		if held, _, err := claims.Begin(again, "c", "k", "digest"); err != nil || held == nil {
			t.Fatal(held, err)
		}
	})
}

func TestManyClaimsShareTransactions(t *testing.T) {
	bubble(t, func(t *testing.T, claims *claim.Claims, store *fake.Store) {
		store.SetFaults(fake.StoreFaults{Delay: 5 * time.Millisecond})
		ctx, cancel := within(5 * time.Second)
		defer cancel()
		var callers sync.WaitGroup
		for i := range 500 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				if _, _, err := claims.Begin(ctx, "c", fmt.Sprint(i), "digest"); err != nil {
					t.Error(err)
				}
			}()
		}
		callers.Wait()
		transactions, rows := claims.Writes()
		t.Logf("%d rows in %d transactions", rows, transactions)
		if rows != 500 || transactions > 50 {
			t.Errorf("%d rows took %d transactions", rows, transactions)
		}
	})
}

func TestOneOfManyClaims(t *testing.T) {
	bubble(t, func(t *testing.T, claims *claim.Claims, _ *fake.Store) {
		ctx, cancel := within(5 * time.Second)
		defer cancel()
		var mu sync.Mutex
		held := 0
		var callers sync.WaitGroup
		for range 20 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				one, _, _ := claims.Begin(ctx, "c", "k", "digest")
				mu.Lock()
				defer mu.Unlock()
				if one != nil {
					held++
				}
			}()
		}
		callers.Wait()
		if held != 1 {
			t.Errorf("%d callers hold the claim", held)
		}
	})
}
