package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// longestFault is how long a fault lasts at most.
const longestFault = 5500 * time.Millisecond

// usualSlow is the time that targets take for a step.
const usualSlow = 10 * time.Millisecond

// fault is one kind of trouble: it starts and returns how it is mended.
type fault struct {
	name  string
	start func(s *stage, random *rand.Rand) (mend func())
}

// faults is the table that schedules draw from.
var faults = []fault{
	{"kill", func(s *stage, random *rand.Rand) func() {
		p := s.pickNode(random)
		p.signal(syscall.SIGKILL)
		p.wait()
		return func() { s.start(p) }
	}},
	{"pause", func(s *stage, random *rand.Rand) func() {
		p := s.pickNode(random)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"stop", func(s *stage, random *rand.Rand) func() {
		p := s.pickNode(random)
		p.signal(syscall.SIGTERM)
		return func() {
			p.wait()
			s.start(p)
		}
	}},
	{"reload", func(s *stage, random *rand.Rand) func() {
		s.pickNode(random).signal(syscall.SIGHUP)
		return func() {}
	}},
	{"store link", func(s *stage, random *rand.Rand) func() {
		p := s.pickNode(random)
		mend := disturb(random, p.store)
		return func() {
			mend()
			p.disturb()
		}
	}},
	{"target link", func(s *stage, random *rand.Rand) func() {
		return disturb(random, s.pickTarget(random).link)
	}},
	{"silent connections", func(s *stage, random *rand.Rand) func() {
		// For who calls, this is like a reset that nobody tells of.
		for _, p := range s.nodes {
			p.disturb()
		}
		s.pickNode(random).store.silence()
		for _, t := range s.targets {
			t.link.silence()
		}
		return func() {}
	}},
	{"targets of a pool", func(s *stage, random *rand.Rand) func() {
		kinds := []fake.ServerFaults{
			{Refuse: true},
			{Fail: true},
			{Hang: true},
			{Extra: true},
			{Unframed: true},
			{Slow: 200 * time.Millisecond},
			{CutAfter: 3, CutTimes: 1000},
			{CutAfter: 3, CutTimes: 1000},
			{CutAfter: 3, CutTimes: 1000},
		}
		pool, kind := s.pickTarget(random).pool, kinds[random.IntN(len(kinds))]
		kind.Slow = max(kind.Slow, usualSlow)
		return s.setTargets(pool, kind)
	}},
	{"revoke in an outage", func(s *stage, _ *rand.Rand) func() {
		s.setStoreDown(true)
		s.platform.SetFaults(fake.PlatformFaults{Busy: true})
		s.revoke()
		return func() {
			s.platform.SetFaults(fake.PlatformFaults{})
			s.setStoreDown(false)
		}
	}},
	{"store", func(s *stage, random *rand.Rand) func() {
		kinds := []fake.PlatformFaults{
			{Busy: true}, {Silent: true}, {Reset: true}, {Delay: 250 * time.Millisecond}, {LoseWrites: 5}, {Deaf: true},
		}
		s.setStoreDown(true)
		s.platform.SetFaults(kinds[random.IntN(len(kinds))])
		return func() {
			s.platform.SetFaults(fake.PlatformFaults{})
			s.setStoreDown(false)
		}
	}},
	{"history", func(s *stage, _ *rand.Rand) func() {
		s.platform.Rows.Forget()
		return func() {}
	}},
	{"revoke", func(s *stage, _ *rand.Rand) func() {
		s.revoke()
		return func() {}
	}},
	{"route", func(s *stage, _ *rand.Rand) func() {
		s.mu.Lock()
		path := fmt.Sprintf("/many/%d/", s.version)
		s.mu.Unlock()
		s.addRoute(path)
		return func() {}
	}},
	{"leave", func(s *stage, random *rand.Rand) func() {
		t := s.pickTarget(random)
		s.list(t, "draining")
		return func() { s.list(t, "ready") }
	}},
}

// disturb makes a link misbehave in one of its ways.
func disturb(random *rand.Rand, l *link) func() {
	traits := []trait{{delay: 150 * time.Millisecond}, {mute: true}, {deaf: true}, {mute: true, deaf: true}, {refuse: true}}
	l.set(traits[random.IntN(len(traits))])
	if random.IntN(2) == 0 {
		l.reset()
	}
	return func() { l.set(trait{}) }
}

// setTargets makes all targets of a pool misbehave and returns how that is mended.
func (s *stage) setTargets(pool string, kind fake.ServerFaults) func() {
	for _, t := range s.targets {
		if t.pool == pool {
			t.server.SetFaults(kind)
		}
	}
	return func() {
		for _, t := range s.targets {
			if t.pool == pool {
				t.server.SetFaults(fake.ServerFaults{Slow: usualSlow})
			}
		}
	}
}

// revoke takes the key in use away and gives another.
func (s *stage) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.keys[0]
	s.before = old
	s.keys = []string{fmt.Sprint("key-", s.version)}
	s.configure()
	s.revoked[old] = time.Now()
	s.added[s.keys[0]] = time.Now()
}

// pickNode picks a process and notes that a fault touches it.
func (s *stage) pickNode(random *rand.Rand) *process {
	p := s.nodes[random.IntN(len(s.nodes))]
	p.disturb()
	return p
}

// disturb notes that a fault touches the process, and will for as long as one lasts.
func (p *process) disturb() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now().Add(longestFault)
}

func (s *stage) pickTarget(random *rand.Rand) *target {
	return s.targets[random.IntN(len(s.targets))]
}

// schedule plays faults of a seed for a while, some at once, and mends them all.
type schedule struct {
	stage *stage
	seed  uint64
	// lines tells what was played, for the report of a failure.
	lines []string
}

func (s *schedule) run(length time.Duration) {
	random := rand.New(rand.NewPCG(s.seed, s.seed))
	began := time.Now()
	var mending sync.WaitGroup
	// Faults of one kind don't overlap, so that each mends what it has started.
	busy := make(map[string]*sync.Mutex)
	for _, f := range faults {
		busy[group(f.name)] = &sync.Mutex{}
	}
	for time.Since(began) < length {
		f := faults[random.IntN(len(faults))]
		pause := time.Duration(100+random.IntN(700)) * time.Millisecond
		lasting := time.Duration(200+random.Int64N(int64(longestFault/time.Millisecond)-200)) * time.Millisecond
		lock := busy[group(f.name)]
		if lock.TryLock() {
			s.lines = append(s.lines, fmt.Sprintf("%6.2f s %s for %v", time.Since(began).Seconds(), f.name, lasting))
			mend := f.start(s.stage, random)
			mending.Add(1)
			go s.runMend(mend, lasting, lock, &mending)
		}
		time.Sleep(pause)
	}
	mending.Wait()
}

func (s *schedule) runMend(mend func(), after time.Duration, lock *sync.Mutex, mending *sync.WaitGroup) {
	defer mending.Done()
	time.Sleep(after)
	mend()
	lock.Unlock()
}

// group names the faults that must not overlap: those that end or pause a process
// share one, since only who has started it may start it anew.
func group(name string) string {
	switch name {
	case "kill", "pause", "stop", "reload":
		return "process"
	case "store", "revoke in an outage":
		return "store"
	}
	return name
}
