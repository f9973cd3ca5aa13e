package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// evacuateBound is how long after the store has taken the operator's word targets of the data centre
// may still get requests, and usedBound how long after it is taken back they get some again.
const (
	evacuateBound = 2 * time.Second
	usedBound     = 2 * time.Second
)

// evacuate has the operator order that a data centre be evacuated, and takeBack that it is used again.
func (p *limited) evacuate(centre string) { p.put("op", "evacuate/"+centre, object{}) }

func (p *limited) takeBack(centre string) { p.platform.Drop("op", "evacuate/"+centre) }

// arrivedIn counts the requests that came to targets of data centres since an instant.
func (p *limited) arrivedIn(began time.Time, centres ...string) int {
	count := 0
	for name := range p.targets {
		if !slices.Contains(centres, p.centres[name]) {
			continue
		}
		for _, at := range p.arrivals(name) {
			if !at.Before(began) {
				count++
			}
		}
	}
	return count
}

// checkEvacuated checks that targets of data centres have had nothing since an instant.
func (p *limited) checkEvacuated(began time.Time, centres ...string) {
	p.t.Helper()
	if count := p.arrivedIn(began, centres...); count > 0 {
		p.t.Errorf("%d requests came to targets of %v, which are evacuated", count, centres)
	}
}

// While the operator's word stands that a data centre is evacuated, its targets get nothing from any
// instance, and its callers are served elsewhere; nothing read that word before. When it is gone the
// targets are used again. Two may be evacuated at once, and one that nobody knows harms nothing.
func TestEvacuatedDataCentresGetNothing(t *testing.T) {
	for _, count := range []int{6, 85, 300} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				p := newLimited(l, 12)
				p.load(500 * time.Millisecond)
				p.evacuate("dc1")
				p.evacuate("dc4")
				p.evacuate("nowhere")
				p.load(evacuateBound)
				began := p.clock.Now()
				p.load(2 * time.Second)
				p.checkEvacuated(began, "dc1", "dc4")
				p.takeBack("dc1")
				p.load(usedBound)
				p.checkEvacuated(began, "dc4")
				if p.arrivedIn(began, "dc1") == 0 {
					p.t.Error("targets are not used again")
				}
				p.check()
			})
		})
	}
}

// The word holds through a store that is away, that drops its history or comes back from an older copy
// without it, for instances that start anew or were cut off from all others.
func TestEvacuationsOutliveFaults(t *testing.T) {
	for name, fault := range map[string]func(p *limited, older *fake.RowsCopy){
		"store away": func(p *limited, _ *fake.RowsCopy) {
			p.platform.SetFaults(fake.PlatformFaults{Busy: true})
			p.load(3 * time.Second)
			p.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay})
			p.load(time.Second)
		},
		"restart of all": func(p *limited, _ *fake.RowsCopy) {
			p.restartAll()
			p.load(3 * time.Second)
		},
		"cut off": func(p *limited, _ *fake.RowsCopy) {
			p.cutOff(0)
			p.cutOff(1)
			p.load(3 * time.Second)
			p.back(0)
			p.back(1)
			p.load(2 * time.Second)
		},
		"older copy": func(p *limited, older *fake.RowsCopy) {
			p.platform.SetFaults(fake.PlatformFaults{Reset: true})
			p.load(time.Second)
			p.platform.Rows.GoBack(older)
			p.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay})
			p.load(2 * time.Second)
			p.evacuate("dc1")
			p.load(4 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			playLarge(t, 24, false, func(l *large) {
				p := newLimited(l, 12)
				p.refusable = true
				older := l.platform.Rows.Copy()
				p.evacuate("dc1")
				p.load(evacuateBound)
				began := p.clock.Now()
				fault(p, older)
				p.checkEvacuated(began, "dc1")
				if p.arrivedIn(began, "dc0", "dc2", "dc3") == 0 {
					t.Error("others are not used either")
				}
			})
		})
	}
}

// Where the only data centre with targets is evacuated, requests are refused as not run.
func TestNothingIsServedWhereAllIsEvacuated(t *testing.T) {
	playLarge(t, 6, false, func(l *large) {
		p := newLimited(l, 1)
		p.refusable = true
		p.evacuate("dc0")
		p.load(evacuateBound)
		began := p.clock.Now()
		p.answers = make(map[string]int)
		p.load(time.Second)
		p.checkEvacuated(began, "dc0")
		if p.answers["e 503"] == 0 || p.answers["p 503"] == 0 || p.answers["e 200"]+p.answers["p 200"] > 0 {
			t.Errorf("%v", p.answers)
		}
	})
}
