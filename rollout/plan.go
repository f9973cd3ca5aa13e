package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

// Bounds are the operator's limits on the requests that a bad version may get.
type Bounds struct {
	// Share is the fraction of the pool's requests between the order and the deadline, and Slack is a
	// number of requests allowed in addition.
	Share float64
	Slack float64
}

const (
	// trialFraction is the fraction of the share that is spent on trials. The rest is left for the
	// move, which has to start before the deadline for the rollout to end by then.
	trialFraction = 0.4
	// exposureFraction and slackFraction are the fractions of share and slack that plans may use. The
	// rest covers requests that are sent before all instances know of the move or the halt.
	exposureFraction = 0.9
	slackFraction    = 0.6
	// trialSlackFraction is the fraction of the slack that is spent on trials. With few instances and
	// requests it yields a third more answers.
	trialSlackFraction = 0.3
	// earlyFraction is the fraction of the period in which trials come at earlyPace times the mean
	// rate: a fault that is there from the start shows while there is time to decide. The remaining
	// trials show faults that take longer to show or that begin late.
	earlyFraction = 0.25
	earlyPace     = exposureFraction / trialFraction
	latePace      = (1 - earlyFraction*earlyPace) / (1 - earlyFraction)
	// trialLoadFactor is the load of a tried target, as a multiple of an old target's load, as in a
	// burst of callers: a fault that only shows under load then shows while few requests meet it.
	trialLoadFactor = 1.5
	// rotationInterval is how often trials switch to other targets of the new version, so that a slow
	// or crashing machine isn't mistaken for a bad version.
	rotationInterval = time.Second
	// firstRotationInterval replaces rotationInterval until all targets have been tried once: a few
	// answers from each of many targets tell more about the version than many answers from a few.
	firstRotationInterval = 300 * time.Millisecond
	// burstOvercommit multiplies the probability with which a request becomes a trial during a burst of
	// trials, because instances that have used up their share of trials skip the burst.
	burstOvercommit = 2
	// maxMoveTime limits how long before the deadline the move starts: streams last up to 15 s, and a
	// version may turn bad late.
	maxMoveTime = 20 * time.Second
	// rampFraction is the fraction of the move over which the new version's share grows to 1, so that a
	// fault that only shows under load is seen before all requests meet it. The move sends as many
	// requests to the new version as rampCost of its duration would at the full rate.
	rampFraction = 0.25
	rampCost     = 1 - rampFraction/2
)

// trialShare is the mean fraction of an instance's requests that try the new version over the period.
func (b Bounds) trialShare() float64 { return trialFraction * b.Share }

// pacedTime converts an age into the time after which the same number of trials would have come at the
// mean rate. It never grows faster than the exposure allowed to a bad version, so that a later drop in
// load can't make the trials exceed it. Example: in a period of 12 s the first 3 s count as 6.75 s.
func pacedTime(rollout shelfshelf.Rollout, age time.Duration) time.Duration {
	early := min(age, time.Duration(earlyFraction*float64(rollout.Period)))
	late := min(age, rollout.Period) - early
	past := age - early - late
	return time.Duration(earlyPace*float64(early)+latePace*float64(late)) + past
}

// shareSince returns the fraction of the requests that should have tried the new version since the
// rollout had the given age.
func (b Bounds) shareSince(rollout shelfshelf.Rollout, age time.Duration) float64 {
	if rollout.Age <= age {
		return b.plannedShare(rollout)
	}
	return b.trialShare() * float64(pacedTime(rollout, rollout.Age)-pacedTime(rollout, age)) / float64(rollout.Age-age)
}

// shareNow returns the fraction of the requests that try the new version at present.
func (b Bounds) shareNow(rollout shelfshelf.Rollout) float64 {
	return b.plannedShare(rollout) + b.extraShare(rollout)
}

// extraShare returns the fraction of the requests that try the new version beyond the plan while it is
// in doubt. The move can't start during that time, so trials may use its part of the share.
func (b Bounds) extraShare(rollout shelfshelf.Rollout) float64 {
	if rollout.Age >= rollout.DoubtedUntil {
		return 0
	}
	return earlyPace*b.trialShare() - b.plannedShare(rollout)
}

// plannedShare returns the fraction of the requests that is planned to try the new version at present.
func (b Bounds) plannedShare(rollout shelfshelf.Rollout) float64 {
	switch {
	case float64(rollout.Age) < earlyFraction*float64(rollout.Period):
		return earlyPace * b.trialShare()
	case rollout.Age < rollout.Period:
		return latePace * b.trialShare()
	}
	return b.trialShare()
}

// trialTargets returns the targets that trials go to at present, and the probability with which a
// request that may try the new version does. Trials come in bursts, to so few targets that each gets
// more than the load of an old one; otherwise a fault that only shows under load would not be seen.
// Example: with 4 old targets and a share of 0.04 there is one burst of 0.11 s to one target every
// second, in which the target gets 0.36 of the requests.
func (b Bounds) trialTargets(rollout shelfshelf.Rollout, old int, newTargets []shelfshelf.Target) (canaries map[shelfshelf.TargetName]bool, probability float64) {
	share := b.shareNow(rollout)
	if len(newTargets) == 0 || share <= 0 {
		return nil, 0
	}
	targetLoad := trialLoadFactor * (1 - share) / float64(max(old, 1))
	count := min(max(int(math.Round(share/targetLoad)), 1), len(newTargets))
	duty := min(share/float64(count)/targetLoad, 1)
	rotation, inBurst := rotationAt(rollout.Age, (len(newTargets)+count-1)/count)
	if !inBurst(duty) {
		return nil, 0
	}
	ordered := slices.Clone(newTargets)
	slices.SortFunc(ordered, func(x, y shelfshelf.Target) int { return cmp.Compare(targetRank(x, rollout), targetRank(y, rollout)) })
	canaries = make(map[shelfshelf.TargetName]bool, count)
	for i := range count {
		canaries[ordered[(rotation*count+i)%len(ordered)].Name] = true
	}
	return canaries, min(burstOvercommit*share/duty, 1)
}

// rotationAt returns the number of the current rotation and a function that reports whether its burst is
// running, given the fraction of the rotation that the burst lasts (duty). One round over all targets
// takes the given number of rotations; those of the first round are shorter.
func rotationAt(age time.Duration, round int) (rotation int, inBurst func(duty float64) bool) {
	length, first := firstRotationInterval, 0
	if late := age - time.Duration(round)*firstRotationInterval; late >= 0 {
		age, length, first = late, rotationInterval, round
	}
	return first + int(age/length), func(duty float64) bool {
		return float64(age%length) < duty*float64(length)
	}
}

// targetRank orders the new targets in the same way on all instances.
func targetRank(target shelfshelf.Target, rollout shelfshelf.Rollout) uint64 {
	return xxhash.Sum64String(string(target.Name) + "/" + string(rollout.Version))
}

// trialQuota counts the requests and trials of one instance since it learnt of a rollout.
type trialQuota struct {
	// offset is drawn uniformly from 0 to 1 when the instance learns of the rollout, which makes the
	// rounding right on average. If each of 85 instances with a few requests sent its first one, that
	// would be 85 trials too many; if each waited for a whole one, it would be 42 too few. Restarted
	// instances draw again, so this holds for them too.
	offset float64
	// since is the rollout's age at which the instance learnt of it.
	since time.Duration
	// extra is how many additional trials were allowed while the version was in doubt.
	extra  float64
	sent   int
	trials int
}

// allowsTrial reports whether one more request may try the new version.
func (q *trialQuota) allowsTrial(share, extraTrials float64) bool {
	return math.Floor(share*float64(q.sent)+q.offset+extraTrials) > float64(q.trials)
}

// moveShare returns the fraction of the requests that goes to the new version during a move of the
// given length.
func moveShare(rollout shelfshelf.Rollout, length time.Duration) float64 {
	if length <= 0 || rollout.MovingFor > length {
		return 1
	}
	return min(float64(rollout.MovingFor)/(rampFraction*float64(length)), 1)
}

// moveTime returns how long before the deadline the move should start. All that the new version gets by
// the deadline has to stay within the bounds, whenever it turns bad. counted is the time over which the
// requests were counted. It is shorter than the rollout's age if all instances have restarted; dividing
// by the age then gave half of the true rate, and the move started so early that 300 of 2,340 requests
// went to the new version while 284 were allowed.
func (b Bounds) moveTime(rollout shelfshelf.Rollout, sent SentCounts, counted time.Duration) time.Duration {
	if counted <= 0 || sent.All == 0 {
		return 0
	}
	rate := float64(sent.All) / float64(counted)
	expected := float64(sent.All) + rate*float64(max(rollout.Period-rollout.Age, 0))
	budget := exposureFraction*b.Share*expected + slackFraction*b.Slack - float64(sent.New)
	return min(time.Duration(max(budget, 0)/rate/rampCost), maxMoveTime)
}

// estimatedMoveTime is the length of the move as assumed by an instance that doesn't know the counts of
// all others.
func (b Bounds) estimatedMoveTime(rollout shelfshelf.Rollout) time.Duration {
	return min(time.Duration((exposureFraction-trialFraction)*b.Share*float64(rollout.Period)), maxMoveTime)
}

// SentCounts counts the requests sent to a pool since a rollout was ordered, and those of them sent to the
// new version.
type SentCounts struct {
	All uint64
	New uint64
}
