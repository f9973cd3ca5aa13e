package bench

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// injectFaults plans the faults of the run.
func (s *sim) injectFaults() {
	faults := s.run.Faults
	if faults.Slow {
		s.atShare(slowFrom, s.slowDown)
	}
	if faults.EngineDeath {
		s.atShare(deathAt, func() { s.busiest().die() })
	}
	if faults.OwnerLoss && s.run.Policy.Central {
		s.atShare(ownerLossAt, func() {
			for _, spec := range s.run.Bundle.Pools {
				s.pools[spec.Name].lose()
			}
		})
	}
	if faults.EntryDeath {
		s.atShare(entryAt, s.killEntry)
	}
	if faults.Drain {
		s.atShare(drainAt, s.drain)
	}
}

func (s *sim) atShare(share float64, run func()) {
	s.at(s.start.Add(time.Duration(share*float64(s.run.Length))), run)
}

// slowDown slows every third target.
func (s *sim) slowDown() {
	for index, target := range s.run.Bundle.Targets {
		if index%slowEvery == 0 {
			s.targets[target.Name].setSlowdown(slowFactor)
		}
	}
}

// busiest returns the engine with the most requests.
func (s *sim) busiest() *simTarget {
	var found *simTarget
	for _, target := range s.run.Bundle.Targets {
		candidate := s.targets[target.Name]
		if target.Kind != shelfshelf.KindEngine {
			continue
		}
		if found == nil || candidate.core.Occupied() > found.core.Occupied() {
			found = candidate
		}
	}
	return found
}

// drain has every tenth target leave: it says so in its reports and refuses
// what comes.
func (s *sim) drain() {
	for index, target := range s.run.Bundle.Targets {
		if index%drainEvery == 1 {
			s.targets[target.Name].leaving = true
		}
	}
}

// killEntry kills one entry: its callers hear nothing, its streams are cancelled
// and its owners notice after a while.
func (s *sim) killEntry() {
	const dead = 0
	for _, id := range s.sortedIDs() {
		r := s.requests[id]
		if r.entry != dead || r.ended || r.ask.ID == "" {
			continue
		}
		pool := s.pools[r.route.Pool]
		if pool.line[r.id] != nil {
			delete(pool.line, r.id)
			pool.policy.Cancel(s.now, r.id)
		}
		s.finish(r, classUnknown)
		if r.dispatched {
			target := s.targets[r.target]
			target.drop(r)
			completion := shelfshelf.Completion{ID: r.id, Target: r.target, Outcome: shelfshelf.OutcomeUnknown}
			s.after(entryNoticed, func() { pool.policy.Done(s.now, completion) })
		}
	}
}
