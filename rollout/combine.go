package rollout

import (
	"math"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// evidence returns the evidence against the version by one criterion on one route in the last intervals:
// the logarithm of the mean, over the alternatives, of the targets' combined likelihood ratio. Of the
// ways to combine the targets, the one with the strongest evidence counts.
func (j *Judge) evidence(criterion int, route shelfshelf.RouteName, window int, limit float64) float64 {
	targets := j.ratiosByTarget(criterion, route, window)
	lenient, strict := splitRatios(targets, len(criteria[criterion].lenient.alternatives))
	capped := j.cappedEvidence(strict, limit, failingTargetFraction)
	if criteria[criterion].histogram != nil {
		capped = j.cappedEvidence(lenient, limit, badTargetFraction)
	}
	against := max(capped, contaminatedEvidence(lenient), j.trimmedEvidence(strict, limit))
	if len(targets) >= minTargetsUncapped {
		against = max(against, uncappedEvidence(lenient))
	}
	if window > longestFiniteWindow {
		against = max(against, tailEvidence(j.slowdownDeviations(criterion, route)))
	}
	return against
}

// ratiosByTarget returns the log-likelihood ratios of a criterion by target on a route in the last
// intervals.
func (j *Judge) ratiosByTarget(criterion int, route shelfshelf.RouteName, window int) map[shelfshelf.TargetName][]float64 {
	targets := make(map[shelfshelf.TargetName][]float64)
	j.sumRatios(criterion, j.closedIntervals[route], window, targets)
	if window > longestFiniteWindow {
		for name, ratios := range j.foldedRatios[route] {
			targets[name] = addTransformed(targets[name], ratios[criterion], func(ratio float64) float64 { return ratio })
		}
	}
	return targets
}

// splitRatios splits each target's ratios into those against the lenient and the strict null
// hypothesis.
func splitRatios(targets map[shelfshelf.TargetName][]float64, lenientCount int) (lenient, strict map[shelfshelf.TargetName][]float64) {
	lenient, strict = make(map[shelfshelf.TargetName][]float64), make(map[shelfshelf.TargetName][]float64)
	for name, ratios := range targets {
		lenient[name], strict[name] = ratios[:min(lenientCount, len(ratios))], ratios[min(lenientCount, len(ratios)):]
	}
	return lenient, strict
}

// combinationCount is the number of ways to combine the targets of a criterion.
const combinationCount = 5

// trimmedEvidence leaves out the targets with the most evidence against the version, as many as may be
// bad on their own, and combines the others.
func (j *Judge) trimmedEvidence(targets map[shelfshelf.TargetName][]float64, limit float64) float64 {
	kept := int(badTargetFraction * float64(len(targets)))
	if kept < minBadTargets {
		return 0
	}
	maxRatio := limit / minBadTargets
	var sums []float64
	for alternative := range alternativeCount(targets) {
		var ratios []float64
		for _, target := range targets {
			if alternative < len(target) {
				ratios = append(ratios, min(allowUnaffected(target[alternative]), maxRatio))
			}
		}
		slices.Sort(ratios)
		sum := 0.0
		for _, ratio := range ratios[:min(kept, len(ratios))] {
			sum += ratio
		}
		sums = append(sums, sum)
	}
	return logMeanExp(sums)
}

// alternativeCount returns the number of alternatives that the targets' ratios stand for.
func alternativeCount(targets map[shelfshelf.TargetName][]float64) int {
	most := 0
	for _, target := range targets {
		most = max(most, len(target))
	}
	return most
}

// cappedEvidence combines targets, each of which counts for at most its share of the limit: the limit
// divided by the number of targets that must show evidence, which is a fraction of all.
func (j *Judge) cappedEvidence(targets map[shelfshelf.TargetName][]float64, limit, fraction float64) float64 {
	needed := max(minBadTargets, int(math.Ceil(fraction*float64(len(targets)))))
	maxRatio := limit / float64(min(needed, max(j.Targets, 1)))
	var sums []float64
	for _, target := range targets {
		sums = addTransformed(sums, target, func(ratio float64) float64 { return min(allowUnaffected(ratio), maxRatio) })
	}
	return logMeanExp(sums)
}

// contaminatedEvidence tests the targets against a good version of which a fraction is bad on its own.
func contaminatedEvidence(targets map[shelfshelf.TargetName][]float64) float64 {
	var sums []float64
	for _, target := range targets {
		if len(target) == 0 {
			continue
		}
		best := math.Exp(max(slices.Max(target), 0))
		contamination := math.Log(1 - contaminationFraction + contaminationFraction*contaminationMargin*best)
		sums = addTransformed(sums, target, func(ratio float64) float64 { return allowUnaffected(ratio) - contamination })
	}
	return logMeanExp(sums)
}

// uncappedEvidence combines the targets without a cap. It is meant for so many targets that the fraction
// of those bad on their own is near its expected value.
func uncappedEvidence(targets map[shelfshelf.TargetName][]float64) float64 {
	var sums []float64
	for _, target := range targets {
		sums = addTransformed(sums, target, func(ratio float64) float64 { return ratio })
	}
	return logMeanExp(sums)
}

// allowUnaffected adjusts a target's ratio for a bad version some of whose targets show no fault.
func allowUnaffected(ratio float64) float64 {
	if ratio > 0 {
		return ratio + math.Log(1-unaffectedFraction+unaffectedFraction*math.Exp(-ratio))
	}
	return math.Log((1-unaffectedFraction)*math.Exp(ratio) + unaffectedFraction)
}

// addTransformed adds a target's transformed ratios to the sums of each alternative.
func addTransformed(sums, ratios []float64, change func(float64) float64) []float64 {
	if len(sums) == 0 {
		sums = make([]float64, len(ratios))
	}
	for i, ratio := range ratios {
		sums[i] += change(ratio)
	}
	return sums
}

// logMeanExp returns the logarithm of the mean of the exponentials.
func logMeanExp(logs []float64) float64 {
	if len(logs) == 0 {
		return 0
	}
	peak := slices.Max(logs)
	total := 0.0
	for _, l := range logs {
		total += math.Exp(l - peak)
	}
	return peak + math.Log(total/float64(len(logs)))
}

// sumRatios sums up the ratios of a criterion by target and alternative over the last intervals.
func (j *Judge) sumRatios(criterion int, intervals []*interval, window int, targets map[shelfshelf.TargetName][]float64) {
	for _, s := range slices.Backward(intervals) {
		if j.round-s.number >= window {
			return
		}
		for name, ratios := range s.ratios {
			if targets[name] == nil {
				targets[name] = make([]float64, len(criteria[criterion].lenient.alternatives)+len(criteria[criterion].strict.alternatives))
			}
			for i, ratio := range ratios[criterion] {
				targets[name][i] += ratio
			}
		}
	}
}
