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

// promptNeed returns a request whose prompt has two parts that other requests share.
func promptNeed(id string) balance.Need {
	n := need(id, 0)
	n.Prompt = []shelfshelf.PromptPart{{ID: "a", Tokens: 600}, {ID: "b", Tokens: 400}}
	return n
}

// A target that restarts under its name has no load, no cached prompt and no backoff, and late
// releases of leases of its previous incarnation don't change that. State was once kept by name
// alone.
func TestRestartedTargetGetsNewState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &balance.Balancer{Clock: clockwork.NewRealClock(), DataCentre: local}
		pools, targets := engines(2, local)
		targets[0].StartedAt = time.UnixMilli(1000)
		b.SetTargets(pools, targets)
		first := acquire(t, b, promptNeed("r1"))
		first.FirstToken()
		second := acquire(t, b, promptNeed("r2"))
		if second.CachedTokens == 0 {
			t.Error("the prompt that the target has just prefilled is not cached")
		}
		b.SetPeerLoads("other", []shelfshelf.TargetLoad{{Target: shelfshelf.KeyOfTarget("t0"), Requests: 2}})

		later := targets[0]
		later.StartedAt = time.UnixMilli(2000)
		b.SetTargets(pools, []shelfshelf.Target{later})
		first.Release(balance.Result{Failed: true, Unreachable: true})
		third := acquire(t, b, promptNeed("r3"))
		if third.CachedTokens != 0 || third.InFlight != 0 {
			t.Errorf("the restarted target has %d tokens cached and %d requests in flight", third.CachedTokens, third.InFlight)
		}
		second.Release(balance.Result{Failed: true, Unreachable: true})
		acquire(t, b, promptNeed("r4"))
		if _, err := b.Acquire(context.Background(), promptNeed("r5")); err == nil {
			t.Error("slots returned by the previous process were granted again")
		}
	})
}

// Entries of engines change while owners are asked for slots. Building a slot request once read an
// entry that was just being replaced and got a name mixed from both entries, which belongs to no
// engine. Run with the race detector to see it.
func TestTargetsChangeWhileOwnersAreAsked(t *testing.T) {
	t.Parallel()
	b, owners := newBalancerWithOwners(4, local, "b")
	owners.setOutcome("t0", shelfshelf.SlotGranted)
	owners.setOutcome("t1", shelfshelf.SlotGranted)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := range 200 {
			pools, targets := engines(4, local, "b")
			targets[0].Slots = 4 + i%2
			b.SetTargets(pools, targets)
		}
	}()
	for range 200 {
		acquire(t, b, need("r", time.Second)).Cancel()
	}
	<-changed
}
