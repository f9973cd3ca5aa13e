package places

import (
	"context"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// After 29 of 160 engines had crashed, 295 instances each found it out for themselves, at
// every engine: one that runs nothing looks best. What one instance has seen saves the
// others the try, and a single request finds out when the engine is back.
func TestUnreachableEnginesRestForAll(t *testing.T) {
	inNetwork(t, 5, func(ctx context.Context, w *network) {
		granted := make(chan shelfshelf.PlaceID, 99)
		ask := func(n int) shelfshelf.PlaceAnswer {
			return w.clients[addressOf(n)].Ask(ctx, requestFor(7, 0), granted)
		}
		first := ask(1)
		if first.Outcome != shelfshelf.PlaceGranted {
			t.Fatalf("%+v", first)
		}
		w.clients[addressOf(1)].Give(first.ID, true)
		time.Sleep(5 * time.Millisecond)
		for n := 2; n <= 5; n++ {
			if got := ask(n); got.Outcome != shelfshelf.PlaceRests || got.Rest <= 0 || got.Rest > minBackoff {
				t.Errorf("after a failure: %+v", got)
			}
		}
		time.Sleep(minBackoff)
		probe := ask(2)
		if probe.Outcome != shelfshelf.PlaceGranted {
			t.Fatalf("the first after the rest: %+v", probe)
		}
		if got := ask(3); got.Outcome != shelfshelf.PlaceRests {
			t.Errorf("beside it: %+v", got)
		}
		w.clients[addressOf(2)].Give(probe.ID, true)
		time.Sleep(minBackoff + probeTimeout)
		if got := ask(3); got.Outcome != shelfshelf.PlaceRests {
			t.Errorf("the second rest is not longer: %+v", got)
		}
		time.Sleep(minBackoff)
		probe = ask(3)
		w.clients[addressOf(3)].Give(probe.ID, false)
		time.Sleep(5 * time.Millisecond)
		if got := ask(4); got.Outcome != shelfshelf.PlaceGranted {
			t.Errorf("after an answer: %+v", got)
		}
	})
}

// The first request after a rest may stream for long: the engine counts as back when it has
// not failed for a moment.
func TestProbesNeedNotEnd(t *testing.T) {
	inNetwork(t, 3, func(ctx context.Context, w *network) {
		granted := make(chan shelfshelf.PlaceID, 99)
		w.clients[addressOf(1)].Give(w.clients[addressOf(1)].Ask(ctx, requestFor(7, 0), granted).ID, true)
		time.Sleep(minBackoff + 5*time.Millisecond)
		if got := w.clients[addressOf(2)].Ask(ctx, requestFor(7, 0), granted); got.Outcome != shelfshelf.PlaceGranted {
			t.Fatalf("%+v", got)
		}
		time.Sleep(probeTimeout)
		if got := w.clients[addressOf(3)].Ask(ctx, requestFor(7, 0), granted); got.Outcome != shelfshelf.PlaceGranted {
			t.Errorf("%+v", got)
		}
	})
}

// An instance that alone can't reach an engine takes it from the others once, and then for
// some time no more.
func TestOneHolderTakesNoEngineAway(t *testing.T) {
	inNetwork(t, 3, func(ctx context.Context, w *network) {
		granted := make(chan shelfshelf.PlaceID, 99)
		cutOff, other := w.clients[addressOf(1)], w.clients[addressOf(2)]
		rested := 0
		for range 20 {
			if got := cutOff.Ask(ctx, requestFor(7, 0), granted); got.Outcome == shelfshelf.PlaceGranted {
				cutOff.Give(got.ID, true)
			}
			time.Sleep(100 * time.Millisecond)
			got := other.Ask(ctx, requestFor(7, 0), granted)
			if got.Outcome == shelfshelf.PlaceRests {
				rested++
				continue
			}
			other.Give(got.ID, false)
			time.Sleep(5 * time.Millisecond)
		}
		if rested > 4 {
			t.Errorf("the other instance was kept away %d of 20 times", rested)
		}
	})
}
