package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// reportPeriod is how often the owner reads a target's load and cache events.
	reportPeriod  = 500 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// idlePeriod is how often an instance that is not the owner reads them, for
	// the case that it has to decide alone.
	idlePeriod = 4 * time.Second
)

// loopReports reads the targets of a pool: often as its owner, else rarely.
func (r *Router) loopReports(ctx context.Context, p *pool) {
	defer r.loops.Done()
	for {
		r.mu.Lock()
		targets, isOwner := p.targets, p.owner == r.Self
		r.mu.Unlock()
		r.readAll(ctx, p, targets)
		period := idlePeriod
		if isOwner {
			period = reportPeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(period/2 + rand.N(period)):
		}
	}
}

func (r *Router) readAll(ctx context.Context, p *pool, targets []shelfshelf.Target) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reads sync.WaitGroup
	for _, target := range targets {
		reads.Add(1)
		go r.runRead(ctx, p, target, &reads)
	}
	reads.Wait()
}

// runRead reads one target.
func (r *Router) runRead(ctx context.Context, p *pool, target shelfshelf.Target, reads *sync.WaitGroup) {
	defer reads.Done()
	report, err := r.Fetch.Load(ctx, target)
	if err != nil {
		return
	}
	p.own.Report(report)
	p.solo.Report(report)
	if report.Leaving {
		r.TargetLeaving(target.Name)
	}
	if target.Kind != shelfshelf.KindEngine {
		return
	}
	r.mu.Lock()
	after := p.cursor[target.Name]
	r.mu.Unlock()
	events, err := r.Fetch.CacheEvents(ctx, target, after)
	if err != nil || len(events) == 0 {
		return
	}
	for _, event := range events {
		p.own.CacheEvent(event)
	}
	r.mu.Lock()
	p.cursor[target.Name] = events[len(events)-1].Sequence
	r.mu.Unlock()
}
