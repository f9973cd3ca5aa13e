package node_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// restartInTurn restarts all instances one after the other, each for some 2.6 s, with planned stops or without
// a word.
func (p *versioned) restartInTurn(apart time.Duration, planned bool) {
	var restarts sync.WaitGroup
	for i := range p.instances {
		restarts.Go(func() {
			if !planned {
				p.network.Isolate(machineOf(i))
			}
			p.stops[i]()
			p.start(i, false)
			p.network.Join(machineOf(i))
		})
		time.Sleep(apart)
	}
	restarts.Wait()
	time.Sleep(500 * time.Millisecond)
}

// killShare kills the first of so many instances at once.
func (p *versioned) killShare(count int) {
	var kills sync.WaitGroup
	for i := range count {
		p.gone[i] = true
		p.cutOff(i)
		kills.Go(p.stops[i])
	}
	time.Sleep(200 * time.Millisecond)
	p.checkBegins()
	kills.Wait()
}

// checkBegins checks that new streams begin.
func (p *versioned) checkBegins() {
	p.t.Helper()
	p.begin(10, brokenAfter, func() int { return p.pick(-1) })
}

// storeMachine is where the store runs.
const storeMachine = "10.200.0.1"

// cutFromOthers cuts instances off from all others and from the store, not from each other, targets and callers.
// Callers come to them alone from then on.
func (p *versioned) cutFromOthers(cut ...int) {
	p.cutOutside(cut)
	p.onlyTo(func(i int) bool { return slices.Contains(cut, i) })
}

// cutOutside cuts the links from instances to all others and to the store.
func (p *versioned) cutOutside(cut []int) {
	inside, outside := make(map[string]bool), map[string]bool{storeMachine: true}
	for i := range p.instances {
		if slices.Contains(cut, i) {
			inside[machineOf(i)] = true
		} else {
			outside[machineOf(i)] = true
		}
	}
	p.network.CutLinks(fake.LinkFault{}, func(from, to string) bool { return inside[from] && outside[to] })
}

// onlyTo has callers come only to the instances that a condition accepts.
func (p *versioned) onlyTo(accepts func(i int) bool) {
	for i := range p.instances {
		p.setGone(i, !accepts(i))
	}
}

// takeUpFaultCases are cases of what fails between the beginning of streams and their being taken up.
var takeUpFaultCases = map[string]takeUpCase{
	"restarted in turn": {instances: 7, between: func(p *versioned) { p.restartInTurn(700*time.Millisecond, true) }},
	// Nobody need know any more: no stream has to go on, and none may mix.
	"killed in turn":           {instances: 7, between: func(p *versioned) { p.restartInTurn(700*time.Millisecond, false) }, least: nobodyKnows},
	"all killed":               {instances: 7, between: func(p *versioned) { p.restartAll(); time.Sleep(1500 * time.Millisecond) }, least: nobodyKnows},
	"40% killed of 7":          {instances: 7, between: func(p *versioned) { p.killShare(3) }},
	"85 instances, 40% killed": {instances: 85, between: func(p *versioned) { p.killShare(34) }},
	"85 instances, 40% killed, one version, callers that name no attempt": {
		instances: 85, first: true, versions: []string{"v1"}, between: func(p *versioned) { p.killShare(34) }, silent: true,
	},
	"store away": {instances: 7, between: func(p *versioned) {
		p.platform.SetFaults(fake.PlatformFaults{Busy: true})
		time.Sleep(3 * time.Second)
	}},
	"taken up where all others are cut off":                     {instances: 7, between: func(p *versioned) { p.cutFromOthers(2) }, least: nobodyKnows},
	"taken up where all others have been cut off for some time": {instances: 7, between: func(p *versioned) { p.cutFromOthers(2); time.Sleep(1500 * time.Millisecond) }, least: nobodyKnows},
	"one version": {instances: 7, first: true, versions: []string{"v1"}, between: nothing},
	"one version, callers that name no attempt": {instances: 7, first: true, versions: []string{"v1"}, between: nothing, silent: true},
	"one version, restarted in turn, callers that name no attempt": {
		instances: 7, first: true, versions: []string{"v1"}, between: func(p *versioned) { p.restartInTurn(700*time.Millisecond, true) }, silent: true,
	},
	"one version, all killed, callers that name no attempt": {
		instances: 7, first: true, versions: []string{"v1"}, between: func(p *versioned) { p.restartAll(); time.Sleep(1500 * time.Millisecond) }, silent: true,
	},
	"one version, restarted in turn, callers that come at once and name no attempt": {
		instances: 7, first: true, versions: []string{"v1"}, between: func(p *versioned) { p.restartInTurn(700*time.Millisecond, true) }, silent: true, together: true,
	},
	"all killed, callers that come at once": {instances: 7, between: func(p *versioned) { p.restartAll(); time.Sleep(1500 * time.Millisecond) }, together: true, least: nobodyKnows},
	"one version, store away, callers that name no attempt": {
		instances: 7, first: true, versions: []string{"v1"}, between: func(p *versioned) {
			p.platform.SetFaults(fake.PlatformFaults{Busy: true})
			time.Sleep(3 * time.Second)
		}, silent: true,
	},
	"two versions, callers that name no attempt": {instances: 7, between: nothing, silent: true, least: nobodyKnows},
	"a version gone and all killed": {instances: 7, between: func(p *versioned) {
		p.remove("v1")
		time.Sleep(time.Second)
		p.restartAll()
		time.Sleep(1500 * time.Millisecond)
	}, silent: true, least: nobodyKnows},
}

// nobodyKnows is the share of streams that has to go on where no instance that callers reach need know where
// they began.
const nobodyKnows = -1

// Streams go on at their version, or not at all, whatever happens to instances meanwhile.
func TestStreamsTakenUpAfterFaultsGoOnAtTheirVersion(t *testing.T) {
	for name, c := range takeUpFaultCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLarge(t, c.instances, c.first, func(l *large) { playTakeUps(l, c) })
		})
	}
}

// An instance that is cut off from the others and the store doesn't learn of a version that is listed then, and
// its callers bring streams of that version.
func TestStreamsOfVersionsThatAnInstanceDoesNotListEnd(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		silent bool
	}{{300 * time.Millisecond, false}, {1200 * time.Millisecond, false}, {1200 * time.Millisecond, true}, {2200 * time.Millisecond, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			playLarge(t, 7, true, func(l *large) {
				p := newVersioned(l, "v1")
				p.silent = c.silent
				p.network.CutLinks(fake.LinkFault{}, func(from, to string) bool {
					return from == machineOf(2) && (to == "10.200.0.1" || to[:6] != "10.200")
				})
				p.release("v2")
				time.Sleep(c.wait)
				streams := p.begin(30, brokenAfter, func() int { return p.pick(2) })
				p.cutFromOthers(2)
				p.takeUp(streams, 0)
				p.checkMixed(streams)
			})
		})
	}
}

// A data centre that is cut off from the others and the store doesn't learn of a version that is listed then. Its
// instances answer each other, which they took for being in touch.
func TestStreamsOfVersionsThatADataCentreDoesNotListEnd(t *testing.T) {
	for _, instances := range []int{13, 85, 300} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d instances, silent %v", instances, silent), func(t *testing.T) {
				t.Parallel()
				playLarge(t, instances, true, func(l *large) {
					p := newVersioned(l, "v1")
					p.silent = silent
					cut := func(i int) bool { return centreOf(i) == "dc0" }
					p.cutOutside(p.numbers(cut))
					p.onlyTo(func(i int) bool { return !cut(i) })
					p.release("v2")
					time.Sleep(1200 * time.Millisecond)
					p.drain("v1")
					time.Sleep(300 * time.Millisecond)
					streams := p.begin(30, brokenAfter, func() int { return p.pick(-1) })
					p.onlyTo(cut)
					p.takeUp(streams, 0)
					p.checkMixed(streams)
				})
			})
		}
	}
}

// numbers returns the instances that a condition accepts.
func (p *versioned) numbers(accepts func(i int) bool) []int {
	var list []int
	for i := range p.instances {
		if accepts(i) {
			list = append(list, i)
		}
	}
	return list
}

// Callers take up streams that never began, by the hundred, while others take up theirs.
func TestTakeUpsOfStreamsThatNeverBeganKeepNobodyAway(t *testing.T) {
	playLarge(t, 7, false, func(l *large) {
		p := newVersioned(l, "v1", "v2")
		streams := p.begin(30, brokenAfter, func() int { return p.pick(-1) })
		forged := make([]*taken, 1000)
		for i := range forged {
			forged[i] = &taken{first: fmt.Sprint("never", i), last: 3, began: p.clock.Now(), versions: make(map[string]bool)}
		}
		var callers sync.WaitGroup
		for _, s := range forged {
			callers.Go(func() { p.attempt(s, p.pick(-1), 0) })
		}
		p.checkGoneOn(p.takeUp(streams, 0), len(streams), leastGoneOn)
		callers.Wait()
		for _, s := range forged {
			if s.last > 3 {
				t.Errorf("a stream that never began goes on at %v", s.versions)
			}
		}
		p.checkMixed(streams)
	})
}
