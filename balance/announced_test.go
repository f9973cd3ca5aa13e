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

// recordAnnouncements lets a balancer know what targets announce with their answers. The returned
// function delivers an answer.
func recordAnnouncements(b *balance.Balancer) func(target shelfshelf.TargetName, answer shelfshelf.ResponseMetadata) {
	record := &announced.Tracker{Clock: b.Clock, Log: log.New(io.Discard), OnChange: func(target shelfshelf.TargetKey, _ bool) { b.AnnouncementChanged(target) }}
	b.Announcements = record
	return func(target shelfshelf.TargetName, answer shelfshelf.ResponseMetadata) {
		record.ObserveResponse(shelfshelf.Target{Name: target}, answer, b.Clock.Now())
	}
}

// A backoff that a target has requested survives the removal of its entry. It ends only when its
// time is over, also if a shorter one is requested in the meantime.
func TestRequestedBackoffLastsItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(4, local, local)
		announce := recordAnnouncements(b)
		other := acquire(t, b, need("other", 0))
		backingOff := other.Target.Name
		announce(backingOff, shelfshelf.ResponseMetadata{RetryAfter: 3 * time.Second})
		announce(backingOff, shelfshelf.ResponseMetadata{RetryAfter: time.Second})
		other.Release(balance.Result{})
		pools, targets := engines(4, local, local)
		for _, list := range [][]shelfshelf.Target{nil, targets} {
			b.SetTargets(pools, list)
		}
		time.Sleep(3*time.Second - time.Millisecond)
		for range 4 {
			if lease := acquire(t, b, need("x", 0)); lease.Target.Name == backingOff {
				t.Error("the target got a request before its backoff ended")
			}
		}
		time.Sleep(time.Millisecond)
		if lease := acquire(t, b, need("x", 0)); lease.Target.Name != backingOff {
			t.Error("the target got no request after its backoff")
		}
	})
}

// If all targets have requested a backoff for longer than a request can wait, it is refused at
// once, with a retry delay until the first backoff ends, even beyond maxRetryAfter. Otherwise the
// request waits for that end.
func TestAllTargetsRequestBackoff(t *testing.T) {
	for _, test := range []struct {
		name   string
		owners bool
	}{{"owners", true}, {"no owners", false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBalancer(4, local, local)
				if test.owners {
					b, _ = newBalancerWithOwners(4, local, local)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() { _ = b.Run(ctx) }()
				announce := recordAnnouncements(b)
				announce("t0", shelfshelf.ResponseMetadata{RetryAfter: 8 * time.Second})
				announce("t1", shelfshelf.ResponseMetadata{RetryAfter: 6 * time.Second})
				began := time.Now()
				_, err := b.Acquire(context.Background(), need("x", time.Second))
				var refusal *balance.Refusal
				if !errors.As(err, &refusal) || refusal.Reason != shelfshelf.RefusedBackoff || time.Since(began) > 0 {
					t.Fatalf("after %v: %v", time.Since(began), err)
				}
				if after := refusal.RetryAfter; after < 6*time.Second || after > 6*time.Second+800*time.Millisecond {
					t.Errorf("retry after %v", after)
				}
				time.Sleep(5500 * time.Millisecond)
				if lease := acquire(t, b, need("y", time.Second)); lease.Target.Name != "t1" || time.Since(began) < 6*time.Second {
					t.Errorf("served by %s after %v", lease.Target.Name, time.Since(began))
				}
			})
		})
	}
}

// A request that is granted a slot at a target that has meanwhile requested a backoff or started to
// leave goes to another target.
func TestGrantsAtUnavailableTargetsAreRetriedElsewhere(t *testing.T) {
	for name, answer := range map[string]shelfshelf.ResponseMetadata{
		"rest": {RetryAfter: 5 * time.Second}, "leaving": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, o := newBalancerWithOwners(4, local, "b")
				announce := recordAnnouncements(b)
				o.setOutcome("t0", shelfshelf.SlotQueued)
				o.setOutcome("t1", shelfshelf.SlotUnavailable)
				o.backoff = 10 * time.Millisecond
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
				announce("t0", answer)
				time.Sleep(50 * time.Millisecond)
				o.mu.Lock()
				o.setOutcome("t1", shelfshelf.SlotGranted)
				o.mu.Unlock()
				o.grantQueued("t0")
				synctest.Wait()
				if got := <-served; got != "t1" {
					t.Errorf("served by %q", got)
				}
			})
		})
	}
}
