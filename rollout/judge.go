package rollout

import (
	"math"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// falseRollbackProbability is the probability of rolling back a good version, over all tests of one
	// rollout.
	falseRollbackProbability = 0.001
	// minBadTargets and badTargetFraction are how many of the tried targets must show evidence against
	// the version, as far as it has that many. One crashed, failing or slow machine doesn't make a bad
	// version, and if 0.15 of all targets fail on their own, 3 or more of 6 tried targets do once in 21
	// times (binomial). The evidence of one target is capped at its share of the limit.
	minBadTargets     = 4
	badTargetFraction = 0.7
	// failingTargetFraction is the same for failures: fewer machines fail on their own than are slow on
	// their own.
	failingTargetFraction = 0.55
	// contaminationFraction is the fraction of targets that may be bad on their own, whatever they run,
	// in one way of combining the evidence: each target's likelihood ratio is taken against a good
	// version with that many bad targets (contamination model: Huber 1965, Ann. Math. Statist. 36), so
	// no target counts for more than 1.2. This finds faults that show in few answers each of many
	// targets. contaminationMargin is the factor by which the best of the alternatives considered may
	// fall short of the best of all.
	contaminationFraction = 0.2
	contaminationMargin   = 1.5
	// unaffectedFraction is the fraction of a bad version's targets that may show no fault. For
	// example, a machine that is three times as fast hides a version that is three times slower.
	// Without it, one such target would outweigh ten others.
	unaffectedFraction = 0.2
	// minTargetsUncapped is the number of targets from which their evidence may count without a cap. If
	// 0.15 of all targets are bad on their own, more than 11 bad ones of 30, which would triple the
	// odds of the old ones, occur once in 1,200 times (binomial).
	minTargetsUncapped = 30
	// maxFailedAnswers and maxSlowAnswers limit how many bad answers a new version may have in total if
	// their rate is also at least excessRateRatio times that of the old version, without the targets
	// that have the highest rates. The operator's time limit for a rollback runs from the fiftieth bad
	// answer, and one in four slow answers isn't counted as slow.
	maxFailedAnswers = 28
	maxSlowAnswers   = 35
	excessRateRatio  = 3.0
	// minTrials is the number of answers of the new version that are needed to call it good.
	minTrials = 25
	// doubtThreshold is the evidence, the logarithm of a likelihood ratio, from which a version can't
	// be called good yet.
	doubtThreshold = 3.0
)

// Verdict is the result of comparing a new version with the old one.
type Verdict struct {
	// Bad reports that the new version is worse than the old one beyond chance; Reason names the criterion
	// and route.
	Bad    bool
	Reason string
	// Good reports that there are enough answers and no evidence against the version.
	Good bool
	// Trials counts the answers of the new version and Failed those that failed; Old and OldFailed are
	// the same for the other versions.
	Trials, Failed uint64
	Old, OldFailed uint64
	// SlowdownFactor is the ratio of the new version's time to first answer to the old version's, as the
	// geometric mean over the tried targets; 0 if unknown.
	SlowdownFactor float64
	// Evidence is the strongest evidence against the version, on a logarithmic scale; the version is bad
	// if it reaches Limit.
	Evidence float64
	Limit    float64
}

const (
	// minOldAnswers is how many answers of old targets an interval should contain next to those of the
	// new ones; with fewer it tells little. An interval is closed after maxIntervalRounds in any case.
	minOldAnswers     = 40
	maxIntervalRounds = 5
)

// Judge compares a new version with the old one over the same time intervals. The zero value is ready
// to use.
type Judge struct {
	// Targets is the number of targets of the new version and OldTargets that of the others. Moving
	// reports that traffic is being shifted to the new version.
	Targets    int
	OldTargets int
	Moving     bool

	round int
	// openIntervals are still being filled; closedIntervals have their ratios computed.
	openIntervals   map[shelfshelf.RouteName]*interval
	closedIntervals map[shelfshelf.RouteName][]*interval
	// foldedRatios are the summed ratios of intervals older than those kept, by target and criterion.
	foldedRatios map[shelfshelf.RouteName]map[shelfshelf.TargetName][][]float64
	// baseline holds the old version's answers so far.
	baseline map[shelfshelf.RouteName]*ResultCounts
	// tallies count the answers of both versions by route and criterion.
	tallies map[shelfshelf.RouteName]*tally
	total   Verdict
}

// Add adds the counts of one round.
func (j *Judge) Add(increments map[CellKey]*ResultCounts) {
	if j.closedIntervals == nil {
		j.closedIntervals = make(map[shelfshelf.RouteName][]*interval)
		j.openIntervals = make(map[shelfshelf.RouteName]*interval)
		j.baseline = make(map[shelfshelf.RouteName]*ResultCounts)
		j.foldedRatios = make(map[shelfshelf.RouteName]map[shelfshelf.TargetName][][]float64)
		j.tallies = make(map[shelfshelf.RouteName]*tally)
	}
	j.round++
	rounds := make(map[shelfshelf.RouteName]*interval)
	for name, cell := range increments {
		// Which requests try the new version doesn't depend on their route, so all routes can also be
		// tested together as one.
		for _, route := range []shelfshelf.RouteName{name.Route, allRoutes} {
			if rounds[route] == nil {
				rounds[route] = newInterval(j.round, j.Moving)
			}
			rounds[route].addCell(name.Target, cell)
		}
		if name.Target == "" {
			j.total.Old += cell.Answers
			j.total.OldFailed += cell.Failed
			continue
		}
		j.total.Trials += cell.Answers
		j.total.Failed += cell.Failed
	}
	for route, round := range rounds {
		j.openInterval(route).merge(round)
		j.addToTally(route, round)
	}
	for route, s := range j.openIntervals {
		if s.hasEnoughAnswers() || j.round-s.number >= maxIntervalRounds {
			j.closeInterval(route, s)
		}
	}
}

// openInterval returns the open interval of a route and creates it if needed.
func (j *Judge) openInterval(route shelfshelf.RouteName) *interval {
	s := j.openIntervals[route]
	if s == nil {
		s = newInterval(j.round, j.Moving)
		j.openIntervals[route] = s
	}
	return s
}

// addToTally adds the answers of one round to the totals of a route.
func (j *Judge) addToTally(route shelfshelf.RouteName, round *interval) {
	if j.baseline[route] == nil {
		return
	}
	if j.tallies[route] == nil {
		j.tallies[route] = newTally()
	}
	j.tallies[route].add(round, j.baseline[route])
}

// closeInterval computes the ratios of an interval and closes it.
func (j *Judge) closeInterval(route shelfshelf.RouteName, s *interval) {
	delete(j.openIntervals, route)
	if j.baseline[route] == nil {
		j.baseline[route] = &ResultCounts{}
	}
	if len(s.newTargets) > 0 {
		s.computeRatios(j.baseline[route])
		j.closedIntervals[route] = append(j.closedIntervals[route], s)
	}
	j.baseline[route].add(&s.old)
	j.foldIntervals(route)
}

// foldIntervals sums up intervals that only the unbounded window still needs, so that a rollout of
// hours takes no more memory than one of seconds.
func (j *Judge) foldIntervals(route shelfshelf.RouteName) {
	intervals := j.closedIntervals[route]
	for len(intervals) > 0 && j.round-intervals[0].number >= longestFiniteWindow {
		if j.foldedRatios[route] == nil {
			j.foldedRatios[route] = make(map[shelfshelf.TargetName][][]float64)
		}
		for name, ratios := range intervals[0].ratios {
			if j.foldedRatios[route][name] == nil {
				j.foldedRatios[route][name] = make([][]float64, len(criteria))
			}
			for c := range criteria {
				if len(ratios[c]) > 0 {
					j.foldedRatios[route][name][c] = addTransformed(j.foldedRatios[route][name][c], ratios[c], func(ratio float64) float64 { return ratio })
				}
			}
		}
		intervals = intervals[1:]
	}
	j.closedIntervals[route] = intervals
}

// Verdict evaluates everything counted so far.
func (j *Judge) Verdict() Verdict {
	verdict := j.total
	verdict.SlowdownFactor = j.slowdownFactor()
	verdict.Limit = j.limit(allRoutes)
	verdict.Evidence = math.Inf(-1)
	for _, window := range windows {
		for i, c := range criteria {
			for route := range j.closedIntervals {
				// Subtracts the difference between the limits of this route and of all routes together,
				// so that the result can be compared with a single limit.
				limit := j.limit(route)
				verdict.consider(j.evidence(i, route, window, limit)-limit+verdict.Limit, c.name+" on "+string(route))
			}
		}
	}
	if why := j.excessiveCriterion(); why != "" {
		verdict.Evidence, verdict.Reason = verdict.Limit, why
	}
	verdict.Bad = verdict.Evidence >= verdict.Limit
	verdict.Good = !verdict.Bad && !verdict.Doubted() && verdict.Trials >= minTrials
	return verdict
}

// limit returns the evidence on a route from which a version is bad. Half of the permitted error
// probability goes to the test of all routes together, where most faults show; the rest is divided
// evenly among the single routes.
func (j *Judge) limit(route shelfshelf.RouteName) float64 {
	tests := 2 * combinationCount * len(criteria) * len(windows)
	if route != allRoutes {
		tests *= max(len(j.closedIntervals)-1, 1)
	}
	return math.Log(float64(tests) / falseRollbackProbability)
}

// slowdownDeviations returns by how many standard deviations the tried targets are slower on a route
// than those of a good version may be.
func (j *Judge) slowdownDeviations(criterion int, route shelfshelf.RouteName) float64 {
	counts := j.tallies[route]
	if counts == nil || criteria[criterion].histogram == nil {
		return 0
	}
	return slowdownDeviations(counts.triedTargets(criterion), criteria[criterion].histogram(j.baseline[route]), j.OldTargets)
}

// slowdownFactor returns the ratio of the tried targets' time to first answer to that of the old ones.
func (j *Judge) slowdownFactor() float64 {
	counts, baseline := j.tallies[allRoutes], j.baseline[allRoutes]
	if counts == nil || baseline == nil {
		return 0
	}
	slowdown, count := meanSlowdown(counts.triedTargets(firstAnswerIndex), &baseline.FirstAnswerTimes)
	if count == 0 {
		return 0
	}
	return math.Exp(slowdown)
}

// excessiveCriterion returns the criterion by which the new version has had too many bad answers; empty
// if there is none.
func (j *Judge) excessiveCriterion() string {
	for route, counts := range j.tallies {
		for i, c := range criteria {
			if counts.excessive(i) && (c.histogram == nil || j.slowdownDeviations(i, route) >= minExcessDeviations) {
				return "too many: " + c.name + " on " + string(route)
			}
		}
	}
	return ""
}

// Doubted reports that there is evidence against the version, but not enough for a rollback.
func (v *Verdict) Doubted() bool { return !v.Bad && v.Evidence >= doubtThreshold }

func (v *Verdict) consider(against float64, what string) {
	if against > v.Evidence {
		v.Evidence, v.Reason = against, what
	}
}
