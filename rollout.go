package shelfshelf

import (
	"context"
	"slices"
	"time"
)

// TargetVersion is the version of the software that a target runs; empty if it is not reported.
type TargetVersion string

// RolloutState is the progress of a rollout.
type RolloutState uint8

const (
	// RolloutOrdered means that no instance has started the rollout yet.
	RolloutOrdered RolloutState = iota
	// RolloutServing means that a small share of the requests is sent to the new version as a trial.
	RolloutServing
	// RolloutMoving means that the trial has passed and traffic is shifting to the new version.
	RolloutMoving
	// RolloutCompleted means that the old targets get no more requests.
	RolloutCompleted
	// RolloutRolledBack means that the new version gets no more requests.
	RolloutRolledBack
)

func (s RolloutState) String() string {
	switch s {
	case RolloutOrdered:
		return "ordered"
	case RolloutServing:
		return "serving"
	case RolloutMoving:
		return "moving"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolled back"
	}
	return "unspecified"
}

// Finished reports whether the rollout has ended; these states are final.
func (s RolloutState) Finished() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout is the move of a pool's requests to targets of another version, as ordered by an operator,
// together with its progress.
type Rollout struct {
	Pool PoolName
	// Revision orders the rollouts of a pool: one with a greater revision replaces the others.
	Revision uint64
	Version  TargetVersion
	// Period is the time within which the rollout should end, counted from when it was ordered.
	Period time.Duration
	// Age is the time since the rollout was ordered.
	Age   time.Duration
	State RolloutState
	// MovingFor is the time since traffic began to shift to the new version; zero before that.
	MovingFor time.Duration
	// DoubtedUntil is the age of the rollout until which the trial gets a larger share of the requests,
	// because the results so far speak against the new version but are not conclusive.
	DoubtedUntil time.Duration
	// Halted is set once an instance has judged the new version to be bad. From then on no instance
	// sends requests to it, even before the result is stored.
	Halted bool
	// BarredVersions are the versions of earlier rollouts that were rolled back or replaced before they had
	// ended; none of them is known to be good.
	BarredVersions []TargetVersion
	// RowVersion is the version of the row in which the result is stored; 0 if there is none yet.
	RowVersion uint64
}

// AddsTo reports whether r holds information about a pool's rollout that known lacks: it has a greater
// revision, or the same revision with a later state, a new halt, a newer stored row or a longer trial.
// Of two rollouts, each can add to the other.
func (r Rollout) AddsTo(known Rollout) bool {
	if r.Revision != known.Revision {
		return r.Revision > known.Revision
	}
	return r.State > known.State || r.Halted && !known.Halted || r.RowVersion > known.RowVersion || r.DoubtedUntil > known.DoubtedUntil
}

// RolloutStore persists the progress of rollouts and publishes it to the operator.
type RolloutStore interface {
	// SaveRollout stores the progress of a rollout if the stored row still has the version in
	// rollout.RowVersion, and returns the new version. The error is ErrConflict if the row has another
	// version, and ErrAmbiguous if the write may have taken effect.
	SaveRollout(ctx context.Context, rollout Rollout) (stored uint64, err error)
	// LoadRollouts returns the stored rollouts, with their ages as of now.
	LoadRollouts(ctx context.Context) ([]Rollout, error)
}

// VersionChoice restricts the targets of a pool that one request may be sent to, by version.
type VersionChoice struct {
	// Active is set if there is any restriction.
	Active  bool
	Version TargetVersion
	// ToNewVersion is set if the request goes to targets of Version, and unset if it goes to all others.
	ToNewVersion bool
	// Trial is set if the request tries the new version first. It goes to the other targets at once if
	// no target of the new version has a free slot.
	Trial bool
	// Canaries are the only targets of Version that a trial request may be sent to; empty means all.
	Canaries map[TargetName]bool
	// BarredVersions are versions that get no requests at all, unless they equal Version.
	BarredVersions []TargetVersion
	// OnlyRetired is set if all targets but those in Retired may be used, apart from BarredVersions.
	OnlyRetired bool
	Retired     map[TargetName]bool
}

// WithoutTrial returns the choice for a request that must not try the new version.
func (c VersionChoice) WithoutTrial() VersionChoice {
	return VersionChoice{Active: c.Active, Version: c.Version, BarredVersions: c.BarredVersions, OnlyRetired: c.OnlyRetired, Retired: c.Retired}
}

// Allows reports whether the request may be sent to a target.
func (c VersionChoice) Allows(target Target) bool {
	if !c.Active {
		return true
	}
	if target.Version != c.Version && slices.Contains(c.BarredVersions, target.Version) {
		return false
	}
	if c.OnlyRetired {
		return !c.Retired[target.Name]
	}
	if !c.ToNewVersion {
		return target.Version != c.Version
	}
	return target.Version == c.Version && (len(c.Canaries) == 0 || c.Canaries[target.Name])
}

// AttemptReport is the result of one request, as evidence about its target.
type AttemptReport struct {
	Route RouteName
	// Failed is set if the target ran the request but did not respond correctly.
	Failed bool
	// FirstAnswerRatio is the time to the first event, or to a plain response, relative to that expected of a
	// typical target. TokenTimeRatio is the same ratio for the time per token. Zero means not known.
	FirstAnswerRatio float64
	TokenTimeRatio   float64
}

// Rollouts chooses which versions of a pool get requests, and collects the results of the requests. It
// is safe for concurrent use.
type Rollouts interface {
	// Choose returns where the next request of a pool may be sent; targets must be all targets of the
	// pool.
	Choose(pool PoolName, targets []Target) VersionChoice
	// ChooseForStream returns what targets of a pool get no requests at all; streams go on at the others
	// whatever the shares of their versions are.
	ChooseForStream(pool PoolName) VersionChoice
	// RequestStarted records that a request was assigned to a target. RequestUnsent records that it was
	// not sent to the target after all.
	RequestStarted(target Target)
	RequestUnsent(target Target)
	// RequestEnded records the result of a request that reached a target.
	RequestEnded(target Target, report AttemptReport)
}
