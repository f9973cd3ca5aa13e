package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// releaseTime is how long a release of the test takes, and releaseLoad how many streams a second begin.
const (
	releaseTime = 8 * time.Second
	releaseLoad = 30
)

// releaseCounts counts streams that callers ask for beside a release.
type releaseCounts struct {
	mu              sync.Mutex
	asked, begun    int
	takeUps, goneOn int
	streams         []*taken
}

// releaseInTurn replaces the targets of a version by those of another, one after the other: the new one starts,
// the old one drains, serves for a while and ends.
func (p *versioned) releaseInTurn(from, to string) {
	var names []string
	p.each(from, func(name string) { names = append(names, name) })
	var ends sync.WaitGroup
	for _, name := range names {
		p.serveVersion(to)
		p.listVersion(name, "draining")
		process := p.ends[name]
		ends.Go(func() {
			time.Sleep(2500 * time.Millisecond)
			p.platform.Drop("servers", name)
			process()
		})
		time.Sleep(releaseTime / time.Duration(len(names)))
	}
	ends.Wait()
}

// callStream asks for a stream, reads some of it and takes it up twice more at other instances.
func (p *versioned) callStream(counts *releaseCounts, number int) {
	s := &taken{began: p.clock.Now(), versions: make(map[string]bool)}
	p.try(s, p.pick(-1), brokenAfter)
	counts.mu.Lock()
	counts.asked++
	counts.streams = append(counts.streams, s)
	counts.mu.Unlock()
	if s.last == 0 {
		return
	}
	goneOn, takeUps := 0, 0
	for _, events := range []int{brokenAfter, 0} {
		time.Sleep(time.Duration(number%3) * 700 * time.Millisecond)
		before := s.last
		p.try(s, p.pick(s.at), events)
		takeUps++
		if s.last > before {
			goneOn++
		}
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.begun++
	counts.takeUps += takeUps
	counts.goneOn += goneOn
}

// Callers take streams up through whole releases, while instances are killed and targets break answers off.
func TestStreamsGoOnThroughReleases(t *testing.T) {
	for _, instances := range []int{7, 85} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, instances, false, func(l *large) { playReleases(newVersioned(l, "v1", "v1")) })
		})
	}
}

func playReleases(p *versioned) {
	counts := &releaseCounts{}
	var callers, faults sync.WaitGroup
	end := p.clock.Now().Add(2*releaseTime + 3*time.Second)
	faults.Go(func() {
		p.releaseInTurn("v1", "v2")
		p.releaseInTurn("v2", "v3")
	})
	faults.Go(func() {
		for i := 0; p.clock.Now().Before(end.Add(-4 * time.Second)); i += 2 {
			time.Sleep(1500 * time.Millisecond)
			p.restartKilled(i % len(p.instances))
		}
	})
	for number := 0; p.clock.Now().Before(end); number++ {
		if number%60 == 0 {
			p.breakOff()
		}
		callers.Go(func() { p.callStream(counts, number) })
		time.Sleep(time.Second / releaseLoad)
	}
	callers.Wait()
	faults.Wait()
	p.checkMixed(counts.streams)
	p.checkDrained()
	p.t.Logf("%d of %d new streams began, %d of %d that were taken up went on", counts.begun, counts.asked, counts.goneOn, counts.takeUps)
	// The rule asks for half of the share of new streams that begin.
	if 2*counts.goneOn*counts.asked < counts.begun*counts.takeUps {
		p.t.Errorf("%d of %d streams that were taken up went on, %d of %d new ones began", counts.goneOn, counts.takeUps, counts.begun, counts.asked)
	}
}

// breakOff has each target break off its next two answers.
func (p *versioned) breakOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.targets {
		target.SetFaults(fake.ServerFaults{Slow: 10 * time.Millisecond, CutAfter: 3, CutTimes: 2})
	}
}

// restartKilled kills an instance and starts it anew.
func (p *versioned) restartKilled(i int) {
	p.setGone(i, true)
	p.cutOff(i)
	p.stops[i]()
	p.start(i, false)
	p.back(i)
	time.Sleep(time.Second)
	p.setGone(i, false)
}
