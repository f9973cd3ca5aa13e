package rollout

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// maxUnconfirmedHold is how long a version gets no requests while it isn't known whether a rollout to
// it was ordered. The state of rollouts is confirmed every second. If that state can't be read for
// longer than this, the store has failed. All targets of a pool may run new versions by the time it is
// back, and the pool would have no usable target until then.
const maxUnconfirmedHold = 5 * time.Second

// sighting records when a version was first seen: the store position of the target list, and the time.
type sighting struct {
	position uint64
	at       time.Time
}

// SetTargets sets the list of targets as of a position of the store.
func (t *Tracker) SetTargets(targets []shelfshelf.Target, position uint64) {
	counts := make(map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]int)
	for _, target := range targets {
		if counts[target.Pool] == nil {
			counts[target.Pool] = make(map[shelfshelf.TargetVersion]int)
		}
		counts[target.Pool][target.Version]++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targetCounts = counts
	now := t.Clock.Now()
	if t.firstSeen == nil {
		t.firstSeen = make(map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]sighting)
	}
	for pool, poolCounts := range counts {
		known := t.firstSeen[pool]
		if known == nil {
			known = make(map[shelfshelf.TargetVersion]sighting)
			// The version of most targets when the pool is first seen is the one that serves.
			known[mostCommon(poolCounts)] = sighting{}
			t.firstSeen[pool] = known
		}
		for name := range poolCounts {
			if _, seen := known[name]; !seen {
				known[name] = sighting{position: position, at: now}
			}
		}
	}
}

// mostCommon returns the version that most targets run; of equally common ones the first by name.
func mostCommon(counts map[shelfshelf.TargetVersion]int) shelfshelf.TargetVersion {
	var best shelfshelf.TargetVersion
	for version, count := range counts {
		if count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// Choose returns which targets the next request of a pool may go to.
func (t *Tracker) Choose(pool shelfshelf.PoolName, targets []shelfshelf.Target) shelfshelf.VersionChoice {
	t.mu.Lock()
	defer t.mu.Unlock()
	unconfirmed := t.unconfirmed(pool)
	tracked := t.rollouts[pool]
	if tracked == nil {
		return shelfshelf.VersionChoice{Active: len(unconfirmed) > 0, OnlyRetired: true, BarredVersions: unconfirmed}
	}
	now := t.Clock.Now()
	rollout := tracked.current(now)
	choice := shelfshelf.VersionChoice{Active: true, Version: rollout.Version, BarredVersions: append(unconfirmed, rollout.BarredVersions...)}
	switch {
	case rollout.State == shelfshelf.RolloutCompleted, t.alreadyServing(rollout):
		choice.Active = len(tracked.retired)+len(choice.BarredVersions) > 0
		choice.Retired, choice.OnlyRetired = tracked.retired, true
	case rollout.Halted || rollout.State == shelfshelf.RolloutRolledBack:
	case rollout.State == shelfshelf.RolloutMoving:
		share := moveShare(rollout, t.Bounds.estimatedMoveTime(rollout))
		choice.ToNewVersion = t.random() < share
		choice.Trial = choice.ToNewVersion && share < 1
	default:
		t.chooseTrial(tracked, rollout, targets, &choice)
	}
	return choice
}

// ChooseForStream returns which targets a stream of a pool may go on at, if they run the version that began it:
// all but those that get no requests at all.
func (t *Tracker) ChooseForStream(pool shelfshelf.PoolName) shelfshelf.VersionChoice {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.rollouts[pool]
	if tracked == nil {
		return shelfshelf.VersionChoice{}
	}
	rollout := tracked.current(t.Clock.Now())
	choice := shelfshelf.VersionChoice{Active: true, Version: rollout.Version, BarredVersions: rollout.BarredVersions, OnlyRetired: true}
	switch {
	case rollout.State == shelfshelf.RolloutCompleted:
		choice.Retired = tracked.retired
	case rollout.Halted || rollout.State == shelfshelf.RolloutRolledBack:
		// All targets of Version are barred.
		choice.OnlyRetired = false
	}
	return choice
}

// chooseTrial decides whether a request tries the new version. The caller must hold t.mu.
func (t *Tracker) chooseTrial(tracked *trackedRollout, rollout shelfshelf.Rollout, targets []shelfshelf.Target, choice *shelfshelf.VersionChoice) {
	share := t.Bounds.shareSince(rollout, tracked.since)
	if !tracked.allowsTrial(share, t.extraTrials(rollout)+tracked.extra) {
		return
	}
	var newTargets []shelfshelf.Target
	old := 0
	for _, target := range targets {
		switch {
		case target.Leaving:
		case target.Version == rollout.Version:
			newTargets = append(newTargets, target)
		default:
			old++
		}
	}
	canaries, probability := t.Bounds.trialTargets(rollout, old, newTargets)
	choice.ToNewVersion = len(newTargets) > 0 && t.random() < probability
	choice.Trial = choice.ToNewVersion
	choice.Canaries = canaries
}

// extraTrials returns how many trials this instance may make beyond its share: an equal part of the
// slack for trials, and also of the slack for the move while the version is in doubt.
func (t *Tracker) extraTrials(rollout shelfshelf.Rollout) float64 {
	if t.Instances == nil {
		return 0
	}
	fraction := trialSlackFraction
	if rollout.Age < rollout.DoubtedUntil {
		fraction = slackFraction
	}
	return fraction * t.Bounds.Slack / float64(max(t.Instances(), 1))
}

// AlreadyServing reports whether the rollout's version was already serving before the rollout was ordered: no
// other usable version is listed.
func (t *Tracker) AlreadyServing(rollout shelfshelf.Rollout) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alreadyServing(rollout)
}

// alreadyServing is AlreadyServing for a caller that already holds t.mu.
func (t *Tracker) alreadyServing(rollout shelfshelf.Rollout) bool {
	listed := t.targetCounts[rollout.Pool]
	for version := range listed {
		if version != rollout.Version && !slices.Contains(rollout.BarredVersions, version) {
			return false
		}
	}
	seen, known := t.firstSeen[rollout.Pool][rollout.Version]
	return known && seen.position < rollout.Revision && listed[rollout.Version] > 0 &&
		rollout.State < shelfshelf.RolloutMoving && !rollout.Halted
}

// TargetCount returns the number of the pool's targets with the rollout's version.
func (t *Tracker) TargetCount(rollout shelfshelf.Rollout) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targetCounts[rollout.Pool][rollout.Version]
}

// listedOthers returns the number of the pool's targets with other versions.
func (t *Tracker) listedOthers(rollout shelfshelf.Rollout) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := 0
	for version, count := range t.targetCounts[rollout.Pool] {
		if version != rollout.Version {
			others += count
		}
	}
	return others
}

// unconfirmed returns the versions of a pool for which it isn't known yet whether a rollout was
// ordered. The caller must hold t.mu.
func (t *Tracker) unconfirmed(pool shelfshelf.PoolName) []shelfshelf.TargetVersion {
	var unconfirmed []shelfshelf.TargetVersion
	now := t.Clock.Now()
	for version, seen := range t.firstSeen[pool] {
		if seen.position > t.asOf && now.Sub(seen.at) < maxUnconfirmedHold {
			unconfirmed = append(unconfirmed, version)
		}
	}
	return unconfirmed
}
