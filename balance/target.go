package balance

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// startPrefillRate and startStep are what a target is taken to do before any was
	// observed: prompt tokens a millisecond, and the time of one token.
	startPrefillRate = 40.0
	startStep        = 5 * time.Millisecond
	// startWork is the same for a call of a plain service.
	startWork = 30 * time.Millisecond
	// learnShare is the weight of one observation in a moving mean.
	learnShare = 0.15
	// firstTokenFixed is the part of the time to a first token that doesn't depend on
	// the prompt: the way there and back and the first step.
	firstTokenFixed = 20 * time.Millisecond
	// leastLearnTokens is how much prompt work an observation must have had to tell
	// the speed of reading.
	leastLearnTokens = 1500
	// failureHalfLife is how fast failures are forgotten.
	failureHalfLife = 3 * time.Second
	// firstRest and lastRest bound how long a target that can't be reached rests.
	firstRest = 250 * time.Millisecond
	lastRest  = 2 * time.Second
	// goneRest is how long a target rests whose address another one has.
	goneRest = 30 * time.Second
	// toldLoadKept is how long the load that others told still counts.
	toldLoadKept = 1500 * time.Millisecond
)

// targetState is what this instance knows of one target.
type targetState struct {
	target shelfshelf.Target
	key    shelfshelf.TargetKey
	// region is where it runs; empty if that is not known.
	region shelfshelf.Region
	// evacuated says that its data centre is.
	evacuated bool
	// slots is how many requests the target runs at once.
	slots int
	// engine says that it runs a model.
	engine bool

	// own is what this instance has in flight.
	own load
	// peers and remotes are what other instances of this data centre, and other data
	// centres, say that they have in flight.
	// centre is the same of all of this data centre, by the word of one that hears them all;
	// ownTold is what this instance told last of its own.
	centre  toldLoad
	ownTold load
	peers   map[shelfshelf.InstanceID]toldLoad
	remotes map[shelfshelf.DataCentre]toldLoad

	// ownerLoad is how many requests the engine's owner said that it runs, as of ownerAt,
	// with what this instance has begun and ended since.
	ownerLoad int
	ownerAt   time.Time

	// prefillRate is in tokens a millisecond; step is the time of one token; work the
	// time of a plain call. Zero until observed.
	prefillRate float64
	rateAt      time.Time
	step        time.Duration
	stepAt      time.Time
	work        time.Duration
	// stay is the mean time that a request keeps its place.
	stay time.Duration

	// failures is a decayed share of failed requests, 0 to 1, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// restUntil keeps new work away after the target could not be reached.
	restUntil time.Time
	rest      time.Duration
	// bears is how many requests a second the target bears while it is cold, 0 if any number, and
	// coldUntil until when it may be cold by what is known here.
	bears     float64
	coldUntil time.Time
	// said is what the target has said of itself, and pacedUntil keeps its owner from being asked
	// again before its limit allows another request.
	said       shelfshelf.TargetWord
	pacedUntil time.Time
}

// load is what is in flight at a target.
type load struct {
	requests int
	// prefilling are those whose prompts are still to be read, prefill their tokens.
	prefilling int
	prefill    int
}

func (l load) plus(other load) load {
	return load{
		requests:   l.requests + other.requests,
		prefilling: l.prefilling + other.prefilling,
		prefill:    l.prefill + other.prefill,
	}
}

// less returns a load without a part of it.
func (l load) less(part load) load {
	return load{
		requests:   max(l.requests-part.requests, 0),
		prefilling: max(l.prefilling-part.prefilling, 0),
		prefill:    max(l.prefill-part.prefill, 0),
	}
}

// toldLoad is what others have in flight at a target.
type toldLoad struct {
	load
	at time.Time
}

func newToldLoad(told shelfshelf.TargetLoad, at time.Time) toldLoad {
	return toldLoad{
		load: load{requests: told.Requests, prefilling: told.Prefilling, prefill: told.PrefillTokens},
		at:   at,
	}
}

// workTime returns the time of a plain call.
func (t *targetState) workTime() time.Duration {
	if t.work == 0 {
		return startWork
	}
	return t.work
}

// told returns the form in which a load is told to others.
func (t *targetState) told(l load) shelfshelf.TargetLoad {
	return shelfshelf.TargetLoad{
		Target: t.key, Requests: l.requests, Prefilling: l.prefilling, PrefillTokens: l.prefill,
	}
}

// load returns what all instances have in flight: by the owner's word if there is a
// fresh one, else by what the instances tell each other.
func (t *targetState) load(now time.Time) load {
	sum := t.toldLoad(now)
	if now.Sub(t.ownerAt) < ownerWordKept {
		sum.requests = max(t.ownerLoad, t.own.requests)
	}
	return sum
}

// toldLoad returns what all instances have in flight by what they tell each other.
func (t *targetState) toldLoad(now time.Time) load {
	sum := t.centreLoad(now)
	for _, told := range t.remotes {
		if now.Sub(told.at) < toldLoadKept {
			sum = sum.plus(told.load)
		}
	}
	return sum
}

// centreLoad returns what the instances of this data centre have in flight.
func (t *targetState) centreLoad(now time.Time) load {
	if !t.centre.at.IsZero() && now.Sub(t.centre.at) < toldLoadKept {
		return t.own.plus(t.centre.less(t.ownTold))
	}
	sum := t.own
	for _, told := range t.peers {
		if now.Sub(told.at) < toldLoadKept {
			sum = sum.plus(told.load)
		}
	}
	return sum
}

// failureShare returns the share of failed requests, as it has decayed.
func (t *targetState) failureShare(now time.Time) float64 {
	if t.failures == 0 {
		return 0
	}
	age := now.Sub(t.failuresAt)
	return t.failures * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// noteResult counts one request's end.
func (t *targetState) noteResult(now time.Time, failed bool) {
	share := t.failureShare(now) * (1 - learnShare)
	if failed {
		share += learnShare
	}
	t.failures = share
	t.failuresAt = now
}

// noteUnreachable keeps new work away for a while, longer each time in a row.
func (t *targetState) noteUnreachable(now time.Time) {
	t.rest = min(max(2*t.rest, firstRest), lastRest)
	t.restUntil = now.Add(t.rest)
}

// noteGone keeps new work away until the list of targets is right again: another
// instance answers at the address.
func (t *targetState) noteGone(now time.Time) {
	t.restUntil = now.Add(goneRest)
}

// noteReached ends a rest.
func (t *targetState) noteReached() {
	t.rest = 0
	t.restUntil = time.Time{}
}

// learn moves a mean towards an observation; a mean of zero takes it whole.
func learn(mean, observed float64) float64 {
	if mean == 0 {
		return observed
	}
	return mean + learnShare*(observed-mean)
}
