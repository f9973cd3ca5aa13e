package node_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// leavingBound is how long after an instance has passed on an answer that says that its target
// leaves callers' requests may still reach that target from it.
const leavingBound = 2 * time.Second

// A target that is about to stop says so in its entry of the store, and in all its answers too.
// While the store was away for 13 s, one of 18 engines could say it only in its answers. An
// instance passed such an answer on at 7.676 s; at 19.6 s, as the store was back with the entry
// still ready, it sent the engine six requests more within a second, all with places of the
// engine's owner, as in
//
//	"target":"i-a53e9e23f6","sent":1,"asked":1,"alone":false
//
// because nothing read the word: of a target's answers only its load and its limit were.
func TestTargetsThatLeaveByTheirAnswersGetNothingMore(t *testing.T) {
	for _, count := range []int{6, 85, 300} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				p := newLimited(l, 8)
				p.load(500 * time.Millisecond)
				p.leave("e0", "e1", "p0", "p1")
				p.load(2500 * time.Millisecond)
				// The entries of some lapse and come back as they were, beside a store that is away.
				for _, name := range []string{"e0", "p0"} {
					l.platform.Drop("servers", name)
				}
				p.load(500 * time.Millisecond)
				l.platform.SetFaults(fake.PlatformFaults{Reset: true})
				p.load(1500 * time.Millisecond)
				l.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay})
				p.list("e0", "ready", 0)
				p.list("p0", "ready", 0)
				p.load(4 * time.Second)
				p.checkLeft("e0", "e1", "p0", "p1")
				p.check()
			})
		})
	}
}

// Who starts anew, or was cut off, sends a target that leaves one request at most before it knows.
func TestLeavingOutlivesRestartsAndCuts(t *testing.T) {
	playLarge(t, 24, false, func(l *large) {
		p := newLimited(l, 8)
		p.leave("e0", "p0")
		p.load(3 * time.Second)
		for _, i := range []int{0, 1, 2} {
			p.cutOff(i)
		}
		p.load(2 * time.Second)
		for _, i := range []int{0, 1, 2} {
			p.back(i)
		}
		p.load(4 * time.Second)
		p.restart([]int{3, 4, 5, 6})
		p.load(5 * time.Second)
		p.checkLeft("e0", "p0")
		p.check()
	})
}

// A store that comes back from a copy in which the targets were ready, twice and with a second away
// each time, brings nothing back to those that leave by their answers, whether their entries said it
// too or never came to, nor to those that rest.
func TestWordsOutliveAnOlderStore(t *testing.T) {
	playLarge(t, 24, false, func(l *large) {
		p := newLimited(l, 8)
		p.few, p.refusable = 8, true
		older := l.platform.Rows.Copy()
		p.leave("e0", "p0")
		p.rest(0.4, "4", "e1", "e2", "e3", "p1", "p2", "p3")
		p.load(2 * time.Second)
		p.list("e0", "draining", 0)
		for range 2 {
			l.platform.SetFaults(fake.PlatformFaults{Reset: true})
			p.load(time.Second)
			l.platform.Rows.GoBack(older)
			l.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay})
			p.load(2 * time.Second)
		}
		p.checkLeft("e0", "p0")
		p.checkRests("e1", "e2", "e3", "p1", "p2", "p3")
		p.checkOthersServed("e1", "e2", "e3", "p1", "p2", "p3")
	})
}

// A target that starts again under its name has not said that it leaves, and is used again.
func TestLeavingEndsWithALife(t *testing.T) {
	playLarge(t, 24, false, func(l *large) {
		p := newLimited(l, 2)
		for _, name := range []string{"e0", "p0"} {
			p.list(name, "ready", 1000)
		}
		p.load(time.Second)
		p.leave("e0", "p0")
		p.load(3 * time.Second)
		p.checkLeft("e0", "p0")
		for _, name := range []string{"e0", "p0"} {
			p.targets[name].SetLeaving(false)
			l.platform.Drop("servers", name)
		}
		p.load(time.Second)
		began := p.clock.Now()
		for _, name := range []string{"e0", "p0"} {
			p.list(name, "ready", 2000)
		}
		p.load(3 * time.Second)
		for _, name := range []string{"e0", "p0"} {
			fresh := slices.DeleteFunc(p.targets[name].Arrivals(), func(a fake.Arrival) bool { return a.At.Before(began) })
			if len(fresh) == 0 {
				t.Errorf("%s got nothing in its second life", name)
			}
		}
		p.check()
	})
}

// A target that has said that it leaves and ends with requests under way has not ended under one
// of them: nobody is held back for it.
func TestEndsOfTargetsThatLeaveAreNoCrashes(t *testing.T) {
	playLarge(t, 6, false, func(l *large) {
		p := newLimited(l, 8)
		for _, name := range []string{"e0", "e1", "e2"} {
			p.targets[name].SetFaults(fake.ServerFaults{Slow: 300 * time.Millisecond})
		}
		p.load(time.Second)
		p.leave("e0", "e1", "e2")
		ended := make(chan struct{})
		p.ended.Go(func() {
			defer close(ended)
			// The first answer that says so comes after 300 ms; requests run for 1.5 s.
			time.Sleep(600 * time.Millisecond)
			for _, name := range []string{"e0", "e1", "e2"} {
				time.Sleep(100 * time.Millisecond)
				p.ends[name]()
			}
		})
		p.load(2 * time.Second)
		<-ended
		time.Sleep(2 * time.Second)
		if left := p.log.Lines("A target that was leaving has ended under requests"); len(left) == 0 {
			t.Error("no target ended under requests")
		}
		if crashed := p.log.Lines("A target has ended under requests"); len(crashed) > 0 {
			t.Errorf("%d ends of targets that leave count against requests: %s", len(crashed), crashed[0])
		}
		p.check()
	})
}

// leave has targets say in their answers that they leave.
func (p *limited) leave(names ...string) {
	for _, name := range names {
		p.targets[name].SetLeaving(true)
	}
}

// list writes a target's entry again, with a state and when it was born, in Unix milliseconds;
// 0 leaves that out.
func (p *limited) list(name, state string, born int) {
	service := map[byte]string{'e': "limited", 'p': "plain"}[name[0]]
	entry := object{"Service": service, "Address": p.addresses[name], "Zone": p.centres[name], "Slots": 8, "State": state}
	if born > 0 {
		entry["born"] = born
	}
	p.put("servers", name, entry)
}

// checkLeft checks that no request of a caller that came later than the bound after an instance
// had passed on a target's word went there from that instance.
func (p *limited) checkLeft(names ...string) {
	p.t.Helper()
	for _, name := range names {
		arrivals := p.targets[name].Arrivals()
		told := make(map[string]time.Time)
		said := 0
		for _, a := range arrivals {
			if a.Leaving {
				said++
			}
			if at, known := told[a.From]; a.Leaving && !a.Answered.IsZero() && (!known || a.Answered.Before(at)) {
				told[a.From] = a.Answered
			}
		}
		late := 0
		for _, a := range arrivals {
			at, known := told[a.From]
			if known && sentAt(a.ID).Sub(at) > leavingBound {
				late++
			}
		}
		p.t.Logf("%s said %d times that it leaves, to %d instances whose callers stayed, and got %d requests", name, said, len(told), len(arrivals))
		if late > 0 {
			p.t.Errorf("%s got %d requests later than %v after their instances had passed on that it leaves", name, late, leavingBound)
		}
		// The one caller of the only answer that said so may have left at its head.
		if said == 0 {
			p.t.Errorf("%s told nobody that it leaves", name)
		}
	}
}

// sentAt returns when the caller of a request sent it, as its id tells.
func sentAt(id string) time.Time {
	nanos, err := strconv.ParseInt(strings.Split(id, "-")[1], 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
