package balance_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
	"github.com/shelfshelf/shelfshelf/balance"
)

// listen has a balancer know what targets say with their answers, which the function returned
// takes.
func listen(b *balance.Balancer) func(target shelfshelf.TargetName, answer shelfshelf.Answer) {
	record := &announced.Record{Clock: b.Clock, Log: log.New(io.Discard), Changed: func(target shelfshelf.TargetKey, _ bool) { b.WordChanged(target) }}
	b.Announced = record
	return func(target shelfshelf.TargetName, answer shelfshelf.Answer) {
		record.Answered(shelfshelf.Target{Name: target}, answer, b.Clock.Now())
	}
}

// A rest that a target has asked for outlives its entry and ends only with its time, also where a
// shorter one is asked for meanwhile and where another request is served well.
func TestRestLastsItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(4, here, here)
		say := listen(b)
		other := acquire(t, b, need("other", 0))
		resting := other.Target.Name
		say(resting, shelfshelf.Answer{Rest: 3 * time.Second})
		say(resting, shelfshelf.Answer{Rest: time.Second})
		other.Release(balance.Result{})
		pools, targets := engines(4, here, here)
		for _, list := range [][]shelfshelf.Target{nil, targets} {
			b.SetTargets(pools, list)
		}
		time.Sleep(3*time.Second - time.Millisecond)
		for range 4 {
			if lease := acquire(t, b, need("x", 0)); lease.Target.Name == resting {
				t.Error("it got a request before its rest was over")
			}
		}
		time.Sleep(time.Millisecond)
		if lease := acquire(t, b, need("x", 0)); lease.Target.Name != resting {
			t.Error("it got nothing after its rest")
		}
	})
}

// Where all targets want rest for longer than a request can wait, it is refused at once, and told
// to come back when the first of them has had it, however long that is; else it waits for that.
func TestAllTargetsRest(t *testing.T) {
	for _, with := range []struct {
		name   string
		owners bool
	}{{"owners", true}, {"no owners", false}} {
		t.Run(with.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBalancer(4, here, here)
				if with.owners {
					b, _ = newOwned(4, here, here)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() { _ = b.Run(ctx) }()
				say := listen(b)
				say("t0", shelfshelf.Answer{Rest: 8 * time.Second})
				say("t1", shelfshelf.Answer{Rest: 6 * time.Second})
				began := time.Now()
				_, err := b.Acquire(context.Background(), need("x", time.Second))
				var refusal *balance.Refusal
				if !errors.As(err, &refusal) || refusal.Reason != shelfshelf.RefusedRest || time.Since(began) > 0 {
					t.Fatalf("after %v: %v", time.Since(began), err)
				}
				if after := refusal.RetryAfter; after < 6*time.Second || after > 6*time.Second+800*time.Millisecond {
					t.Errorf("told to come back after %v", after)
				}
				time.Sleep(5500 * time.Millisecond)
				if lease := acquire(t, b, need("y", time.Second)); lease.Target.Name != "t1" || time.Since(began) < 6*time.Second {
					t.Errorf("served by %s after %v", lease.Target.Name, time.Since(began))
				}
			})
		})
	}
}

// A request whose turn comes at a target that has begun to rest, or to leave, goes to another one.
func TestTurnsAtTargetsThatWantNothing(t *testing.T) {
	for name, answer := range map[string]shelfshelf.Answer{
		"rest": {Rest: 5 * time.Second}, "leaving": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, o := newOwned(4, here, "b")
				say := listen(b)
				o.set("t0", shelfshelf.PlaceWaits)
				o.set("t1", shelfshelf.PlaceRests)
				o.rest = 10 * time.Millisecond
				served := make(chan shelfshelf.TargetName, 1)
				go func() {
					lease, err := b.Acquire(context.Background(), need("x", time.Second))
					if err != nil {
						t.Error(err)
						served <- ""
						return
					}
					served <- lease.Target.Name
				}()
				synctest.Wait()
				say("t0", answer)
				time.Sleep(50 * time.Millisecond)
				o.mu.Lock()
				o.set("t1", shelfshelf.PlaceGranted)
				o.mu.Unlock()
				o.serve("t0")
				synctest.Wait()
				if got := <-served; got != "t1" {
					t.Errorf("served by %q", got)
				}
			})
		})
	}
}
