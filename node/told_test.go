package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/node"
)

// untilHeld waits until all instances hold a request back, and returns
// how long that took.
func (l *large) untilHeld(request shelfshelf.Fingerprint, within time.Duration) time.Duration {
	began := l.clock.Now()
	waiting := l.instances
	for l.clock.Now().Sub(began) < within {
		var still []*node.Node
		for _, instance := range waiting {
			if !node.HoldsBack(instance, request) {
				still = append(still, instance)
			}
		}
		if waiting = still; len(waiting) == 0 {
			return l.clock.Now().Sub(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.t.Errorf("%d instances let the request through after %v", len(waiting), within)
	return within
}

// Each of three engines ends under a request before the eyes of another instance, in
// another data centre. Whichever instance it comes to next refuses it, well within the time
// in which instances in touch have to know, also who was not there to be told.
func TestAllInstancesKnowOfEnds(t *testing.T) {
	for _, count := range []int{7, 30, 240} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				l.untilReady(3 * time.Second)
				time.Sleep(2 * time.Second)
				for i := range 3 {
					node.TargetEnded(l.instances[i], shelfshelf.TargetName(fmt.Sprint("s", i)), 1)
				}
				told := l.untilHeld(1, 3*time.Second)
				// By now nobody tells of it any more.
				time.Sleep(3 * time.Second)
				l.announced(count)
				l.start(count, false)
				time.Sleep(10 * time.Millisecond)
				fetched := l.untilHeld(1, 3*time.Second)
				t.Logf("told to all after %v, known to who starts after %v", told, fetched)
				if told > 1500*time.Millisecond {
					t.Errorf("told to all after %v", told)
				}
			})
		})
	}
}
