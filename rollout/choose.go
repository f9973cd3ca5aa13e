package rollout

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// longestHold is how long a version gets nothing of which it isn't known whether it was
// ordered. Orders are confirmed every second; while they can't be read for longer, the store
// is in trouble, and all targets of a pool may be new ones by the time it is back.
const longestHold = 5 * time.Second

// sighting is when a version was first seen: in the list of targets as of a version of the
// store, and at an instant.
type sighting struct {
	version uint64
	at      time.Time
}

// Targets takes the list of targets as of a version of the store.
func (r *Record) Targets(targets []shelfshelf.Target, version uint64) {
	counts := make(map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]int)
	for _, target := range targets {
		if counts[target.Pool] == nil {
			counts[target.Pool] = make(map[shelfshelf.TargetVersion]int)
		}
		counts[target.Pool][target.Version]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts = counts
	now := r.Clock.Now()
	if r.versions == nil {
		r.versions = make(map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]sighting)
	}
	for pool, of := range counts {
		known := r.versions[pool]
		if known == nil {
			known = make(map[shelfshelf.TargetVersion]sighting)
			// What most targets run when the pool is first seen is what serves.
			known[commonest(of)] = sighting{}
			r.versions[pool] = known
		}
		for name := range of {
			if _, seen := known[name]; !seen {
				known[name] = sighting{version: version, at: now}
			}
		}
	}
}

// commonest returns the version that most targets run, of equals the first by name.
func commonest(counts map[shelfshelf.TargetVersion]int) shelfshelf.TargetVersion {
	var best shelfshelf.TargetVersion
	for version, count := range counts {
		if count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// Choose says where the next request of a pool may go.
func (r *Record) Choose(pool shelfshelf.PoolName, targets []shelfshelf.Target) shelfshelf.VersionChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.held(pool)
	o := r.orders[pool]
	if o == nil {
		return shelfshelf.VersionChoice{Ordered: len(held) > 0, Others: true, Barred: held}
	}
	now := r.Clock.Now()
	word := o.as(now)
	choice := shelfshelf.VersionChoice{Ordered: true, Version: word.Version, Barred: append(held, word.Barred...)}
	switch {
	case word.State == shelfshelf.RolloutCompleted, r.serves(word):
		choice.Ordered = len(o.retired)+len(choice.Barred) > 0
		choice.Retired, choice.Others = o.retired, true
	case word.Halted || word.State == shelfshelf.RolloutRolledBack:
	case word.State == shelfshelf.RolloutMoving:
		share := moveShare(word, r.Bounds.usualMove(word))
		choice.New = r.random() < share
		choice.Trial = choice.New && share < 1
	default:
		r.tryNew(o, word, targets, &choice)
	}
	return choice
}

// tryNew decides whether a request tries the new version; the lock is held.
func (r *Record) tryNew(o *order, word shelfshelf.Rollout, targets []shelfshelf.Target, choice *shelfshelf.VersionChoice) {
	share := r.Bounds.shareSince(word, o.since)
	if !o.mayTry(share, r.more(word)+o.extra) {
		return
	}
	var fresh []shelfshelf.Target
	old := 0
	for _, target := range targets {
		switch {
		case target.Leaving:
		case target.Version == word.Version:
			fresh = append(fresh, target)
		default:
			old++
		}
	}
	canaries, probability := r.Bounds.trials(word, old, fresh)
	choice.New = len(fresh) > 0 && r.random() < probability
	choice.Trial = choice.New
	choice.Canaries = canaries
}

// more is how many trials an instance may make beyond its share: an even part of the slack, and of
// the move's part of it while the version is in doubt.
func (r *Record) more(word shelfshelf.Rollout) float64 {
	if r.Instances == nil {
		return 0
	}
	part := slackTrials
	if word.Age < word.Doubted {
		part = slackPart
	}
	return part * r.Bounds.Slack / float64(max(r.Instances(), 1))
}

// Serves reports that the ordered version served before it was ordered: no other is listed
// that may be used.
func (r *Record) Serves(word shelfshelf.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serves(word)
}

func (r *Record) serves(word shelfshelf.Rollout) bool {
	listed := r.counts[word.Pool]
	for version := range listed {
		if version != word.Version && !slices.Contains(word.Barred, version) {
			return false
		}
	}
	seen, known := r.versions[word.Pool][word.Version]
	return known && seen.version < word.Revision && listed[word.Version] > 0 &&
		word.State < shelfshelf.RolloutMoving && !word.Halted
}

// Listed returns how many targets the ordered version has.
func (r *Record) Listed(word shelfshelf.Rollout) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[word.Pool][word.Version]
}

// listedOthers returns how many targets the pool has of other versions.
func (r *Record) listedOthers(word shelfshelf.Rollout) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := 0
	for version, count := range r.counts[word.Pool] {
		if version != word.Version {
			others += count
		}
	}
	return others
}

// held returns the versions of a pool of which it isn't known yet whether they were ordered;
// the lock is held.
func (r *Record) held(pool shelfshelf.PoolName) []shelfshelf.TargetVersion {
	var held []shelfshelf.TargetVersion
	now := r.Clock.Now()
	for version, seen := range r.versions[pool] {
		if seen.version > r.asOf && now.Sub(seen.at) < longestHold {
			held = append(held, version)
		}
	}
	return held
}
