package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const eachAloneUsage = "every entry by itself: its own line and its own in-flight figures beside stale reports"

const defaultEntries = 3

// eachAlone runs one Pool an entry; a request belongs to one by its name.
type eachAlone struct {
	pools []*Pool
}

func newEachAlone(config Config) shelfshelf.Policy {
	config.Truth = nil
	entries := config.Entries
	if entries < 1 {
		entries = defaultEntries
	}
	policy := &eachAlone{}
	for range entries {
		policy.pools = append(policy.pools, NewPool(config))
	}
	return policy
}

func (e *eachAlone) pool(id shelfshelf.RequestID) *Pool {
	return e.pools[xxhash.Sum64String(string(id))%uint64(len(e.pools))]
}

// SetTargets tells every entry the targets; each takes the others for foreign.
func (e *eachAlone) SetTargets(now time.Time, targets []shelfshelf.Target) {
	for _, pool := range e.pools {
		shared := make([]shelfshelf.Target, len(targets))
		for i, target := range targets {
			target.Shared = true
			shared[i] = target
		}
		pool.SetTargets(now, shared)
	}
}

// Ask puts a request in its entry's line.
func (e *eachAlone) Ask(now time.Time, ask shelfshelf.Ask) {
	e.pool(ask.ID).Ask(now, ask)
}

// Hold counts a request at its entry.
func (e *eachAlone) Hold(now time.Time, ask shelfshelf.Ask, target shelfshelf.TargetName) {
	e.pool(ask.ID).Hold(now, ask, target)
}

// Cancel takes a request out of its entry's line.
func (e *eachAlone) Cancel(now time.Time, id shelfshelf.RequestID) {
	e.pool(id).Cancel(now, id)
}

// FirstToken tells the request's entry.
func (e *eachAlone) FirstToken(now time.Time, id shelfshelf.RequestID) {
	e.pool(id).FirstToken(now, id)
}

// Done tells the request's entry.
func (e *eachAlone) Done(now time.Time, completion shelfshelf.Completion) {
	e.pool(completion.ID).Done(now, completion)
}

// Report tells every entry.
func (e *eachAlone) Report(now time.Time, report shelfshelf.LoadReport) {
	for _, pool := range e.pools {
		pool.Report(now, report)
	}
}

// CacheEvent tells every entry.
func (e *eachAlone) CacheEvent(now time.Time, event shelfshelf.CacheEvent) {
	for _, pool := range e.pools {
		pool.CacheEvent(now, event)
	}
}

// Decide gathers every entry's decisions.
func (e *eachAlone) Decide(now time.Time) []shelfshelf.Decision {
	var decisions []shelfshelf.Decision
	for _, pool := range e.pools {
		decisions = append(decisions, pool.Decide(now)...)
	}
	return decisions
}

// Waiting sums the entries' lines.
func (e *eachAlone) Waiting() map[shelfshelf.Tier]int {
	counts := make(map[shelfshelf.Tier]int)
	for _, pool := range e.pools {
		for tier, count := range pool.Waiting() {
			counts[tier] += count
		}
	}
	return counts
}
