package node_test

import (
	"testing"
	"time"
)

// playCrowded plays a crowd at one of the instances and checks how callers were served.
func playCrowded(t *testing.T, c crowdCase) {
	playLarge(t, c.count, false, func(l *large) {
		p := newCrowded(l, c)
		p.play()
		p.check()
	})
}

// With most new connections at one instance that has power to spare, two in five requests were refused: all asked the
// nearest engines, which were full, while others had room.
func TestCrowdsAtAStrongInstanceUseAllEngines(t *testing.T) {
	cases := map[string]crowdCase{
		"7 instances":   {count: 7, at: 1, perSecond: 240, engines: 10, events: 10, pace: 60 * time.Millisecond},
		"85_instances":  {count: 85, at: 1, perSecond: 240, engines: 10, events: 10, pace: 60 * time.Millisecond},
		"300_instances": {count: 300, at: 1, perSecond: 240, engines: 10, events: 10, pace: 60 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playCrowded(t, c)
		})
	}
}

// With most new connections at one instance that is too weak for them, most of what it read was served late or never.
func TestCrowdsAtAWeakInstanceAreServed(t *testing.T) {
	few := crowdCase{perSecond: 240, engines: 2, events: 5, pace: 10 * time.Millisecond}
	cases := map[string]func(c *crowdCase){
		"7 instances":   func(c *crowdCase) { c.count, c.at = 7, 6 },
		"85_instances":  func(c *crowdCase) { c.count, c.at = 85, 7 },
		"300_instances": func(c *crowdCase) { c.count, c.at = 300, 7 },
		"moves on":      func(c *crowdCase) { c.count, c.at, c.moves = 20, 7, 2 },
		"comes back":    func(c *crowdCase) { c.count, c.at, c.times = 20, 7, 2 },
		"all weak":      func(c *crowdCase) { c.count, c.at, c.allWeak = 12, 7, true },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := few
			set(&c)
			playCrowded(t, c)
		})
	}
}

// With more callers than all instances together have power for, all were late at once and served hardly anybody.
func TestInstancesThatAreAllLateServeWhatTheyRead(t *testing.T) {
	t.Parallel()
	playCrowded(t, crowdCase{
		count: 7, allWeak: true, perSecond: 200, evenly: 5, engines: 4, events: 5, pace: 10 * time.Millisecond,
	})
}

// With most new connections at one instance whose link is too narrow for them, connections to targets took too long,
// which was taken for the targets' fault.
func TestCrowdsAtANarrowLinkAreServed(t *testing.T) {
	t.Parallel()
	playCrowded(t, crowdCase{
		count: 20, at: 7, perSecond: 240, engines: 2, events: 5, pace: 10 * time.Millisecond, body: 16 << 10, noProcessors: true,
	})
}
