package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fake"
)

// inForce is how long after a configuration was put into the store it is in force everywhere.
const inForce = 1500 * time.Millisecond

// regions are those of the simulated data centres, two each.
func regions() map[shelfshelf.DataCentre]shelfshelf.Region {
	all := make(map[shelfshelf.DataCentre]shelfshelf.Region)
	for i := range centres {
		all[shelfshelf.DataCentre(centreOf(i))] = shelfshelf.Region(fmt.Sprint("r", i/2))
	}
	return all
}

// bind puts a configuration into the store whose routes and customer are bound to regions; nil means
// that they are not.
func (p *limited) bind(version int, route, customer any) {
	c := limitedParts()
	if route != nil {
		for _, r := range c.routes {
			r["AllowedRegions"] = route
		}
	}
	if customer != nil {
		c.customer["AllowedRegions"] = customer
	}
	p.configure(version, c)
	time.Sleep(inForce)
}

// arrivedSince counts the requests of a kind that came to targets of each region since an instant.
func (p *limited) arrivedSince(began time.Time) map[shelfshelf.Region]int {
	all := make(map[shelfshelf.Region]int)
	for name := range p.targets {
		for _, at := range p.arrivals(name) {
			if !at.Before(began) {
				all[regions()[shelfshelf.DataCentre(p.centres[name])]]++
			}
		}
	}
	return all
}

// Where a route and a customer are bound to regions, both bind: no target elsewhere gets the request,
// at its first try or when a stream goes on. Nothing read the field before, so that requests went
// wherever there was room.
func TestBoundRequestsStayInTheirRegions(t *testing.T) {
	for _, count := range []int{6, 85, 300} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				p := newLimited(l, 12)
				p.bind(3, []string{"r0", "r1"}, []string{"r1", "r2"})
				began := p.clock.Now()
				for name, target := range p.targets {
					if strings.HasPrefix(name, "e") {
						target.SetFaults(fake.ServerFaults{Slow: 10 * time.Millisecond, CutAfter: 2, CutTimes: 5})
					}
				}
				p.load(2 * time.Second)
				p.checkOnly(began, "r1")
				p.bind(4, []string{"r2"}, nil)
				began = p.clock.Now()
				p.load(2 * time.Second)
				p.checkOnly(began, "r2")
				p.check()
			})
		})
	}
}

// checkOnly checks that all requests since an instant came to targets of a region.
func (p *limited) checkOnly(began time.Time, region shelfshelf.Region) {
	p.t.Helper()
	arrived := p.arrivedSince(began)
	for other, count := range arrived {
		if other != region {
			p.t.Errorf("%d requests came to targets of %s, bound to %s", count, other, region)
		}
	}
	if arrived[region] == 0 {
		p.t.Errorf("no request came to targets of %s", region)
	}
}

// Where no region is left, as for one without targets, that is unknown, or that can't be read, the
// request is refused as not run, and is never sent.
func TestRequestsWithoutARegionAreRefused(t *testing.T) {
	for name, bound := range map[string]struct{ route, customer any }{
		"no common region": {[]string{"r0"}, []string{"r1"}},
		"unknown region":   {[]string{"elsewhere"}, nil},
		"unreadable":       {object{"r0": true}, nil},
		"unreadable also":  {nil, "r0"},
	} {
		t.Run(name, func(t *testing.T) {
			playLarge(t, 6, false, func(l *large) {
				p := newLimited(l, 12)
				p.refusable = true
				p.bind(3, bound.route, bound.customer)
				began := p.clock.Now()
				p.load(time.Second)
				if arrived := p.arrivedSince(began); len(arrived) > 0 {
					t.Errorf("sent all the same: %v", arrived)
				}
				if p.answers["e 503"] == 0 || p.answers["p 503"] == 0 || p.answers["e 200"]+p.answers["p 200"] > 0 {
					t.Errorf("%v", p.answers)
				}
				// The rest of the configuration holds, and the next one ends it.
				p.bind(4, nil, []string{})
				p.answers = make(map[string]int)
				p.refusable = false
				p.load(time.Second)
				p.check()
			})
		})
	}
}

// A region narrowed while streams wait for a place binds them too.
func TestWaitingRequestsHeedNarrowedRegions(t *testing.T) {
	playLarge(t, 6, false, func(l *large) {
		p := newLimited(l, 12)
		p.refusable = true
		for _, target := range p.targets {
			target.SetFaults(fake.ServerFaults{Slow: 300 * time.Millisecond})
		}
		load := make(chan struct{})
		go func() {
			defer close(load)
			p.load(5 * time.Second)
		}()
		time.Sleep(time.Second)
		p.bind(3, []string{"r1"}, nil)
		began := p.clock.Now()
		<-load
		p.checkOnly(began, "r1")
	})
}
