package node_test

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// streamEvents is how many events a whole stream has, and brokenAfter how many a caller has had when it
	// breaks off.
	streamEvents = 24
	brokenAfter  = 5
	// streamTime is how long a caller waits for a stream over all its tries.
	streamTime = 12 * time.Second
	// mostMixed is how many streams may hold events of two versions, in a whole play.
	mostMixed = 2
	// leastGoneOn is the share of streams that have to go on where the version is known and served, as a part
	// of the share of new streams that begin.
	leastGoneOn = 0.9
)

// Targets break streams off, and the instance goes on at another target within the same answer: 8 of 40
// streams held events of two versions.
func TestStreamsGoOnAtTheirVersionWithinOneAnswer(t *testing.T) {
	playLarge(t, 7, false, func(l *large) {
		p := newVersioned(l, "v1", "v2")
		for _, target := range p.targets {
			target.SetFaults(fake.ServerFaults{Slow: 10 * time.Millisecond, CutAfter: brokenAfter, CutTimes: 3})
		}
		// Instances have about five retries each that the budget of retries allows.
		streams := p.begin(40, 0, p.inTurn())
		p.checkMixed(streams)
		p.checkGoneOn(p.resumed(), p.cutFirst(), leastGoneOn)
	})
}

// runs counts the runs of all targets of a kind.
func (p *versioned) runs(counted func(run fake.Run) bool) int {
	count := 0
	for _, target := range p.targets {
		for _, run := range target.Runs() {
			if counted(run) {
				count++
			}
		}
	}
	return count
}

// cutFirst is how many streams broke off at their first target, and resumed how many went on at a second one.
func (p *versioned) cutFirst() int {
	return p.runs(func(run fake.Run) bool { return run.Ended == "cut" && run.LastEvent == "" })
}

func (p *versioned) resumed() int {
	return p.runs(func(run fake.Run) bool { return run.LastEvent != "" })
}

// takeUpCase is what happens between the beginning of streams and their callers' taking them up.
type takeUpCase struct {
	instances int
	// first says that the deployment starts for the first time.
	first bool
	// versions are listed at the beginning; none means v1 and v2.
	versions []string
	// begin is the instance that all streams begin at; 0 means any.
	begin int
	// between happens before the streams are taken up.
	between func(p *versioned)
	// again is how often more the streams are taken up, and broken off, before they are read to their ends.
	again int
	// silent callers don't tell which attempt brought the first event.
	silent bool
	// together says that all callers take their streams up at once.
	together bool
	// least is the share of the streams that has to go on; none means leastGoneOn.
	least float64
}

// nothing happens in between.
func nothing(*versioned) {}

// takeUpCases are the cases by name.
var takeUpCases = map[string]takeUpCase{
	"at another instance": {instances: 7, between: nothing},
	"after 5 s":           {instances: 7, between: func(*versioned) { time.Sleep(5 * time.Second) }},
	"three times":         {instances: 7, between: nothing, again: 2},
	"at an instance that joined since": {instances: 7, between: func(p *versioned) {
		p.announced(7)
		p.start(7, false)
		time.Sleep(time.Second)
		for i := range 7 {
			p.gone[i] = true
		}
	}},
	"the instance of the beginning stopped": {instances: 7, begin: 3, between: func(p *versioned) { p.stop(3) }},
	"the instance of the beginning killed":  {instances: 7, begin: 3, between: func(p *versioned) { p.kill(3) }},
	"the instance of the beginning cut off": {instances: 7, begin: 3, between: func(p *versioned) {
		p.gone[3] = true
		p.cutOff(3)
	}},
	"a version gone from the list": {instances: 7, between: func(p *versioned) {
		p.remove("v1")
		time.Sleep(time.Second)
	}, least: 0.25},
	"a version listed since": {instances: 7, versions: []string{"v1"}, between: func(p *versioned) {
		p.release("v2")
		time.Sleep(time.Second)
	}},
	"85 instances, the one of the beginning killed": {instances: 85, begin: 3, between: func(p *versioned) { p.kill(3) }},
	"300 instances": {instances: 300, between: nothing},
}

// Callers break streams off and take them up at other instances: 11 of 30 streams held events of two versions,
// after three take-ups 20.
func TestStreamsTakenUpGoOnAtTheirVersion(t *testing.T) {
	for name, c := range takeUpCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLarge(t, c.instances, c.first, func(l *large) { playTakeUps(l, c) })
		})
	}
}

func playTakeUps(l *large, c takeUpCase) {
	if c.versions == nil {
		c.versions = []string{"v1", "v2"}
	}
	if c.least == 0 {
		c.least = leastGoneOn
	}
	p := newVersioned(l, c.versions...)
	p.silent = c.silent
	at := func() int { return p.pick(-1) }
	if c.begin > 0 {
		at = func() int { return c.begin }
	}
	streams := p.begin(30, brokenAfter, at)
	c.between(p)
	if c.together {
		p.apart = 0
	}
	for range c.again {
		p.checkGoneOn(p.takeUp(streams, brokenAfter), len(streams), c.least)
	}
	p.checkGoneOn(p.takeUp(streams, 0), len(streams), c.least)
	p.checkMixed(streams)
}

// Near the end of a release all targets of the old version drain, and still serve: streams that must not go
// anywhere else were refused.
func TestStreamsGoOnWhileTheirVersionDrains(t *testing.T) {
	playLarge(t, 7, false, func(l *large) {
		playTakeUps(l, takeUpCase{between: func(p *versioned) {
			p.drain("v1")
			time.Sleep(300 * time.Millisecond)
		}})
	})
}
