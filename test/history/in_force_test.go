package history

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/keys"

	"github.com/shelfshelf/shelfshelf"
)

// TestInForce measures, in simulated time, how long an accepted bundle takes to
// be in force on seven instances, with all of them reaching the store and with
// five of them cut off from it, and how many reads that costs.
func TestInForce(t *testing.T) {
	const instances, rolls = 7, 30
	for _, cut := range []int{0, 5} {
		t.Run(fmt.Sprintf("%d cut from the store", cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStage(clockwork.NewRealClock(), t)
				nodes := make([]*node, instances)
				for i := range nodes {
					nodes[i] = s.addNode()
				}
				time.Sleep(5 * time.Second)
				for _, n := range nodes[:cut] {
					s.world.setCut(string(n.ID), storeName, true)
				}
				longest, began, readsBefore := time.Duration(0), time.Now(), readsOf(nodes)
				for roll := range rolls {
					took := s.rollAndWait(t, nodes, fmt.Sprintf("roll-%d", roll))
					longest = max(longest, took)
					time.Sleep(time.Duration(roll*137%1000) * time.Millisecond)
				}
				reads := float64(readsOf(nodes)-readsBefore) / time.Since(began).Seconds()
				t.Logf("%d rolls: longest %v, %.1f reads of the head a second over all instances", rolls, longest, reads)
				if longest > inForceWithin {
					t.Errorf("a bundle took %v", longest)
				}
				s.stopAll()
			})
		})
	}
}

// TestInForceWithSlowStore: a store that takes 0.7 s for each call serves operators,
// so what they roll has to come into force too.
func TestInForceWithSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(clockwork.NewRealClock(), t)
		nodes := []*node{s.addNode(), s.addNode(), s.addNode()}
		time.Sleep(5 * time.Second)
		s.world.store.SetFaults(fake.StoreFaults{Delay: 700 * time.Millisecond})
		for roll := range 5 {
			if took := s.rollAndWait(t, nodes, fmt.Sprintf("roll-%d", roll)); took > inForceWithin {
				t.Errorf("a bundle took %v", took)
			}
		}
		s.stopAll()
	})
}

// TestInForceAfterAnOutage: a store that goes away as soon as it has accepted a bundle,
// for less time than a bundle has to come into force, is read again as soon as it is back.
func TestInForceAfterAnOutage(t *testing.T) {
	const away = inForceWithin - 400*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newStage(clockwork.NewRealClock(), t)
		nodes := []*node{s.addNode(), s.addNode(), s.addNode()}
		time.Sleep(5 * time.Second)
		for outage := range 20 {
			revision := s.rollOnce(t, fmt.Sprintf("roll-%d", outage))
			s.world.store.SetFaults(fake.StoreFaults{Down: true})
			time.AfterFunc(away, func() { s.world.store.SetFaults(faultless) })
			if took := awaitRevision(t, nodes, revision); took > inForceWithin {
				t.Errorf("a bundle took %v", took)
			}
			time.Sleep(time.Duration(outage*137%1000) * time.Millisecond)
		}
		s.stopAll()
	})
}

func newStage(clock shelfshelf.Clock, t *testing.T) *scenario {
	s := &scenario{world: newWorld(clock, 1)}
	public, private, err := keys.NewApprover()
	if err != nil {
		t.Fatal(err)
	}
	s.key = private
	s.trust = bundle.Trust{Approvers: []shelfshelf.Approver{{Name: approverName, PublicKey: public}}, Threshold: 1}
	if _, err := s.operator(s.world.store).Roll(context.Background(), s.signed("first"), "op"); err != nil {
		t.Fatal(err)
	}
	return s
}

func readsOf(nodes []*node) uint64 {
	total := uint64(0)
	for _, n := range nodes {
		total += n.Watcher.Reads()
	}
	return total
}

// rollAndWait rolls a bundle and returns when it was in force on every node.
func (s *scenario) rollAndWait(t *testing.T, nodes []*node, name string) time.Duration {
	return awaitRevision(t, nodes, s.rollOnce(t, name))
}

// rollOnce rolls a bundle and returns its revision.
func (s *scenario) rollOnce(t *testing.T, name string) shelfshelf.Revision {
	rolled, err := s.operator(s.world.store).Roll(context.Background(), s.signed(name), "op")
	if err != nil {
		t.Fatal(err)
	}
	return rolled.Head.Revision
}

// awaitRevision returns when a revision was in force on every node.
func awaitRevision(t *testing.T, nodes []*node, revision shelfshelf.Revision) time.Duration {
	began := time.Now()
	for _, n := range nodes {
		for n.Watcher.Head().Revision < revision {
			if time.Since(began) > time.Minute {
				t.Fatalf("%s never got revision %d", n.ID, revision)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}
