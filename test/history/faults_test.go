package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fake"
)

type fakeStore = fake.Store

var faultless = fake.StoreFaults{}

// faultKind is one thing that goes wrong for a while.
type faultKind struct {
	name string
	// begin starts the fault and returns what ends it.
	begin func(s *scenario, random *rand.Rand) (end func())
}

// faultKinds lists the faults; a run draws from them, several at a time.
var faultKinds = []faultKind{
	{"kill", (*scenario).killNode},
	{"pause", (*scenario).pauseNode},
	{"store down", (*scenario).storeDown},
	{"store slow", (*scenario).storeSlow},
	{"lost answers", (*scenario).lostAnswers},
	{"cut from store", (*scenario).cutFromStore},
	{"one-way cut", (*scenario).cutOneWay},
	{"partition", (*scenario).partition},
	{"roll", (*scenario).roll},
	{"racing rolls", (*scenario).racingRolls},
	{"drain", (*scenario).drainTarget},
	{"engine slow", (*scenario).slowTarget},
	{"lost target answers", (*scenario).mischief},
}

func nothing() {}

// runFaults begins faults at random instants, each for a while, some together.
func (s *scenario) runFaults(ctx context.Context, start time.Time) {
	defer s.working.Done()
	for s.world.clock.Now().Sub(start) < runLength {
		kind := s.faults[s.random.IntN(len(s.faults))]
		end := kind.begin(s, s.random)
		s.working.Add(1)
		go s.runFault(ctx, end, time.Duration(500+s.random.IntN(4000))*time.Millisecond)
		<-s.world.clock.After(time.Duration(s.random.IntN(2500)) * time.Millisecond)
	}
}

func (s *scenario) runFault(ctx context.Context, end func(), length time.Duration) {
	defer s.working.Done()
	select {
	case <-ctx.Done():
	case <-s.world.clock.After(length):
	}
	end()
}

// living returns the nodes that are not dead, in order.
func (s *scenario) living() []*node {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	var living []*node
	for index := 1; index <= s.serial; index++ {
		if n := s.world.nodes[shelfshelf.InstanceID(fmt.Sprintf("n%d", index))]; n != nil && !n.isDead() {
			living = append(living, n)
		}
	}
	return living
}

func (s *scenario) anyNode(random *rand.Rand) *node {
	living := s.living()
	return living[random.IntN(len(living))]
}

// killNode kills a node; the platform's list learns of it late, and a new one
// takes its place.
func (s *scenario) killNode(random *rand.Rand) func() {
	if len(s.living()) < nodeCount-1 {
		return nothing
	}
	n := s.anyNode(random)
	n.kill()
	return func() {
		s.world.store.RemoveInstance(n.ID)
		s.addNode()
	}
}

func (s *scenario) pauseNode(random *rand.Rand) func() {
	n := s.anyNode(random)
	n.pause()
	return n.resume
}

func (s *scenario) storeDown(*rand.Rand) func() {
	s.world.store.SetFaults(fake.StoreFaults{Down: true})
	return func() { s.world.store.SetFaults(faultless) }
}

func (s *scenario) storeSlow(*rand.Rand) func() {
	s.world.store.SetFaults(fake.StoreFaults{Delay: 700 * time.Millisecond})
	return func() { s.world.store.SetFaults(faultless) }
}

func (s *scenario) lostAnswers(random *rand.Rand) func() {
	s.world.store.SetFaults(fake.StoreFaults{LoseAnswers: 1 + random.IntN(12)})
	return func() { s.world.store.SetFaults(faultless) }
}

func (s *scenario) cutFromStore(random *rand.Rand) func() {
	n := s.anyNode(random)
	oneWay := random.IntN(2) == 0
	s.world.setCut(storeName, string(n.ID), true)
	s.world.setCut(string(n.ID), storeName, !oneWay)
	return func() {
		s.world.setCut(storeName, string(n.ID), false)
		s.world.setCut(string(n.ID), storeName, false)
	}
}

func (s *scenario) cutOneWay(random *rand.Rand) func() {
	a, b := s.anyNode(random), s.anyNode(random)
	s.world.setCut(string(a.ID), string(b.ID), true)
	return func() { s.world.setCut(string(a.ID), string(b.ID), false) }
}

// partition cuts one or two nodes off from the others and the store.
func (s *scenario) partition(random *rand.Rand) func() {
	living := s.living()
	random.Shuffle(len(living), func(i, j int) { living[i], living[j] = living[j], living[i] })
	size := 1 + random.IntN(2)
	if len(living) <= size {
		return nothing
	}
	set := func(cut bool) {
		for index, a := range living {
			inside := index < size
			if inside {
				s.world.setCut(string(a.ID), storeName, cut)
				s.world.setCut(storeName, string(a.ID), cut)
			}
			for other, b := range living {
				if inside != (other < size) {
					s.world.setCut(string(a.ID), string(b.ID), cut)
				}
			}
		}
	}
	set(true)
	return func() { set(false) }
}

func (s *scenario) roll(random *rand.Rand) func() {
	s.working.Add(1)
	go s.runRoll(fmt.Sprintf("roll-%d", random.IntN(1000)))
	return nothing
}

func (s *scenario) racingRolls(random *rand.Rand) func() {
	s.roll(random)
	return s.roll(random)
}

// runRoll is one operator who rolls a bundle.
func (s *scenario) runRoll(name string) {
	defer s.working.Done()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rolled, err := s.operator(s.world.store).Roll(ctx, s.signed(name), name)
	if err != nil {
		return
	}
	// What an operator was told to be accepted must be what the log has.
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.rolled {
		if other.revision == rolled.Head.Revision {
			s.broken = append(s.broken, fmt.Sprintf("revision %d was accepted from two operators", other.revision))
		}
	}
	s.rolled = append(s.rolled, rolledAt{revision: rolled.Head.Revision, at: s.world.clock.Now()})
}

func (s *scenario) drainTarget(random *rand.Rand) func() {
	// One of each pool stays.
	target := []shelfshelf.TargetName{"e2", "s2"}[random.IntN(2)]
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if _, leaving := s.world.leaving[target]; !leaving {
		s.world.leaving[target] = s.world.clock.Now()
	}
	return nothing
}

func (s *scenario) slowTarget(random *rand.Rand) func() {
	target := []shelfshelf.TargetName{"e1", "e2", "s1", "s2"}[random.IntN(4)]
	set := func(factor float64) {
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		s.world.slow[target] = factor
	}
	set(20)
	return func() { set(1) }
}

func (s *scenario) mischief(*rand.Rand) func() {
	set := func(share float64) {
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		s.world.mischief = share
	}
	set(0.3)
	return func() { set(0) }
}
