package claim_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/claim"
	"github.com/shelfshelf/shelfshelf/fake"
)

// TestOldClaimsAreDeleted lets months go by: settled claims go after a week, held
// ones only after three months.
func TestOldClaimsAreDeleted(t *testing.T) {
	bubble(t, func(t *testing.T, claims *claim.Claims, store *fake.Store) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range 20 {
			held, _, err := claims.Begin(ctx, "c", fmt.Sprint(i), "digest")
			if err != nil {
				t.Fatal(err)
			}
			if i%2 == 0 {
				if err := claims.Finish(ctx, held, shelfshelf.ServiceAnswer{Status: 200}); err != nil {
					t.Fatal(err)
				}
			}
		}
		left := func() int {
			rows, err := store.Scan(ctx, "claim/", 0)
			if err != nil {
				t.Fatal(err)
			}
			return len(rows)
		}
		sweeper := &claim.Sweeper{
			Clock:     claims.Clock,
			Log:       log.New(io.Discard),
			Table:     store,
			Mine:      func() bool { return true },
			Customers: func() []shelfshelf.CustomerName { return []shelfshelf.CustomerName{"c"} },
		}
		running, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); _ = sweeper.Run(running) }()
		time.Sleep(claim.KeepSettled - time.Hour)
		if left() != 20 {
			t.Errorf("%d claims left before the time", left())
		}
		time.Sleep(3 * 24 * time.Hour)
		if left() != 10 {
			t.Errorf("%d claims left once the settled ones are old", left())
		}
		time.Sleep(claim.KeepHeld)
		if left() != 0 {
			t.Errorf("%d claims left once all are old", left())
		}
		stop()
		<-ended
	})
}
