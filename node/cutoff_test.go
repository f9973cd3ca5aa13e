package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/node"
)

const (
	// cutAfter is how long after the load begins the links are cut.
	cutAfter = 2 * time.Second
	// cutContact is how long after a cut the count of first tries begins.
	cutContact = 3 * time.Second
	// cutSpan is how long the count lasts.
	cutSpan = 5 * time.Second
	// leastCutShare is how often requests at cut-off instances have to be served, as a part of how often
	// they are at the others.
	leastCutShare = 2.0 / 3
	// cutSlack and cutFailures bound the first tries that fail: so many, and one in so many of all.
	cutSlack    = 10
	cutFailures = 50
)

// cutCase is a cut of some instances from targets.
type cutCase struct {
	count int
	// cut are the instances, and how many of the targets they lose.
	cut func(i int) bool
	how fake.LinkFault
	// only is the first letter of the targets that are cut off, those of one pool; empty means all.
	only string
}

func (c cutCase) String() string {
	return fmt.Sprintf("%d instances, %+v, only %q", c.count, c.how, c.only)
}

// cutOff is instances before targets of which some are cut off from the targets.
type cutOff struct {
	*limited
	cutCase
	from   time.Time
	counts map[bool]*served
	// machines are those of the targets that are cut off.
	machines map[string]bool
}

// served counts first tries.
type served struct {
	all, ok int
}

// someCut is a part of the instances of each data centre, wherever its other instances are.
func someCut(i int) bool { return (i/centres)%2 == 0 && i%3 != 0 }

// centreCut is a whole data centre.
func centreCut(i int) bool { return i%centres == 1 }

// allButOne is all instances but one.
func allButOne(i int) bool { return i != 3 }

// Instances whose links to targets fail, while callers, the store and the other instances reach them,
// served 5 of 111 first tries and the others 428 of 435.
func TestInstancesCutOffFromTargetsServeTheirCallers(t *testing.T) {
	silent, reset := fake.LinkFault{}, fake.LinkFault{Reset: true}
	refused, kept := fake.LinkFault{Reset: true, Refuse: true}, fake.LinkFault{Keep: true, Refuse: true}
	cases := map[string]cutCase{
		"some silent":                 {count: 7, cut: someCut, how: silent},
		"some reset":                  {count: 7, cut: someCut, how: reset},
		"some refused":                {count: 7, cut: someCut, how: refused},
		"some kept":                   {count: 7, cut: someCut, how: kept},
		"some from services":          {count: 7, cut: someCut, how: silent, only: "p"},
		"some from engines":           {count: 7, cut: someCut, how: refused, only: "e"},
		"all but one from engines":    {count: 7, cut: allButOne, how: refused, only: "e"},
		"data centre of one":          {count: 7, cut: centreCut, how: silent},
		"all but one silent":          {count: 7, cut: allButOne, how: silent},
		"all but one refused":         {count: 7, cut: allButOne, how: refused},
		"data centre, 85_instances":   {count: 85, cut: centreCut, how: silent},
		"some, 300_instances":         {count: 300, cut: someCut, how: refused},
		"data centre, 300_instances":  {count: 300, cut: centreCut, how: silent},
		"all but one, 85_instances":   {count: 85, cut: allButOne, how: refused},
		"data centre reset, 85_again": {count: 85, cut: centreCut, how: reset},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLarge(t, c.count, false, func(l *large) { playCut(newLimited(l, 8), c) })
		})
	}
}

// playCut cuts some instances off and checks how their callers are served.
func playCut(p *limited, c cutCase) {
	p.kinds = []string{"e", "p", "o"}
	p.configure(3, cutParts())
	time.Sleep(500 * time.Millisecond)
	o := &cutOff{limited: p, cutCase: c, counts: map[bool]*served{true: {}, false: {}}, machines: make(map[string]bool)}
	for name, address := range p.addresses {
		if strings.HasPrefix(name, c.only) {
			o.machines[strings.TrimSuffix(address, ":80")] = true
		}
	}
	instances := make(map[string]bool)
	for i := range c.count {
		instances[machineOf(i)] = c.cut(i)
	}
	o.from = p.clock.Now().Add(cutAfter + cutContact)
	p.answered = o.count
	time.AfterFunc(cutAfter, func() {
		p.network.CutLinks(c.how, func(from, to string) bool { return instances[from] && o.machines[to] })
	})
	p.load(cutAfter + cutContact + cutSpan)
	o.checkServed()
	p.network.MendLinks()
	p.answered = nil
	p.load(2 * time.Second)
	o.checkRuns()
}

// cutParts are the parts of a configuration with a route of calls that may run once only.
func cutParts() configured {
	parts := limitedParts()
	parts.routes = append(parts.routes, object{
		"Name": "o", "Host": "h.example", "PathPrefix": "/o/", "Kind": "non_idempotent", "TimeoutMs": 1500, "GoalMs": 300, "Service": "plain", "MaxAttempts": 1,
	})
	return parts
}

// count counts a first try.
func (o *cutOff) count(call outcome) {
	if call.sent.Before(o.from) || call.status == "left" {
		return
	}
	counts := o.counts[o.cut(call.at)]
	counts.all++
	if call.status == "200" {
		counts.ok++
	}
}

// checkServed checks the first tries.
func (o *cutOff) checkServed() {
	o.t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	cut, others := *o.counts[true], *o.counts[false]
	o.t.Logf("%v: cut off %d of %d, the others %d of %d", o.cutCase, cut.ok, cut.all, others.ok, others.all)
	failed, all := cut.all-cut.ok+others.all-others.ok, cut.all+others.all
	if failed > cutSlack+all/cutFailures {
		o.t.Errorf("%d of %d first tries failed", failed, all)
	}
	if others.all > 0 && float64(cut.ok)*float64(others.all) < leastCutShare*float64(others.ok)*float64(cut.all) {
		o.t.Errorf("instances that were cut off served %d of %d first tries, the others %d of %d", cut.ok, cut.all, others.ok, others.all)
	}
}

// checkRuns checks that nothing that may run once ran twice, that no target had too much time, and that
// no end of a target was reported: none has ended.
func (o *cutOff) checkRuns() {
	o.t.Helper()
	runs := make(map[string]int)
	for _, target := range o.targets {
		for _, run := range target.Runs() {
			if strings.HasPrefix(run.Path, "/o/") {
				runs[run.ID]++
			}
			if run.Deadline > 8000 {
				o.t.Errorf("%s was given %d ms", run.ID, run.Deadline)
			}
			if run.Customer != "c" || run.Key != "" {
				o.t.Errorf("%s ran for %q with the key %q", run.ID, run.Customer, run.Key)
			}
		}
	}
	for id, count := range runs {
		if count > 1 {
			o.t.Errorf("%s ran %d times", id, count)
		}
	}
	if lines := o.log.Lines("A target has ended under requests"); len(lines) > 0 {
		o.t.Errorf("%d ends of targets were reported, none has ended: %s", len(lines), lines[0])
	}
}

// What tells links that fail from a target that has ended are targets that get requests. Of a list with 160
// targets of a service that no configuration uses, and three targets that leave, most draws were of those: all
// instances called themselves cut off, and no end of a target was confirmed.
func TestLinksAreCheckedByTargetsInUse(t *testing.T) {
	playLarge(t, 6, false, func(l *large) {
		p := newLimited(l, 4)
		p.leave("e1", "p1")
		p.load(2 * time.Second)
		serving := make(map[string]bool)
		for name, address := range p.addresses {
			serving[address] = name != "e1" && name != "p1" && name != "e0"
		}
		for range 100 {
			controls := node.Controls(l.instances[0], shelfshelf.Target{Name: "e0", Pool: "limited"})
			if len(controls) == 0 {
				t.Error("no target to check links by")
			}
			for _, control := range controls {
				if !serving[control.Address] || control.Pool != "limited" {
					t.Fatalf("links are checked by %+v", control)
				}
			}
		}
	})
}
