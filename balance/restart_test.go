package balance_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
)

// promptNeed asks for a prompt of two parts that other requests share.
func promptNeed(id string) balance.Need {
	n := need(id, 0)
	n.Prompt = []shelfshelf.PromptPart{{ID: "a", Tokens: 600}, {ID: "b", Tokens: 400}}
	return n
}

// A target that starts again under its name runs nothing, holds no prompt and may be
// reached; what comes late of its earlier life changes nothing of that. Its beliefs hung on
// its name alone.
func TestANewLifeBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &balance.Balancer{Clock: clockwork.NewRealClock(), DataCentre: here}
		pools, targets := engines(2, here)
		targets[0].Born = time.UnixMilli(1000)
		b.SetTargets(pools, targets)
		first := acquire(t, b, promptNeed("r1"))
		first.FirstToken()
		second := acquire(t, b, promptNeed("r2"))
		if second.CachedTokens == 0 {
			t.Error("the prompt that it has just read is not known of")
		}
		b.Heard("other", []shelfshelf.TargetLoad{{Target: shelfshelf.KeyOfTarget("t0"), Requests: 2}})

		later := targets[0]
		later.Born = time.UnixMilli(2000)
		b.SetTargets(pools, []shelfshelf.Target{later})
		first.Release(balance.Result{Failed: true, Unreachable: true})
		third := acquire(t, b, promptNeed("r3"))
		if third.CachedTokens != 0 || third.InFlight != 0 {
			t.Errorf("its new life is thought to hold %d tokens and to run %d", third.CachedTokens, third.InFlight)
		}
		second.Release(balance.Result{Failed: true, Unreachable: true})
		acquire(t, b, promptNeed("r4"))
		if _, err := b.Acquire(context.Background(), promptNeed("r5")); err == nil {
			t.Error("places that were given back of the earlier life are given out again")
		}
	})
}

// Entries of engines change while owners are asked for their places. An ask read the entry
// that was just being replaced: with half of a name from each, it went to nobody's engine.
// The race detector shows it.
func TestTargetsChangeWhileOwnersAreAsked(t *testing.T) {
	t.Parallel()
	b, owners := newOwned(4, here, "b")
	owners.set("t0", shelfshelf.PlaceGranted)
	owners.set("t1", shelfshelf.PlaceGranted)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := range 200 {
			pools, targets := engines(4, here, "b")
			targets[0].Slots = 4 + i%2
			b.SetTargets(pools, targets)
		}
	}()
	for range 200 {
		acquire(t, b, need("r", time.Second)).Cancel()
	}
	<-changed
}
