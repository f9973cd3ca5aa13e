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

// missedSave is the length from which on a gap has a save that failed in it, or the time that instances were down.
const missedSave = saveInterval

// assumedBurstFraction is the part of a limit that is assumed to have been used at once in such a gap, beyond the
// limit's rate. It is less than unsavedBurstFraction: a customer that uses all of that just before a restart of all, and
// all that is left after it, exceeds its limit by the difference.
const assumedBurstFraction = 0.05

// within returns how much of the gap lies after an instant.
func (g gap) within(from time.Time) time.Duration {
	return max(g.to.Sub(shelfshelf.Later(g.from, from)), 0)
}

func (g gap) length() time.Duration { return g.to.Sub(g.from) }

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
// risen in a gap, so usage at the limit's rate is assumed, and a part of the limit that it may have used at once
// (see paceHeadroom). A customer that keeps to its limit is not refused because of that. No more is assumed than
// the limit had left at the start. The caller must hold l.mu.
func (l *Ledger) missingUsage(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	missing := 0.0
	for i, g := range l.gaps {
		inWindow := g.within(now.Add(-l.Window))
		if inWindow == 0 {
			continue
		}
		burst := 0.0
		if g.length() >= missedSave {
			burst = assumedBurstFraction * a.allowed
		}
		if i == len(l.gaps)-1 {
			burst = max(burst, l.burstAfterSave(key, a, g, now))
		}
		missing += a.rate*inWindow.Seconds() + burst
	}
	left := a.allowed - l.savedAtStart(key)
	return max(min(missing, left), 0) + minUnsavedFraction*a.allowed
}

// burstAfterSave estimates what a customer used beyond the limit's rate up to saveInterval after the last save, if its
// rate before the save was higher. The caller must hold l.mu.
func (l *Ledger) burstAfterSave(key shelfshelf.CustomerKey, a *account, latest gap, now time.Time) float64 {
	latest.to = latest.from.Add(min(latest.to.Sub(latest.from), saveInterval))
	return max(l.savedRate(key)-a.rate, 0) * latest.within(now.Add(-l.Window)).Seconds()
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
