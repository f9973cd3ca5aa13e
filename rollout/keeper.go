package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// pollInterval is the time between two polls of the other instances' counts while a rollout is
	// active, for up to pollsPerInterval instances; it grows in proportion with more. A bad version
	// gets about 10 requests in that time.
	pollInterval     = 300 * time.Millisecond
	pollsPerInterval = 100
	// movePollInterval is the same during the move, when the operator waits for the last answers of the
	// old targets.
	movePollInterval = 120 * time.Millisecond
	// pollTimeout bounds one round of polls and maxConcurrentPolls the number in flight.
	pollTimeout        = 250 * time.Millisecond
	maxConcurrentPolls = 24
	// doubtDuration is how long a doubt lasts unless it is renewed.
	doubtDuration = 1500 * time.Millisecond
	// storeTimeout bounds a read or write of rollout states.
	storeTimeout = 700 * time.Millisecond
	// The move is delayed while more than overdueTrialFactor times the expected number of trials, plus
	// overdueTrialSlack, are in flight.
	overdueTrialFactor = 3
	overdueTrialSlack  = 5
	// minFullLoadAnswers is how many answers under the full load the new version is judged by before
	// the old targets stop. maxProofWait limits the wait for them in a pool with few requests.
	minFullLoadAnswers = 30
	maxProofWait       = 2 * time.Second
	// maxDrainWait limits the wait for the answers of old targets; after it they are stopped anyway.
	// unreachableDrainWait is the same for instances that don't respond: an instance that stays
	// unreachable for longer is considered disconnected.
	maxDrainWait         = 16 * time.Second
	unreachableDrainWait = 4 * time.Second
)

// Keeper polls the instances for their counts and evaluates them. On the leading instance it also
// records the progress of rollouts in the store. Fields are set before Run.
type Keeper struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Record *Record
	Store  shelfshelf.RolloutStore
	// Self identifies this instance and its current run.
	Self Life
	// Leads reports whether this instance is the one that writes to the store. Asks reports whether it
	// polls others at all: the first instance of each data centre does, so that a network partition
	// doesn't stop the evaluation.
	Leads func() bool
	Asks  func() bool
	// Others returns the addresses of the other instances, of this data centre or of all.
	Others func(all bool) []string
	// Ask fetches the counts of the instance at an address.
	Ask func(ctx context.Context, address string) (Report, error)

	progress map[shelfshelf.PoolName]*rolloutProgress
	// polledCount is the number of instances in the last round of polls.
	polledCount int
}

// rolloutProgress is what this instance knows of one active rollout.
type rolloutProgress struct {
	revision uint64
	// began is the time of the first round of polls.
	began   time.Time
	merger  Merger
	judge   Judge
	verdict Verdict
	// drainedInstances holds, by instance, whether it last reported that it sends nothing to old
	// targets and has no requests running there.
	drainedInstances map[shelfshelf.InstanceID]bool
	// instanceCount is the number of instances in the last round and unreachable that of those which
	// didn't respond.
	instanceCount int
	unreachable   int
	// movedAt is the time since which no responding instance sends to old targets; zero before.
	movedAt      time.Time
	sendingToOld int
	// answersAtMove is the number of the new version's answers counted by movedAt.
	answersAtMove uint64
	// oldRunning and newRunning count the running requests at targets of old and new versions in the
	// last round.
	oldRunning, newRunning int
}

// Report returns the counts of this instance.
func (k *Keeper) Report() Report {
	return Report{Life: k.Self, Orders: k.Record.Counted()}
}

// Run evaluates rollouts and records their progress until the context ends. It is idle while none is
// active.
func (k *Keeper) Run(ctx context.Context) error { return k.loop(ctx) }

func (k *Keeper) loop(ctx context.Context) error {
	k.progress = make(map[shelfshelf.PoolName]*rolloutProgress)
	for ctx.Err() == nil {
		active := k.Record.Under()
		var next <-chan time.Time
		switch {
		case len(active) > 0:
			next = k.Clock.After(k.pollPause(active))
		case len(k.Record.Unsaved()) > 0:
			next = k.Clock.After(saveAgainPause)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.Record.Changes():
		case <-next:
		}
		k.saveAgain(ctx, k.Leads())
		if active = k.Record.Under(); len(active) > 0 && k.Asks() {
			k.poll(ctx, active)
		}
	}
	return nil
}

// pollPause returns the time until the next round of polls.
func (k *Keeper) pollPause(active []shelfshelf.Rollout) time.Duration {
	period := pollInterval
	for _, rollout := range active {
		if rollout.State == shelfshelf.RolloutMoving {
			period = movePollInterval
		}
	}
	return period * time.Duration(max(pollsPerInterval, k.polledCount)) / pollsPerInterval
}

// poll fetches the counts of the others and evaluates each rollout.
func (k *Keeper) poll(ctx context.Context, active []shelfshelf.Rollout) {
	leads := k.Leads()
	reports, unreachable := k.pollAll(ctx, leads)
	k.evaluateAll(ctx, active, append(reports, k.Report()), unreachable, leads)
}

// evaluateAll evaluates each rollout by the reports of the instances and takes the next step.
func (k *Keeper) evaluateAll(ctx context.Context, active []shelfshelf.Rollout, reports []Report, unreachable int, leads bool) {
	for _, rollout := range active {
		t := k.progress[rollout.Pool]
		if t == nil || t.revision != rollout.Revision {
			t = &rolloutProgress{revision: rollout.Revision, began: k.Clock.Now(), drainedInstances: make(map[shelfshelf.InstanceID]bool)}
			k.progress[rollout.Pool] = t
		}
		t.judge.Moving = rollout.State == shelfshelf.RolloutMoving
		t.addReports(rollout, reports, unreachable)
		k.evaluate(rollout, t)
		if leads {
			k.advance(ctx, rollout, t)
		}
	}
}

// pollAll fetches the counts of the others and returns how many instances didn't respond.
func (k *Keeper) pollAll(ctx context.Context, all bool) (reports []Report, unreachable int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	addresses := k.Others(all)
	k.polledCount = len(addresses)
	answers := make(chan *Report, len(addresses))
	slots := make(chan struct{}, maxConcurrentPolls)
	var wait sync.WaitGroup
	for _, address := range addresses {
		wait.Add(1)
		slots <- struct{}{}
		go k.pollInstance(ctx, address, answers, slots, &wait)
	}
	wait.Wait()
	close(answers)
	for report := range answers {
		if report == nil {
			unreachable++
			continue
		}
		reports = append(reports, *report)
	}
	return reports, unreachable
}

func (k *Keeper) pollInstance(ctx context.Context, address string, answers chan<- *Report, slots <-chan struct{}, wait *sync.WaitGroup) {
	defer wait.Done()
	defer func() { <-slots }()
	report, err := k.Ask(ctx, address)
	if err != nil {
		k.Log.Debug("Could not fetch an instance's counts.", "from", address, "error", err)
		answers <- nil
		return
	}
	answers <- &report
}

// addReports adds the reports of one round.
func (t *rolloutProgress) addReports(rollout shelfshelf.Rollout, reports []Report, unreachable int) {
	t.unreachable, t.sendingToOld, t.instanceCount = unreachable, 0, len(reports)+unreachable
	t.oldRunning, t.newRunning = 0, 0
	increments := make(map[CellName]*Cell)
	for _, report := range reports {
		evidence := report.evidenceFor(rollout)
		t.drainedInstances[report.Life.Instance] = evidence != nil && evidence.Moved && evidence.OldRunning == 0
		if evidence == nil || !evidence.Moved {
			t.sendingToOld++
		}
		if evidence == nil {
			// The instance doesn't know of the rollout yet.
			continue
		}
		t.oldRunning += evidence.OldRunning
		t.newRunning += evidence.NewRunning
		for name, cell := range t.merger.Take(report.Life, *evidence) {
			if increments[name] == nil {
				increments[name] = &Cell{}
			}
			increments[name].add(cell)
		}
	}
	t.judge.Add(increments)
}

// evidenceFor returns the part of a report about a rollout; nil if there is none.
func (r *Report) evidenceFor(rollout shelfshelf.Rollout) *Evidence {
	for i, evidence := range r.Orders {
		if evidence.Pool == rollout.Pool && evidence.Revision == rollout.Revision {
			return &r.Orders[i]
		}
	}
	return nil
}

// evaluate computes the verdict on a rollout. A version found bad is halted at once: the other
// instances stop sending to it as soon as they learn of it, whether or not the rollback can be stored.
func (k *Keeper) evaluate(rollout shelfshelf.Rollout, t *rolloutProgress) {
	t.judge.Targets, t.judge.OldTargets = k.Record.Listed(rollout), k.Record.listedOthers(rollout)
	t.verdict = t.judge.Verdict()
	if !t.verdict.Bad || rollout.Halted {
		k.extendDoubt(rollout, t)
		return
	}
	k.logProgress(rollout, t, "New version is bad; halting the rollout.")
	rollout.Halted = true
	k.Record.Heard([]shelfshelf.Rollout{rollout}, 0, "own verdict")
}

// extendDoubt makes the instances send more trials to a version in doubt, so that the decision comes
// soon.
func (k *Keeper) extendDoubt(rollout shelfshelf.Rollout, t *rolloutProgress) {
	if !t.verdict.Doubted() || rollout.State >= shelfshelf.RolloutMoving || rollout.Doubted-rollout.Age > doubtDuration/2 {
		return
	}
	k.logProgress(rollout, t, "New version is in doubt; sending more trials.")
	rollout.Doubted = rollout.Age + doubtDuration
	k.Record.Heard([]shelfshelf.Rollout{rollout}, 0, "own verdict")
}

func (k *Keeper) logProgress(rollout shelfshelf.Rollout, t *rolloutProgress, line string) {
	sent := t.merger.Sum()
	k.Log.Info(line, "pool", rollout.Pool, "version", rollout.Version, "revision", rollout.Revision, "state", rollout.State, "age", rollout.Age,
		"period", rollout.Period, "by", t.verdict.Why, "against", t.verdict.Against, "limit", t.verdict.Limit, "trials", t.verdict.Trials,
		"trialsFailed", t.verdict.Failed, "slower", t.verdict.Slower, "others", t.verdict.Old, "othersFailed", t.verdict.OldFailed, "sent", sent.All, "sentNew", sent.New)
}

// advance takes the next step of a rollout.
func (k *Keeper) advance(ctx context.Context, rollout shelfshelf.Rollout, t *rolloutProgress) {
	now := k.Clock.Now()
	switch {
	case rollout.Halted || t.verdict.Bad:
		k.saveState(ctx, rollout, t, shelfshelf.RolloutRolledBack)
	case k.Record.Serves(rollout):
		k.saveState(ctx, rollout, t, shelfshelf.RolloutCompleted)
	case rollout.State == shelfshelf.RolloutOrdered:
		k.saveState(ctx, rollout, t, shelfshelf.RolloutServing)
	case rollout.State == shelfshelf.RolloutServing && k.mayStartMove(rollout, t):
		k.logProgress(rollout, t, "New version is good; starting the move.")
		rollout.State = shelfshelf.RolloutMoving
		k.Record.Heard([]shelfshelf.Rollout{rollout}, 0, "own verdict")
	case rollout.State == shelfshelf.RolloutMoving && t.drained(now) && t.proven(now):
		k.saveState(ctx, rollout, t, shelfshelf.RolloutCompleted)
	}
}

// mayStartMove reports whether the new version may take over: near the deadline or after it.
func (k *Keeper) mayStartMove(rollout shelfshelf.Rollout, t *rolloutProgress) bool {
	left := rollout.Period - rollout.Age
	sent := t.merger.Sum()
	if left > k.Record.Bounds.moveTime(rollout, sent, k.Clock.Now().Sub(t.began)) || k.Record.Listed(rollout) == 0 {
		return false
	}
	// A pool with fewer requests than the slack in its whole period can't provide evidence.
	idle := left <= 0 && float64(sent.All) < slackFraction*k.Record.Bounds.Slack && !t.verdict.Bad
	return t.verdict.Good && !t.trialsOverdue(k.Record.Bounds.trialShare()) || idle
}

// trialsOverdue reports that more trials are in flight than there would be for a version as fast as the
// old one: very late answers aren't counted yet.
func (t *rolloutProgress) trialsOverdue(share float64) bool {
	expected := share / (1 - share) * float64(t.oldRunning)
	return float64(t.newRunning) > overdueTrialFactor*expected+overdueTrialSlack
}

// drained reports that no requests are lost if the old targets stop.
func (t *rolloutProgress) drained(now time.Time) bool {
	if t.sendingToOld > 0 {
		t.movedAt = time.Time{}
		return false
	}
	if t.movedAt.IsZero() {
		t.movedAt, t.answersAtMove = now, t.verdict.Trials
	}
	free, busy := 0, 0
	for _, instanceDrained := range t.drainedInstances {
		if instanceDrained {
			free++
		} else {
			busy++
		}
	}
	waited := now.Sub(t.movedAt)
	switch {
	case busy > 0:
		return waited >= maxDrainWait
	case t.unreachable > 0 && free < t.instanceCount:
		return waited >= unreachableDrainWait
	}
	return true
}

// proven reports that the new version has answered properly under the full load. A fault that only
// shows there would reach all callers once the old targets have stopped.
func (t *rolloutProgress) proven(now time.Time) bool {
	waited := now.Sub(t.movedAt)
	if t.verdict.Doubted() {
		return waited >= maxDrainWait
	}
	return t.verdict.Trials-t.answersAtMove >= minFullLoadAnswers || waited >= maxProofWait
}

// saveState stores the new state of a rollout. If the store already has a final state, that one
// applies.
func (k *Keeper) saveState(ctx context.Context, rollout shelfshelf.Rollout, t *rolloutProgress, state shelfshelf.RolloutState) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rollout.State = state
	stored, err := k.Store.SaveRollout(ctx, rollout)
	if err == nil {
		rollout.Stored = stored
		k.logProgress(rollout, t, "Stored a new rollout state.")
		k.Record.Heard([]shelfshelf.Rollout{rollout}, 0, "own write")
		return
	}
	k.Log.Warn("Could not store the rollout state.", "pool", rollout.Pool, "state", state, "error", err)
	if errors.Is(err, shelfshelf.ErrConflict) || errors.Is(err, shelfshelf.ErrAmbiguous) {
		k.reload(ctx, rollout)
	}
}

// reload reads the stored state of a rollout.
func (k *Keeper) reload(ctx context.Context, rollout shelfshelf.Rollout) {
	kept, err := k.Store.LoadRollouts(ctx)
	if err != nil {
		k.Log.Warn("Could not read the stored rollout states.", "error", err)
		return
	}
	for _, found := range kept {
		if found.Pool != rollout.Pool {
			continue
		}
		rollout.Stored = found.Stored
		if found.Revision == rollout.Revision {
			rollout.State = max(found.State, shelfshelf.RolloutServing)
		}
		k.Record.Heard([]shelfshelf.Rollout{rollout}, 0, "the store")
	}
}
