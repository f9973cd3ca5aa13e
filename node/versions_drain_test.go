package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// targetDrain is for how long targets serve after they have said that they leave.
const targetDrain = 2 * time.Second

// readerFaults are what keeps the instances that read the store for the others from telling them, by names.
var readerFaults = map[string]func(p *versioned, readers []int){
	"silent": func(p *versioned, readers []int) {
		for _, i := range readers {
			p.cutOff(i)
		}
	},
	"without the store": func(p *versioned, readers []int) {
		cut := make(map[string]bool)
		for _, i := range readers {
			cut[machineOf(i)] = true
		}
		p.network.CutLinks(fake.LinkFault{}, func(from, to string) bool { return cut[from] && to == storeMachine })
	},
}

// The first instances of all data centres, which read the store for the others, fail as targets begin to drain. The
// others learn of it up to 1.5 s late, counted from then, and sent streams there for up to 2.5 s of 2.
func TestStreamsReachNoTargetThatHasDrainedForTooLong(t *testing.T) {
	for name, fail := range readerFaults {
		for _, instances := range []int{13, 24, 85} {
			for _, ahead := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d instances, %s %v before", instances, name, ahead), func(t *testing.T) {
					t.Parallel()
					playLarge(t, instances, false, func(l *large) {
						p := newVersioned(l, "v1", "v2")
						streams := p.begin(120, brokenAfter, func() int { return p.pick(-1) })
						first := p.numbers(func(i int) bool { return i < centres })
						p.onlyTo(func(i int) bool { return i >= centres })
						fail(p, first)
						time.Sleep(ahead)
						p.drain("v1")
						p.apart = 25 * time.Millisecond
						p.t.Logf("%d of %d streams went on", p.takeUp(streams, 0), len(streams))
						p.checkMixed(streams)
						p.checkDrained()
					})
				})
			}
		}
	}
}
