package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// Tracker holds what one instance knows of rollouts, and counts the requests it sends and their results.
// Fields are set before use. It is safe for concurrent use.
type Tracker struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Bounds Bounds
	// Random returns uniform numbers in [0, 1); nil means the default source.
	Random func() float64
	// Running returns how many requests this instance has running at targets of the pool with other
	// versions (others) and with the given one (matching); nil means none.
	Running func(pool shelfshelf.PoolName, version shelfshelf.TargetVersion) (others, matching int)
	// Instances returns the number of instances, this one included; nil means unknown.
	Instances func() int
	// OnChange is called without locks held after a rollout has changed; may be nil.
	OnChange func()

	mu       sync.Mutex
	rollouts map[shelfshelf.PoolName]*trackedRollout
	// asOf is the position of the store up to which all rollouts are known.
	asOf uint64
	// firstSeen holds for each version of a pool's targets when it was first listed: a new version gets
	// no requests before it is known whether a rollout to it was ordered.
	firstSeen map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]sighting
	// targetCounts are the numbers of listed targets by version.
	targetCounts map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]int
	changes      chan struct{}
}

// trackedRollout is the state of one pool's rollout.
type trackedRollout struct {
	// rollout is the state as of updatedAt; replaced are the earlier rollouts that it replaced, latest
	// first.
	rollout   shelfshelf.Rollout
	updatedAt time.Time
	replaced  []shelfshelf.Rollout
	// unsaved reports that the state has to be stored again.
	unsaved bool
	trialQuota
	evidence Evidence
	// completedHere reports that the rollout was completed while this instance was running; retired are
	// the old targets that it left behind.
	completedHere bool
	retired       map[shelfshelf.TargetName]bool
}

// random returns a uniform number in [0, 1).
func (t *Tracker) random() float64 {
	if t.Random == nil {
		return rand.Float64()
	}
	return t.Random()
}

// current returns the rollout with its durations as of now.
func (tracked *trackedRollout) current(now time.Time) shelfshelf.Rollout {
	rollout := tracked.rollout
	rollout.Age += now.Sub(tracked.updatedAt)
	if rollout.State == shelfshelf.RolloutMoving {
		rollout.MovingFor += now.Sub(tracked.updatedAt)
	}
	return rollout
}

// Changes returns a channel that signals changed rollouts.
func (t *Tracker) Changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changeSignal()
}

// changeSignal returns the channel of Changes and creates it if needed. The caller must hold t.mu.
func (t *Tracker) changeSignal() chan struct{} {
	if t.changes == nil {
		t.changes = make(chan struct{}, 1)
	}
	return t.changes
}

// Merge merges rollouts read from the store or received from another instance. They include every
// rollout that had been ordered as of position asOf of the store.
func (t *Tracker) Merge(received []shelfshelf.Rollout, asOf uint64, from string) {
	t.mu.Lock()
	t.asOf = max(t.asOf, asOf)
	changed := false
	for _, rollout := range received {
		if t.apply(rollout, from) {
			changed = true
		}
	}
	if changed {
		select {
		case t.changeSignal() <- struct{}{}:
		default:
		}
	}
	t.mu.Unlock()
	if changed && t.OnChange != nil {
		t.OnChange()
	}
}

// apply merges an update if it adds to what is known, and reports whether anything changed. The caller
// must hold t.mu.
func (t *Tracker) apply(rollout shelfshelf.Rollout, from string) bool {
	if t.rollouts == nil {
		t.rollouts = make(map[shelfshelf.PoolName]*trackedRollout)
	}
	now := t.Clock.Now()
	known := t.rollouts[rollout.Pool]
	if known != nil {
		changed, stale := known.adoptRestored(rollout)
		if stale || !rollout.AddsTo(known.rollout) {
			return changed
		}
	}
	if known == nil || known.rollout.Revision != rollout.Revision {
		if known != nil {
			rollout.BarredVersions = barredVersions(known.rollout, rollout)
		}
		known = &trackedRollout{
			replaced:   replacedRollouts(known),
			trialQuota: trialQuota{offset: t.random(), since: rollout.Age},
			evidence:   Evidence{Pool: rollout.Pool, Revision: rollout.Revision, Cells: make(map[CellKey]*ResultCounts)},
		}
		t.rollouts[rollout.Pool] = known
	} else {
		known.completedHere = known.completedHere || !known.rollout.State.Finished() && rollout.State == shelfshelf.RolloutCompleted
		rollout = mergeRollouts(known.current(now), rollout)
	}
	known.rollout, known.updatedAt = rollout, now
	t.Log.Info("Rollout changed.", "pool", rollout.Pool, "version", rollout.Version, "revision", rollout.Revision,
		"state", rollout.State, "halted", rollout.Halted, "doubted", rollout.DoubtedUntil, "period", rollout.Period, "age", rollout.Age, "moving", rollout.MovingFor, "from", from)
	return true
}

// barredVersions returns the versions that get no requests once a rollout replaces another: those
// barred before, and the version of the replaced rollout unless that was completed.
func barredVersions(before, rollout shelfshelf.Rollout) []shelfshelf.TargetVersion {
	all := append(slices.Clone(before.BarredVersions), rollout.BarredVersions...)
	if before.State != shelfshelf.RolloutCompleted {
		all = append(all, before.Version)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(version shelfshelf.TargetVersion) bool { return version == rollout.Version })
}

// mergeRollouts combines two states of the same rollout, each of which may lack details of the other.
func mergeRollouts(known, rollout shelfshelf.Rollout) shelfshelf.Rollout {
	rollout.Halted = rollout.Halted || known.Halted
	rollout.RowVersion = max(rollout.RowVersion, known.RowVersion)
	rollout.Age = max(rollout.Age, known.Age)
	rollout.DoubtedUntil = max(rollout.DoubtedUntil, known.DoubtedUntil)
	if len(rollout.BarredVersions) == 0 {
		rollout.BarredVersions = known.BarredVersions
	}
	if known.State > rollout.State {
		rollout.State = known.State
	}
	if known.State == shelfshelf.RolloutMoving && rollout.State == shelfshelf.RolloutMoving {
		rollout.MovingFor = max(rollout.MovingFor, known.MovingFor)
	}
	return rollout
}

// Snapshot returns the snapshot that this instance sends to others: its rollouts, and the position of the
// store up to which all are known.
func (t *Tracker) Snapshot() (rollouts []shelfshelf.Rollout, asOf uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, tracked := range t.rollouts {
		rollouts = append(rollouts, tracked.current(now))
	}
	return rollouts, t.asOf
}

// Active returns the active rollouts.
func (t *Tracker) Active() []shelfshelf.Rollout {
	rollouts, _ := t.Snapshot()
	var active []shelfshelf.Rollout
	for _, rollout := range rollouts {
		if !rollout.State.Finished() {
			active = append(active, rollout)
		}
	}
	return active
}

// Evidence returns the evidence of this instance on each active rollout.
func (t *Tracker) Evidence() []Evidence {
	var running map[shelfshelf.PoolName][2]int
	if t.Running != nil {
		running = make(map[shelfshelf.PoolName][2]int)
		for _, rollout := range t.Active() {
			others, matching := t.Running(rollout.Pool, rollout.Version)
			running[rollout.Pool] = [2]int{others, matching}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var all []Evidence
	for _, tracked := range t.rollouts {
		if tracked.rollout.State.Finished() {
			continue
		}
		counted := tracked.evidence
		rollout := tracked.current(now)
		counted.OldRunning, counted.NewRunning = running[rollout.Pool][0], running[rollout.Pool][1]
		counted.OldTrafficStopped = rollout.State == shelfshelf.RolloutMoving && moveShare(rollout, t.Bounds.estimatedMoveTime(rollout)) >= 1
		counted.Sent = SentCounts{All: uint64(max(tracked.sent, 0)), New: uint64(max(tracked.trials, 0))}
		counted.Cells = make(map[CellKey]*ResultCounts, len(tracked.evidence.Cells))
		for name, cell := range tracked.evidence.Cells {
			copied := *cell
			counted.Cells[name] = &copied
		}
		all = append(all, counted)
	}
	return all
}

// RequestStarted notes that a request was assigned to a target.
func (t *Tracker) RequestStarted(target shelfshelf.Target) { t.countSent(target, 1) }

// RequestUnsent notes that an assigned request didn't reach its target after all.
func (t *Tracker) RequestUnsent(target shelfshelf.Target) { t.countSent(target, -1) }

func (t *Tracker) countSent(target shelfshelf.Target, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.rollouts[target.Pool]
	if tracked == nil || tracked.rollout.State.Finished() {
		return
	}
	tracked.sent += by
	tracked.extra += float64(by) * t.Bounds.extraShare(tracked.current(t.Clock.Now()))
	if target.Version == tracked.rollout.Version {
		tracked.trials += by
	}
}

// RequestEnded counts the result of a request.
func (t *Tracker) RequestEnded(target shelfshelf.Target, report shelfshelf.AttemptReport) {
	if report.Route == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.rollouts[target.Pool]
	if tracked == nil || tracked.rollout.State.Finished() {
		return
	}
	name := CellKey{Route: report.Route}
	if target.Version == tracked.rollout.Version {
		name.Target = target.Name
		if tracked.rollout.State == shelfshelf.RolloutMoving {
			// All targets of the version are in use by now. With one cell per target and route a report
			// would have 20 KB, and it is fetched eight times a second.
			name.Target = targetGroup(target.Name)
		}
	}
	tracked.evidence.observe(name, report)
}

// targetGroupCount is the number of groups that targets are counted in while all are in use.
const targetGroupCount = 12

// targetGroup returns the group of a target.
func targetGroup(name shelfshelf.TargetName) shelfshelf.TargetName {
	return shelfshelf.TargetName(fmt.Sprintf("(group %d)", xxhash.Sum64String(string(name))%targetGroupCount))
}

// Retire marks the old targets of rollouts that were completed while this instance was running. They
// get no more requests, because they stop at once.
func (t *Tracker) Retire(targets []shelfshelf.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, tracked := range t.rollouts {
		if tracked.completedHere && tracked.retired == nil {
			tracked.retire(pool, targets)
		}
	}
}

func (tracked *trackedRollout) retire(pool shelfshelf.PoolName, targets []shelfshelf.Target) {
	retired := make(map[shelfshelf.TargetName]bool)
	for _, target := range targets {
		if target.Pool == pool && target.Version != tracked.rollout.Version {
			retired[target.Name] = true
		}
	}
	tracked.retired = retired
}
