package quota

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// gap is a time before the start of this instance whose usage may be missing.
type gap struct {
	from time.Time
	to   time.Time
}

// within returns how much of the gap lies after an instant.
func (g gap) within(from time.Time) time.Duration {
	return max(g.to.Sub(shelfshelf.Later(g.from, from)), 0)
}

// restoreGaps sets the gaps of what was saved at an instant, and adds the one since then: the saver knew
// the others' usage with a delay, and nobody knows when instances ended between the save and this start.
// The caller must hold l.mu.
func (l *Ledger) restoreGaps(saved []shelfshelf.UsageGap, at time.Time) {
	l.gaps = nil
	for _, g := range saved {
		l.gaps = append(l.gaps, gap{from: at.Add(-g.From), to: at.Add(-g.To)})
	}
	l.gaps = append(l.gaps, gap{from: at.Add(-l.ReportDelay()), to: l.start})
}

// currentGaps returns the gaps that are still in the window.
func (l *Ledger) currentGaps() []shelfshelf.UsageGap {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.gaps = slices.DeleteFunc(l.gaps, func(g gap) bool { return g.within(now.Add(-l.Window)) == 0 })
	var gaps []shelfshelf.UsageGap
	for _, g := range l.gaps {
		gaps = append(gaps, shelfshelf.UsageGap{From: now.Sub(g.from), To: now.Sub(g.to)})
	}
	return gaps
}

// missingUsage estimates what was used in the gaps and is still in the window. A customer's demand may have
// risen in a gap, so usage at the limit's rate is assumed. A customer that keeps to its limit is not refused
// because of that. Up to saveInterval after the last save, its rate before the save is assumed if that was
// higher. No more is assumed than the limit had left at the start. The caller must hold l.mu.
func (l *Ledger) missingUsage(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	missing := 0.0
	for _, g := range l.gaps {
		missing += a.rate * g.within(now.Add(-l.Window)).Seconds()
	}
	if len(l.gaps) > 0 {
		latest := l.gaps[len(l.gaps)-1]
		latest.to = latest.from.Add(min(latest.to.Sub(latest.from), saveInterval))
		missing += max(l.savedRate(key)-a.rate, 0) * latest.within(now.Add(-l.Window)).Seconds()
	}
	left := a.allowed - l.savedAtStart(key)
	return max(min(missing, left), 0) + minUnsavedFraction*a.allowed
}

// savedAtStart returns how much of what was saved was in the window as this instance started, without
// the oldest part, of which some may have left it. The caller must hold l.mu.
func (l *Ledger) savedAtStart(key shelfshelf.CustomerKey) float64 {
	sum := 0.0
	for _, saved := range l.saved {
		sum += saved.remaining(key, l.start.Add(bucketLength(l.Window)))
	}
	return sum
}

// savedRate returns the usage a second in the newest part of what was saved. The caller must hold l.mu.
func (l *Ledger) savedRate(key shelfshelf.CustomerKey) float64 {
	rate := 0.0
	for _, saved := range l.saved {
		// Bucket 0 starts empty; bucket 1 is the newest one that was saved.
		rate += saved.usage[key][1] / bucketLength(l.Window).Seconds()
	}
	return rate
}
