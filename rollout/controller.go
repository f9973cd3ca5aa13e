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

// Controller polls the instances for their counts and evaluates them. On the leading instance it also
// records the progress of rollouts in the store. Fields are set before Run.
type Controller struct {
	Clock   shelfshelf.Clock
	Log     *log.Logger
	Tracker *Tracker
	Store   shelfshelf.RolloutStore
	// Self identifies this incarnation of this instance.
	Self InstanceRun
	// IsLeader reports whether this instance is the one that writes to the store. ShouldPoll reports whether it
	// polls others at all: the first instance of each data centre does, so that a network partition
	// doesn't stop the evaluation.
	IsLeader   func() bool
	ShouldPoll func() bool
	// PeerAddresses returns the addresses of the other instances, of this data centre or of all.
	PeerAddresses func(all bool) []string
	// FetchReport fetches the counts of the instance at an address.
	FetchReport func(ctx context.Context, address string) (Report, error)

	progress map[shelfshelf.PoolName]*rolloutProgress
	// polledCount is the number of instances in the last round of polls.
	polledCount int
}

// rolloutProgress is what this instance knows of one active rollout.
type rolloutProgress struct {
	revision uint64
	// began is the time of the first round of polls.
	began   time.Time
	merger  ReportMerger
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
	// answersAtMove is the number of the new version's answers that had been counted at movedAt.
	answersAtMove uint64
	// oldRunning and newRunning count the running requests at targets of old and new versions in the
	// last round.
	oldRunning, newRunning int
}

// Report returns the counts of this instance.
func (c *Controller) Report() Report {
	return Report{Run: c.Self, Evidence: c.Tracker.Evidence()}
}

// Run evaluates rollouts and records their progress until the context ends. It is idle while none is
// active.
func (c *Controller) Run(ctx context.Context) error { return c.loop(ctx) }

func (c *Controller) loop(ctx context.Context) error {
	c.progress = make(map[shelfshelf.PoolName]*rolloutProgress)
	for ctx.Err() == nil {
		active := c.Tracker.Active()
		var next <-chan time.Time
		switch {
		case len(active) > 0:
			next = c.Clock.After(c.pollPause(active))
		case len(c.Tracker.Unsaved()) > 0:
			next = c.Clock.After(saveAgainPause)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.Tracker.Changes():
		case <-next:
		}
		c.saveAgain(ctx, c.IsLeader())
		if active = c.Tracker.Active(); len(active) > 0 && c.ShouldPoll() {
			c.poll(ctx, active)
		}
	}
	return nil
}

// pollPause returns the time until the next round of polls.
func (c *Controller) pollPause(active []shelfshelf.Rollout) time.Duration {
	period := pollInterval
	for _, rollout := range active {
		if rollout.State == shelfshelf.RolloutMoving {
			period = movePollInterval
		}
	}
	return period * time.Duration(max(pollsPerInterval, c.polledCount)) / pollsPerInterval
}

// poll fetches the counts of the others and evaluates each rollout.
func (c *Controller) poll(ctx context.Context, active []shelfshelf.Rollout) {
	leads := c.IsLeader()
	reports, unreachable := c.pollAll(ctx, leads)
	c.evaluateAll(ctx, active, append(reports, c.Report()), unreachable, leads)
}

// evaluateAll evaluates each rollout by the reports of the instances and takes the next step.
func (c *Controller) evaluateAll(ctx context.Context, active []shelfshelf.Rollout, reports []Report, unreachable int, leads bool) {
	for _, rollout := range active {
		p := c.progress[rollout.Pool]
		if p == nil || p.revision != rollout.Revision {
			p = &rolloutProgress{revision: rollout.Revision, began: c.Clock.Now(), drainedInstances: make(map[shelfshelf.InstanceID]bool)}
			c.progress[rollout.Pool] = p
		}
		p.judge.Moving = rollout.State == shelfshelf.RolloutMoving
		p.addReports(rollout, reports, unreachable)
		c.evaluate(rollout, p)
		if leads {
			c.advance(ctx, rollout, p)
		}
	}
}

// pollAll fetches the counts of the others and returns how many instances didn't respond.
func (c *Controller) pollAll(ctx context.Context, all bool) (reports []Report, unreachable int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	addresses := c.PeerAddresses(all)
	c.polledCount = len(addresses)
	results := make(chan *Report, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentPolls)
	var wait sync.WaitGroup
	for _, address := range addresses {
		wait.Add(1)
		semaphore <- struct{}{}
		go c.pollInstance(ctx, address, results, semaphore, &wait)
	}
	wait.Wait()
	close(results)
	for report := range results {
		if report == nil {
			unreachable++
			continue
		}
		reports = append(reports, *report)
	}
	return reports, unreachable
}

func (c *Controller) pollInstance(ctx context.Context, address string, results chan<- *Report, semaphore <-chan struct{}, wait *sync.WaitGroup) {
	defer wait.Done()
	defer func() { <-semaphore }()
	report, err := c.FetchReport(ctx, address)
	if err != nil {
		c.Log.Debug("Could not fetch an instance's counts.", "from", address, "error", err)
		results <- nil
		return
	}
	results <- &report
}

// addReports adds the reports of one round.
func (p *rolloutProgress) addReports(rollout shelfshelf.Rollout, reports []Report, unreachable int) {
	p.unreachable, p.sendingToOld, p.instanceCount = unreachable, 0, len(reports)+unreachable
	p.oldRunning, p.newRunning = 0, 0
	increments := make(map[CellKey]*ResultCounts)
	for _, report := range reports {
		evidence := report.evidenceFor(rollout)
		p.drainedInstances[report.Run.Instance] = evidence != nil && evidence.OldTrafficStopped && evidence.OldRunning == 0
		if evidence == nil || !evidence.OldTrafficStopped {
			p.sendingToOld++
		}
		if evidence == nil {
			// The instance doesn't know of the rollout yet.
			continue
		}
		p.oldRunning += evidence.OldRunning
		p.newRunning += evidence.NewRunning
		for name, cell := range p.merger.Add(report.Run, *evidence) {
			if increments[name] == nil {
				increments[name] = &ResultCounts{}
			}
			increments[name].add(cell)
		}
	}
	p.judge.Add(increments)
}

// evidenceFor returns the part of a report about a rollout; nil if there is none.
func (r *Report) evidenceFor(rollout shelfshelf.Rollout) *Evidence {
	for i, evidence := range r.Evidence {
		if evidence.Pool == rollout.Pool && evidence.Revision == rollout.Revision {
			return &r.Evidence[i]
		}
	}
	return nil
}

// evaluate computes the verdict on a rollout. A version found bad is halted at once: the other
// instances stop sending to it as soon as they learn of it, whether or not the rollback can be stored.
func (c *Controller) evaluate(rollout shelfshelf.Rollout, p *rolloutProgress) {
	p.judge.Targets, p.judge.OldTargets = c.Tracker.TargetCount(rollout), c.Tracker.listedOthers(rollout)
	p.verdict = p.judge.Verdict()
	if !p.verdict.Bad || rollout.Halted {
		c.extendDoubt(rollout, p)
		return
	}
	c.logProgress(rollout, p, "New version is bad; halting the rollout.")
	rollout.Halted = true
	c.Tracker.Merge([]shelfshelf.Rollout{rollout}, 0, "own verdict")
}

// extendDoubt makes the instances send more trials to a version in doubt, so that the decision comes
// soon.
func (c *Controller) extendDoubt(rollout shelfshelf.Rollout, p *rolloutProgress) {
	if !p.verdict.Doubted() || rollout.State >= shelfshelf.RolloutMoving || rollout.DoubtedUntil-rollout.Age > doubtDuration/2 {
		return
	}
	c.logProgress(rollout, p, "New version is in doubt; sending more trials.")
	rollout.DoubtedUntil = rollout.Age + doubtDuration
	c.Tracker.Merge([]shelfshelf.Rollout{rollout}, 0, "own verdict")
}

func (c *Controller) logProgress(rollout shelfshelf.Rollout, p *rolloutProgress, message string) {
	sent := p.merger.TotalSent()
	c.Log.Info(message, "pool", rollout.Pool, "version", rollout.Version, "revision", rollout.Revision, "state", rollout.State, "age", rollout.Age,
		"period", rollout.Period, "by", p.verdict.Reason, "against", p.verdict.Evidence, "limit", p.verdict.Limit, "trials", p.verdict.Trials,
		"trialsFailed", p.verdict.Failed, "slower", p.verdict.SlowdownFactor, "others", p.verdict.Old, "othersFailed", p.verdict.OldFailed, "sent", sent.All, "sentNew", sent.New)
}

// advance takes the next step of a rollout.
func (c *Controller) advance(ctx context.Context, rollout shelfshelf.Rollout, p *rolloutProgress) {
	now := c.Clock.Now()
	switch {
	case rollout.Halted || p.verdict.Bad:
		c.saveState(ctx, rollout, p, shelfshelf.RolloutRolledBack)
	case c.Tracker.AlreadyServing(rollout):
		c.saveState(ctx, rollout, p, shelfshelf.RolloutCompleted)
	case rollout.State == shelfshelf.RolloutOrdered:
		c.saveState(ctx, rollout, p, shelfshelf.RolloutServing)
	case rollout.State == shelfshelf.RolloutServing && c.mayStartMove(rollout, p):
		c.logProgress(rollout, p, "New version is good; starting the move.")
		rollout.State = shelfshelf.RolloutMoving
		c.Tracker.Merge([]shelfshelf.Rollout{rollout}, 0, "own verdict")
	case rollout.State == shelfshelf.RolloutMoving && p.drained(now) && p.proven(now):
		c.saveState(ctx, rollout, p, shelfshelf.RolloutCompleted)
	}
}

// mayStartMove reports whether the new version may take over: near the deadline or after it.
func (c *Controller) mayStartMove(rollout shelfshelf.Rollout, p *rolloutProgress) bool {
	left := rollout.Period - rollout.Age
	sent := p.merger.TotalSent()
	if left > c.Tracker.Bounds.moveTime(rollout, sent, c.Clock.Now().Sub(p.began)) || c.Tracker.TargetCount(rollout) == 0 {
		return false
	}
	// A pool with fewer requests than the slack in its whole period can't provide evidence.
	idle := left <= 0 && float64(sent.All) < slackFraction*c.Tracker.Bounds.Slack && !p.verdict.Bad
	return p.verdict.Good && !p.trialsOverdue(c.Tracker.Bounds.trialShare()) || idle
}

// trialsOverdue reports that more trials are in flight than there would be for a version as fast as the
// old one: very late answers aren't counted yet.
func (p *rolloutProgress) trialsOverdue(share float64) bool {
	expected := share / (1 - share) * float64(p.oldRunning)
	return float64(p.newRunning) > overdueTrialFactor*expected+overdueTrialSlack
}

// drained reports that no requests are lost if the old targets stop.
func (p *rolloutProgress) drained(now time.Time) bool {
	if p.sendingToOld > 0 {
		p.movedAt = time.Time{}
		return false
	}
	if p.movedAt.IsZero() {
		p.movedAt, p.answersAtMove = now, p.verdict.Trials
	}
	drainedCount, undrainedCount := 0, 0
	for _, instanceDrained := range p.drainedInstances {
		if instanceDrained {
			drainedCount++
		} else {
			undrainedCount++
		}
	}
	waited := now.Sub(p.movedAt)
	switch {
	case undrainedCount > 0:
		return waited >= maxDrainWait
	case p.unreachable > 0 && drainedCount < p.instanceCount:
		return waited >= unreachableDrainWait
	}
	return true
}

// proven reports that the new version has answered properly under the full load. A fault that only
// shows there would reach all callers once the old targets have stopped.
func (p *rolloutProgress) proven(now time.Time) bool {
	waited := now.Sub(p.movedAt)
	if p.verdict.Doubted() {
		return waited >= maxDrainWait
	}
	return p.verdict.Trials-p.answersAtMove >= minFullLoadAnswers || waited >= maxProofWait
}

// saveState stores the new state of a rollout. If the store already has a final state, that one
// applies.
func (c *Controller) saveState(ctx context.Context, rollout shelfshelf.Rollout, p *rolloutProgress, state shelfshelf.RolloutState) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rollout.State = state
	stored, err := c.Store.SaveRollout(ctx, rollout)
	if err == nil {
		rollout.RowVersion = stored
		c.logProgress(rollout, p, "Stored a new rollout state.")
		c.Tracker.Merge([]shelfshelf.Rollout{rollout}, 0, "own write")
		return
	}
	c.Log.Warn("Could not store the rollout state.", "pool", rollout.Pool, "state", state, "error", err)
	if errors.Is(err, shelfshelf.ErrConflict) || errors.Is(err, shelfshelf.ErrAmbiguous) {
		c.reload(ctx, rollout)
	}
}

// reload reads the stored state of a rollout.
func (c *Controller) reload(ctx context.Context, rollout shelfshelf.Rollout) {
	kept, err := c.Store.LoadRollouts(ctx)
	if err != nil {
		c.Log.Warn("Could not read the stored rollout states.", "error", err)
		return
	}
	for _, found := range kept {
		if found.Pool != rollout.Pool {
			continue
		}
		rollout.RowVersion = found.RowVersion
		if found.Revision == rollout.Revision {
			rollout.State = max(found.State, shelfshelf.RolloutServing)
		}
		c.Tracker.Merge([]shelfshelf.Rollout{rollout}, 0, "the store")
	}
}
