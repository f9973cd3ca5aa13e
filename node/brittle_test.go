package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// brittleRefusals is how many refusals in a second a brittle target outlasts.
	brittleRefusals = 3
	// fallSlack and fallShare bound how often targets may fall: so often, and once for one in so many of them.
	fallSlack = 2
	fallShare = 10
	// brittleTargets is how many targets of each kind there are, with as many places as the load needs.
	brittleTargets = 2
)

// A target that says that it is brittle fails when it has to turn away more than some requests in a second. Each
// instance had a bound of its own for plain targets, by what the others had last reported.
func TestBrittleTargetsAreNotOverrun(t *testing.T) {
	for _, count := range []int{7, 85} {
		t.Run(fmt.Sprint(count, "_instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) { playBrittle(newLimited(l, brittleTargets)) })
		})
	}
}

// playBrittle has all targets say that they are brittle, and let no request wait some seconds later.
func playBrittle(p *limited) {
	faults := fake.ServerFaults{Slow: 110 * time.Millisecond, Brittle: brittleRefusals}
	for name, target := range p.targets {
		if name[0] == 'e' {
			faults.Slow = 20 * time.Millisecond
		}
		target.SetFaults(faults)
		faults.Slow = 110 * time.Millisecond
	}
	time.AfterFunc(limitContact, func() {
		for name, target := range p.targets {
			full := faults
			full.Places = 8
			if name[0] == 'e' {
				full.Slow = 20 * time.Millisecond
			}
			target.SetFaults(full)
			target.ForgetFalls()
		}
	})
	p.load(limitContact + 5*time.Second)
	falls := 0
	for _, target := range p.targets {
		falls += target.Falls()
	}
	p.t.Log(falls, "falls", p.answers)
	if allowed := fallSlack + len(p.targets)/fallShare; falls > allowed {
		p.t.Errorf("brittle targets fell %d times, allowed %d", falls, allowed)
	}
	if served, all := p.answers["p 200"], p.answers["p 200"]+p.answers["p 503"]; served*10 < all*8 {
		p.t.Errorf("%d of %d served", served, all)
	}
}
