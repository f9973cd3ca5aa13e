package shelfshelf

import (
	"context"
	"slices"
	"time"
)

// TargetVersion names the software that a target runs; empty if it doesn't tell.
type TargetVersion string

// RolloutState is how far an order to move a pool to another version has come.
type RolloutState uint8

const (
	// RolloutOrdered means that nobody has taken it up yet.
	RolloutOrdered RolloutState = iota
	// RolloutServing means that a small part of the requests tries the new version.
	RolloutServing
	// RolloutMoving means that the new version was found good and takes over.
	RolloutMoving
	// RolloutCompleted means that the old targets get nothing any more.
	RolloutCompleted
	// RolloutRolledBack means that the new version gets nothing any more.
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

// Over reports that an order has come to its end, which nothing changes.
func (s RolloutState) Over() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout is an operator's order to move a pool's requests to targets of another version,
// and how far it has come.
type Rollout struct {
	Pool PoolName
	// Revision orders the orders of a pool: a greater one replaces the others.
	Revision uint64
	Version  TargetVersion
	// Period is the time from the order within which it should be over.
	Period time.Duration
	// Age is how long ago the order was given.
	Age   time.Duration
	State RolloutState
	// Moving is how long ago the new version began to take over; zero before.
	Moving time.Duration
	// Doubted is the order's age until which what was counted speaks against the new version but
	// doesn't suffice: more is tried of it until then.
	Doubted time.Duration
	// Halted says that an instance holds the new version for bad: none sends it anything
	// from then on, also before that is written down.
	Halted bool
	// Barred are versions of earlier orders that were given up or replaced before they were
	// over: nobody knows that they are good.
	Barred []TargetVersion
	// Stored is the version of the row that the end is kept in; 0 if there is none yet.
	Stored uint64
}

// Adds reports that what one instance knows of a pool's order is news to one that knows
// something else: a later order, or anything more of the same one. Both may know what the
// other doesn't.
func (r Rollout) Adds(known Rollout) bool {
	if r.Revision != known.Revision {
		return r.Revision > known.Revision
	}
	return r.State > known.State || r.Halted && !known.Halted || r.Stored > known.Stored || r.Doubted > known.Doubted
}

// RolloutStore keeps how far orders have come, and tells the operator.
type RolloutStore interface {
	// SaveRollout writes down how far an order has come, if what is kept has the version
	// that the order says, and returns the new one. The error is ErrConflict if it
	// doesn't, ErrAmbiguous if the write may have been done.
	SaveRollout(ctx context.Context, rollout Rollout) (stored uint64, err error)
	// LoadRollouts returns what is kept; the ages are as of now.
	LoadRollouts(ctx context.Context) ([]Rollout, error)
}

// VersionChoice says which targets of a pool one request may go to.
type VersionChoice struct {
	// Ordered says that versions are told apart at all.
	Ordered bool
	Version TargetVersion
	// New says that the request goes to targets of Version, else to all others.
	New bool
	// Trial says that the request tries the new version and goes to the others at once if
	// there is no place for it there.
	Trial bool
	// Canaries are the only targets of Version that a trial goes to.
	Canaries map[TargetName]bool
	// Barred are versions that get nothing at all, but for Version.
	Barred []TargetVersion
	// Others says that only Retired counts: all but these targets may be used.
	Others  bool
	Retired map[TargetName]bool
}

// Old returns the choice of the targets that serve, for a request that is not to try the
// new version.
func (c VersionChoice) Old() VersionChoice {
	return VersionChoice{Ordered: c.Ordered, Version: c.Version, Barred: c.Barred, Others: c.Others, Retired: c.Retired}
}

// Allows reports that the request may go to a target.
func (c VersionChoice) Allows(target Target) bool {
	if !c.Ordered {
		return true
	}
	if target.Version != c.Version && slices.Contains(c.Barred, target.Version) {
		return false
	}
	if c.Others {
		return !c.Retired[target.Name]
	}
	if !c.New {
		return target.Version != c.Version
	}
	return target.Version == c.Version && (len(c.Canaries) == 0 || c.Canaries[target.Name])
}

// AttemptReport is what one request has shown of its target.
type AttemptReport struct {
	Route RouteName
	// Failed says that the target ran the request and did not answer as it should.
	Failed bool
	// First is the time to the first event, or to a plain answer, against what is expected
	// of a usual target; Pace the same for the time of one token. Zero if not known.
	First float64
	Pace  float64
}

// Rollouts says which versions of a pool get requests, and learns how they did. It is safe
// for concurrent use.
type Rollouts interface {
	// Choose says where the next request of a pool may go; targets are all of the pool.
	Choose(pool PoolName, targets []Target) VersionChoice
	// Began notes that a request was given a place at a target, Unsent that it did not
	// reach it after all.
	Began(target Target)
	Unsent(target Target)
	// Ended takes what a request that reached a target has shown of it.
	Ended(target Target, report AttemptReport)
}
