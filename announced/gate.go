package announced

import (
	"math"
	"time"
)

const (
	// burstTime is for how long sends that nobody has asked for are kept: with less, a target
	// of 100 a second would lose its turn whenever no ask is there within 10 ms.
	burstTime = 250 * time.Millisecond
	// closedPause is how long who asks at a closed gate is told to wait: it opens when
	// another instance has become the owner, or this one hears the others.
	closedPause = 250 * time.Millisecond
)

// wholeSend is what counts as a send: sums of fractions fall short of one.
const wholeSend = 1 - 1e-9

// Gate gives out sends at a rate. It begins empty: who has just begun to keep it doesn't know
// what others have sent, and each new owner of a target would otherwise give one more.
type Gate struct {
	// rate is how many sends a second there are, 0 where the gate is closed.
	rate float64
	// sends are those to be given out now, as of at.
	sends float64
	at    time.Time
}

// RateWithin returns the rate at which a gate lets through at most so many sends within any second, those
// that it has kept included.
func RateWithin(sends float64) float64 {
	return sends / (1 + burstTime.Seconds())
}

// NewGate returns a gate of a rate that is empty but for the first sends.
func NewGate(rate, first float64, now time.Time) *Gate {
	return &Gate{rate: rate, sends: first, at: now}
}

// SetRate sets how many sends a second there are; 0 closes the gate, which is empty then.
func (g *Gate) SetRate(rate float64, now time.Time) {
	g.fill(now)
	g.rate = rate
	g.sends = min(g.sends, g.most())
	if rate <= 0 {
		g.sends = 0
	}
}

// Left returns how long it takes until there is a send; 0 if there is one.
func (g *Gate) Left(now time.Time) time.Duration {
	g.fill(now)
	switch {
	case g.rate <= 0:
		return closedPause
	case g.sends >= wholeSend:
		return 0
	}
	// Rounded up, so that there is one when the time is over.
	return time.Duration(math.Ceil((1 - g.sends) / g.rate * float64(time.Second)))
}

// Take takes a send that Left has told of.
func (g *Gate) Take() {
	g.sends--
}

// most is how many sends are kept.
func (g *Gate) most() float64 {
	return max(1, g.rate*burstTime.Seconds())
}

func (g *Gate) fill(now time.Time) {
	if passed := now.Sub(g.at); passed > 0 {
		g.sends = min(g.sends+g.rate*passed.Seconds(), g.most())
	}
	g.at = now
}
