package quota

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// used returns what a customer has used at all instances.
func (l *Ledger) used(key shelfshelf.CustomerKey, a *account) float64 {
	now := l.Clock.Now()
	used := a.own.sum + max(l.localUse(key, a, now), l.centreUse(key, a, now))
	for centre, t := range l.remotes {
		used += max(t.left(key, now), l.savedLeft(centre, key, now).sum())
	}
	for centre := range l.saved {
		if centre != l.DataCentre && l.remotes[centre] == nil {
			used += l.savedLeft(centre, key, now).sum()
		}
	}
	return used
}

// localUse returns what the others of this data centre have used as they told it.
func (l *Ledger) localUse(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	used := 0.0
	for _, t := range l.peers {
		used += t.left(key, now)
	}
	for _, t := range l.ended {
		used += t.left(key, now)
	}
	if now.Sub(l.start) < l.Window {
		used += l.before(key, a, now)
	}
	return used
}

// centreUse returns the same by the word of an instance that hears all of them more often,
// less what it has heard of this one.
func (l *Ledger) centreUse(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	if l.centre == nil || now.Sub(l.centre.at) > silentAfter {
		return 0
	}
	return l.centre.left(key, now) - a.told
}

// before returns what counts as used in this data centre before this instance started,
// by lives that have ended. Instances that have been there for longer know it; else what
// was saved counts. Where nothing is known it is the whole limit, used evenly, so that a
// restart of all gives no customer a second one, while nobody is refused who keeps to
// the limit; a single instance's own earlier life is one part of it.
func (l *Ledger) before(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	known, _ := l.Instances()
	unsettled := max(1, known-l.settledInstances())
	share := float64(unsettled) / float64(max(known, 1))
	if l.saved == nil {
		rest := max(0, 1-float64(now.Sub(l.start))/float64(l.Window))
		return a.allowed * rest * share
	}
	return min(l.endedUse(key, now).sum()+l.unsaved(key, a)*share, a.allowed)
}

// settledInstances returns how many of the others have seen a whole window.
func (l *Ledger) settledInstances() int {
	count := 0
	for _, t := range l.peers {
		if t.settled {
			count++
		}
	}
	for _, t := range l.remotes {
		if t.settled {
			count += t.instances
		}
	}
	return count
}

// endedUse returns what lives of this data centre had used that ended before this
// instance started, as the instances that were there tell it, or as it was saved.
func (l *Ledger) endedUse(key shelfshelf.CustomerKey, now time.Time) spread {
	var most spread
	heard := false
	for _, t := range l.peers {
		if !t.settled {
			continue
		}
		heard = true
		if use := t.ended[key].before(t.marks, now); use.sum() > most.sum() {
			most = use
		}
	}
	if heard {
		return most
	}
	return l.savedLeft(l.DataCentre, key, now)
}

// savedLeft returns what is left of a use that was saved.
func (l *Ledger) savedLeft(centre shelfshelf.DataCentre, key shelfshelf.CustomerKey, now time.Time) spread {
	saved := l.saved[centre]
	if saved == nil {
		return spread{}
	}
	return saved.rest(key, now)
}

// unsaved returns what counts as used between the last save and the end of all
// instances: as much as in the time between two saves before.
func (l *Ledger) unsaved(key shelfshelf.CustomerKey, a *account) float64 {
	part := partOf(l.Window)
	lately := 0.0
	for _, saved := range l.saved {
		// The first part has just begun.
		lately += saved.uses[key][1] * float64(savePeriod) / float64(part)
	}
	return min(lately+unsavedLeast*a.allowed, unsavedShare*a.allowed)
}

// centreSums adds up the use in this data centre; the lock is held.
func (l *Ledger) centreSums(now time.Time) map[shelfshelf.CustomerKey]spread {
	sums := make(map[shelfshelf.CustomerKey]spread)
	for key, a := range l.accounts {
		a.own.advance(slotOf(now.Sub(l.start), l.Window))
		sums[key] = sums[key].plus(a.own.parts())
	}
	for _, t := range l.peers {
		t.addTo(sums, now)
	}
	for _, t := range l.ended {
		t.addTo(sums, now)
	}
	if now.Sub(l.start) < l.Window {
		l.addEnded(sums, now)
	}
	return sums
}

// addEnded adds what lives had used that ended before this instance started.
func (l *Ledger) addEnded(sums map[shelfshelf.CustomerKey]spread, now time.Time) {
	keys := make(map[shelfshelf.CustomerKey]bool)
	if saved := l.saved[l.DataCentre]; saved != nil {
		for key := range saved.uses {
			keys[key] = true
		}
	}
	for _, t := range l.peers {
		for key := range t.ended {
			keys[key] = true
		}
	}
	for key := range keys {
		sums[key] = sums[key].plus(l.endedUse(key, now))
	}
}

func customerUses(sums map[shelfshelf.CustomerKey]spread) []shelfshelf.CustomerUse {
	var uses []shelfshelf.CustomerUse
	for key, use := range sums {
		if sum := use.sum(); sum >= 1 {
			uses = append(uses, shelfshelf.CustomerUse{Customer: key, Amount: sum})
		}
	}
	return uses
}
