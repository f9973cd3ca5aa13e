package schedule

import (
	"container/list"
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// inFlight is one granted request that has not left its engine.
type inFlight struct {
	ask     shelfshelf.Ask
	engine  *engineState
	granted time.Time
	// uncached is the prompt the engine has to read, in tokens.
	uncached int
	// predicted is the time to the first token that the choice counted on, at
	// the engine's declared speed.
	predicted time.Duration
	// pending is the place in engine.pending until the first token.
	pending *list.Element
}

// engineState is what the owner knows of one target.
type engineState struct {
	target shelfshelf.Target
	index  int
	view   *prefixView
	// occupied counts our requests on the engine.
	occupied int
	// prefillAhead is the prompt our requests still have to read, in tokens.
	prefillAhead int
	// foreign counts other senders' requests, from the latest report.
	foreign int
	// foreignPrefill is other senders' prompt work, in tokens.
	foreignPrefill int
	// reported and observed are the slowdown by reports and by our first tokens.
	reported float64
	observed float64
	leaving  bool
	// removed says that the bundle no longer has the target.
	removed bool
	// refusals counts refusals since the target last took a request; it rests
	// until restUntil, longer after each.
	refusals  int
	restUntil time.Time
	// pending holds *inFlight without a first token, the oldest first.
	pending *list.List
	// load orders the engines; it changes only while out of the tree.
	load float64
	// stamp marks the engine as gathered for a request.
	stamp uint64
}

const (
	// slowerWeight and fasterWeight are the weights of a new sample of an engine's
	// slowdown: it is believed to be slow at once and to be well again gradually.
	slowerWeight = 0.6
	fasterWeight = 0.25
	maxSlowdown  = 64
	// firstRest is how long a target that refuses gets nothing; it doubles with
	// each refusal up to longestRest.
	firstRest        = 100 * time.Millisecond
	longestRest      = 3 * time.Second
	maxRestDoublings = 8
	// overdueFactor times its prediction is when a first token counts as overdue.
	overdueFactor = 3
	overdueGrace  = 150 * time.Millisecond
	// fullBatchStretch is how much longer a step takes with a full batch.
	fullBatchStretch = 1.0
	// chunkTokens is how much prompt an engine reads beside one decoding step.
	chunkTokens = 512
)

func newEngineState(target shelfshelf.Target, index int) *engineState {
	return &engineState{
		target:   target,
		index:    index,
		view:     newPrefixView(),
		reported: 1,
		observed: 1,
		leaving:  target.Leaving,
		pending:  list.New(),
	}
}

// slowdown returns how many times slower than declared the engine seems to be.
func (e *engineState) slowdown(now time.Time) float64 {
	slow := max(e.reported, e.observed)
	front := e.pending.Front()
	if front == nil {
		return slow
	}
	oldest := front.Value.(*inFlight)
	waited := now.Sub(oldest.granted)
	if waited > overdueFactor*oldest.predicted+overdueGrace {
		overdue := float64(waited) / float64(overdueFactor*oldest.predicted+overdueGrace)
		slow = max(slow, min(overdue, maxSlowdown))
	}
	return slow
}

// stepSeconds returns the declared length of a step at the present batch.
func (e *engineState) stepSeconds() float64 {
	share := float64(e.occupied+e.foreign) / float64(max(e.target.Slots, 1))
	return e.target.StepTime.Seconds() * (1 + fullBatchStretch*min(share, 1))
}

// readSeconds returns how long the engine takes to read a prompt at declared speed.
func (e *engineState) readSeconds(tokens int) float64 {
	if e.target.PrefillRate <= 0 || tokens <= 0 {
		return 0
	}
	return float64(tokens) / e.target.PrefillRate
}

// firstTokenSeconds predicts the time to the first token at declared speed.
func (e *engineState) firstTokenSeconds(uncached int) float64 {
	tokens := e.prefillAhead + e.foreignPrefill + uncached
	steps := 1 + float64(tokens)/chunkTokens
	return e.readSeconds(tokens) + steps*e.stepSeconds()
}

// room returns how many more requests of the tier the engine may take.
//
// A target that has just refused has none.
func (e *engineState) room(now time.Time, tier shelfshelf.Tier, lowest shelfshelf.Tier, tuning *Tuning, slow float64) int {
	if e.leaving || now.Before(e.restUntil) {
		return 0
	}
	slots := e.target.Slots
	if slow >= tuning.SlowFrom {
		// A slow engine keeps a trickle, so that its recovery is seen.
		slots = max(1, int(float64(slots)/slow))
	}
	if lowest > 0 && tier > 0 && slots > 1 {
		share := tuning.ReserveShare * float64(tier) / float64(lowest)
		slots -= int(math.Ceil(float64(slots) * share))
	}
	return slots - e.occupied - e.foreign
}

func (e *engineState) report(report shelfshelf.LoadReport, slotsKnown bool) {
	if report.Leaving {
		e.leaving = true
	}
	if report.ExpectedStepTime > 0 && report.StepTime > 0 {
		ratio := float64(report.StepTime) / float64(report.ExpectedStepTime)
		e.reported = blend(e.reported, ratio)
	}
	if !slotsKnown {
		return
	}
	e.foreign = max(0, report.Running+report.Waiting-e.occupied)
	e.foreignPrefill = max(0, report.PendingPrefillTokens-e.prefillAhead)
}

// observe takes the time that a first token took against its prediction.
func (e *engineState) observe(took, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	// Prompts of a higher priority and long answers hold a first token up too, so
	// only what is far beyond the prediction says that the engine is slow.
	bound := overdueFactor*predicted + overdueGrace
	e.observed = blend(e.observed, float64(took)/float64(bound))
}

// refuse notes that the target refused a request or could not be reached.
func (e *engineState) refuse(now time.Time) {
	e.restUntil = now.Add(min(firstRest<<min(e.refusals, maxRestDoublings), longestRest))
	e.refusals++
}

func blend(old, sample float64) float64 {
	sample = min(max(sample, 1), maxSlowdown)
	if sample > old {
		return old + slowerWeight*(sample-old)
	}
	return old + fasterWeight*(sample-old)
}
