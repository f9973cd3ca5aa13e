package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

// Bounds are the operator's bounds on what a version that turns out bad may get.
type Bounds struct {
	// Share is the part of all requests of the pool between order and deadline, and Slack
	// the requests beyond it.
	Share float64
	Slack float64
}

const (
	// trialPart is the part of the share that trials take; the rest is for the move, which
	// has to begin before the deadline for the order to be over by then.
	trialPart = 0.4
	// exposurePart and slackPart are the parts of share and slack that are planned with: the
	// rest is for what is under way while a word of the move or the halt spreads.
	exposurePart = 0.9
	slackPart    = 0.6
	// slackTrials is the part of the slack that goes to trials: with few instances and
	// requests it shows a third more.
	slackTrials = 0.3
	// earlyPart is the part of an order's period in which trials come earlyPace times as often as
	// on the mean: a fault that is there from the beginning shows while there is time to decide,
	// and later ones, and those that come late, are shown by the rest.
	earlyPart = 0.25
	earlyPace = exposurePart / trialPart
	latePace  = (1 - earlyPart*earlyPace) / (1 - earlyPart)
	// trialLoad times the load of an old target is what a tried one gets, as in a burst of callers:
	// a fault that shows only under load shows while few requests meet it.
	trialLoad = 1.5
	// cycle is how often trials go to other targets of the new version: one that is slow by
	// its machine, or crashes, is not taken for the version.
	cycle = time.Second
	// firstCycle is the same until all have been tried once: few answers of each of many targets
	// tell more of the version than many answers of a few.
	firstCycle = 300 * time.Millisecond
	// eagerness times the part of the requests in a burst that trials need is what tries:
	// an instance that has no trial left in its share lets the burst pass.
	eagerness = 2
	// longestMove bounds how long before the deadline the move begins: streams last up to
	// 15 s, and a version may turn bad late.
	longestMove = 20 * time.Second
	// rampPart is the part of the move's time over which its share grows to the whole, so
	// that a fault that only shows under load is seen before all have it; the move takes as
	// many requests as rampCost of its time at the full rate.
	rampPart = 0.25
	rampCost = 1 - rampPart/2
)

// trialShare is the part of an instance's requests that try the new version, on the mean over an
// order's period.
func (b Bounds) trialShare() float64 { return trialPart * b.Share }

// paced is how much of the trials of a whole period comes by an age, as a time at the mean pace.
// It never grows faster than what a bad version may get, so that no later fall of the load makes
// the trials too many. Its example: of a period of 12 s, the first 3 s count for 6.75 s.
func paced(rollout shelfshelf.Rollout, age time.Duration) time.Duration {
	early := min(age, time.Duration(earlyPart*float64(rollout.Period)))
	late := min(age, rollout.Period) - early
	past := age - early - late
	return time.Duration(earlyPace*float64(early)+latePace*float64(late)) + past
}

// shareSince is the part of the requests since an age that are to have tried the new version.
func (b Bounds) shareSince(rollout shelfshelf.Rollout, age time.Duration) float64 {
	if rollout.Age <= age {
		return b.planned(rollout)
	}
	return b.trialShare() * float64(paced(rollout, rollout.Age)-paced(rollout, age)) / float64(rollout.Age-age)
}

// shareNow is the part of the requests that try the new version at an order's age.
func (b Bounds) shareNow(rollout shelfshelf.Rollout) float64 {
	return b.planned(rollout) + b.extraShare(rollout)
}

// extraShare is the part of the requests that try the new version beyond what was planned while it
// is in doubt: it can't take over meanwhile, so that trials have the move's part of the share.
func (b Bounds) extraShare(rollout shelfshelf.Rollout) float64 {
	if rollout.Age >= rollout.Doubted {
		return 0
	}
	return earlyPace*b.trialShare() - b.planned(rollout)
}

// planned is the part of the requests that is to try the new version at an order's age.
func (b Bounds) planned(rollout shelfshelf.Rollout) float64 {
	switch {
	case float64(rollout.Age) < earlyPart*float64(rollout.Period):
		return earlyPace * b.trialShare()
	case rollout.Age < rollout.Period:
		return latePace * b.trialShare()
	}
	return b.trialShare()
}

// trials says which targets trials go to at an order's age, and with which probability a
// request that may try the new version does: they come in bursts, to as few targets as give
// each of them more than the load of an old one, or a fault that shows only under load would
// never be seen. Its example: 4 old targets and a share of 0.04 make one burst of 0.11 s to one
// target every second, in which it gets 0.36 of the requests.
func (b Bounds) trials(rollout shelfshelf.Rollout, old int, fresh []shelfshelf.Target) (canaries map[shelfshelf.TargetName]bool, probability float64) {
	share := b.shareNow(rollout)
	if len(fresh) == 0 || share <= 0 {
		return nil, 0
	}
	usual := trialLoad * (1 - share) / float64(max(old, 1))
	count := min(max(int(math.Round(share/usual)), 1), len(fresh))
	duty := min(share/float64(count)/usual, 1)
	turn, on := turnAt(rollout.Age, (len(fresh)+count-1)/count)
	if !on(duty) {
		return nil, 0
	}
	ordered := slices.Clone(fresh)
	slices.SortFunc(ordered, func(x, y shelfshelf.Target) int { return cmp.Compare(rank(x, rollout), rank(y, rollout)) })
	canaries = make(map[shelfshelf.TargetName]bool, count)
	for i := range count {
		canaries[ordered[(turn*count+i)%len(ordered)].Name] = true
	}
	return canaries, min(eagerness*share/duty, 1)
}

// turnAt returns which turn it is at an order's age, if one round over all targets has so many, and
// whether the part of it that has trials is on.
func turnAt(age time.Duration, round int) (turn int, on func(duty float64) bool) {
	length, first := firstCycle, 0
	if late := age - time.Duration(round)*firstCycle; late >= 0 {
		age, length, first = late, cycle, round
	}
	return first + int(age/length), func(duty float64) bool {
		return float64(age%length) < duty*float64(length)
	}
}

// rank orders the new targets alike at all instances.
func rank(target shelfshelf.Target, rollout shelfshelf.Rollout) uint64 {
	return xxhash.Sum64String(string(target.Name) + "/" + string(rollout.Version))
}

// split is what one instance has sent to a pool since it knows of an order.
type split struct {
	// offset is drawn evenly from 0 to 1 when the instance learns of the order. With it the
	// rounding is right on the mean: of 85 instances that each send a few requests, each
	// sending its first one would be 85 trials too many, each waiting for a whole one 42 too
	// few. It stays so over restarts, which begin anew.
	offset float64
	// since is the order's age at which the instance learnt of it.
	since time.Duration
	// extra is how many trials more doubts have allowed.
	extra  float64
	all    int
	trials int
}

// mayTry reports that one more request may try the new version.
func (s *split) mayTry(share, more float64) bool {
	return math.Floor(share*float64(s.all)+s.offset+more) > float64(s.trials)
}

// moveShare is the part of the requests that goes to the new version, so long after the move
// began.
func moveShare(rollout shelfshelf.Rollout, length time.Duration) float64 {
	if length <= 0 || rollout.Moving > length {
		return 1
	}
	return min(float64(rollout.Moving)/(rampPart*float64(length)), 1)
}

// moveTime returns how long before its deadline an order's move is to begin: so late that all
// that the new version gets by the deadline stays within the bounds, whenever it turns bad.
// Counted is how long the requests have been counted: less than the order's age where all
// instances have begun anew, when the rate by its age was half of the true one and the move
// began so early that 300 of 2,340 requests went to the new version, 284 allowed.
func (b Bounds) moveTime(rollout shelfshelf.Rollout, sent Sent, counted time.Duration) time.Duration {
	if counted <= 0 || sent.All == 0 {
		return 0
	}
	rate := float64(sent.All) / float64(counted)
	expected := float64(sent.All) + rate*float64(max(rollout.Period-rollout.Age, 0))
	room := exposurePart*b.Share*expected + slackPart*b.Slack - float64(sent.New)
	return min(time.Duration(max(room, 0)/rate/rampCost), longestMove)
}

// usualMove is what an instance that doesn't know all counts takes for the length of a move.
func (b Bounds) usualMove(rollout shelfshelf.Rollout) time.Duration {
	return min(time.Duration((exposurePart-trialPart)*b.Share*float64(rollout.Period)), longestMove)
}

// Sent is how many requests were sent to a pool since an order, and to its new version.
type Sent struct {
	All uint64
	New uint64
}
