package balance_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/balance"
)

const (
	nearEngines = 10
	farEngines  = 4
	engineSlots = 8
)

// newCrowded returns a balancer with engines in its own data centre that run so many requests each, and others
// elsewhere that run none, and their owners, who queue what an engine of the own data centre is asked for.
func newCrowded(near int) (*balance.Balancer, *fakeOwners) {
	var centres []shelfshelf.DataCentre
	var loads []shelfshelf.TargetLoad
	for i := range nearEngines + farEngines {
		if i < nearEngines {
			centres = append(centres, local)
			loads = append(loads, shelfshelf.TargetLoad{Target: keyOf(i), Requests: near})
			continue
		}
		centres = append(centres, "b")
	}
	b, o := newBalancerWithOwners(engineSlots, centres...)
	for i := range centres {
		o.setOutcome(fmt.Sprint("t", i), shelfshelf.SlotQueued)
		if i >= nearEngines {
			o.setOutcome(fmt.Sprint("t", i), shelfshelf.SlotGranted)
		}
	}
	b.SetPeerLoads("other", loads)
	return b, o
}

func keyOf(i int) shelfshelf.TargetKey {
	return shelfshelf.KeyOfTarget(shelfshelf.TargetName(fmt.Sprint("t", i)))
}

// isNear reports whether an engine is in the own data centre.
func isNear(target shelfshelf.TargetKey) bool {
	for i := range nearEngines {
		if keyOf(i) == target {
			return true
		}
	}
	return false
}

// lower returns a request of a lower tier, for which an engine is full while its last slot is free.
func lower(id string, wait time.Duration) balance.Need {
	n := need(id, wait)
	n.Tier = 1
	return n
}

// Requests whose callers all came to one instance asked the eight nearest engines, which were full, and were
// refused while others had room.
func TestEnginesWithRoomAreAskedBeforeFullOnes(t *testing.T) {
	cases := map[string]struct {
		near int
		need func(string, time.Duration) balance.Need
	}{
		"lower tier, one slot left":   {near: engineSlots - 1, need: lower},
		"lower tier, no slot left":    {near: engineSlots, need: lower},
		"highest tier, no slot left":  {near: engineSlots, need: need},
		"highest tier, more than all": {near: engineSlots + 3, need: need},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, o := newCrowded(c.near)
				lease, err := b.Acquire(t.Context(), c.need("r", 170*time.Millisecond))
				if err != nil {
					t.Fatalf("%v after %d owners", err, len(o.asked))
				}
				if lease.Target.DataCentre == local || len(o.asked) != 1 {
					t.Errorf("got %s after %d owners", lease.Target.Name, len(o.asked))
				}
			})
		})
	}
}

// While engines of the own data centre have room, others get nothing.
func TestEnginesWithRoomStayInTheDataCentre(t *testing.T) {
	b, o := newCrowded(engineSlots - 2)
	for i := range nearEngines {
		o.setOutcome(fmt.Sprint("t", i), shelfshelf.SlotGranted)
	}
	for i := range nearEngines {
		if lease := acquire(t, b, lower(fmt.Sprint(i), time.Second)); lease.Target.DataCentre != local {
			t.Errorf("request %d got %s", i, lease.Target.Name)
		}
	}
}

// Room doesn't make up for a target that fails its requests or is far too slow: the queue of a sound one is asked
// first.
func TestRoomAtUnfitEnginesIsNotPreferred(t *testing.T) {
	unfit := map[string]func(b *balance.Balancer, i int){
		"fails its requests": func(b *balance.Balancer, i int) {
			for range 20 {
				release(b, i, balance.Result{Failed: true})
			}
		},
		"is too slow": func(b *balance.Balancer, i int) {
			b.ApplySpeeds([]shelfshelf.TargetSpeed{{Target: keyOf(i), PrefillRate: 0.5, Step: 100 * time.Millisecond}})
		},
	}
	for name, spoil := range unfit {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, o := newCrowded(engineSlots)
				for i := nearEngines; i < nearEngines+farEngines; i++ {
					spoil(b, i)
				}
				o.asked = nil
				n := need("r", 170*time.Millisecond)
				n.Deadline = time.Now().Add(2 * time.Second)
				_, _ = b.Acquire(context.Background(), n)
				if len(o.asked) == 0 || !isNear(o.asked[0]) {
					t.Errorf("an unfit engine was asked first of %d", len(o.asked))
				}
			})
		})
	}
}

// release has one engine serve a request with a result.
func release(b *balance.Balancer, i int, result balance.Result) {
	n := need("spoil", 0)
	for other := range nearEngines + farEngines {
		if other != i {
			n.ExcludedTargets = append(n.ExcludedTargets, shelfshelf.TargetName(fmt.Sprint("t", other)))
		}
	}
	if lease, err := b.Acquire(context.Background(), n); err == nil {
		lease.Release(result)
	}
}
