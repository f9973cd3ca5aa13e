package rollout

import (
	"math"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// against returns the evidence of one mark on one route in the last stretches: the logarithm of
// the mean, over the factors, of the likelihood ratios of all targets, by the way of weighing
// them that says most.
func (j *Judge) against(m int, route shelfshelf.RouteName, window int, limit float64) float64 {
	targets := j.targetsOf(m, route, window)
	wide, narrow := parted(targets, len(marks[m].wide.factors))
	capped := j.capped(narrow, limit, failedPart)
	if marks[m].times != nil {
		capped = j.capped(wide, limit, badPart)
	}
	against := max(capped, strayed(wide), j.trimmed(narrow, limit))
	if len(targets) >= leastMany {
		against = max(against, plain(wide))
	}
	if window > longestWindow {
		against = max(against, surprise(j.shift(m, route)))
	}
	return against
}

// targetsOf returns the ratios of a mark by target on a route in the last stretches.
func (j *Judge) targetsOf(m int, route shelfshelf.RouteName, window int) map[shelfshelf.TargetName][]float64 {
	targets := make(map[shelfshelf.TargetName][]float64)
	j.sumRatios(m, j.routes[route], window, targets)
	if window > longestWindow {
		for name, ratios := range j.past[route] {
			targets[name] = addTo(targets[name], ratios[m], func(ratio float64) float64 { return ratio })
		}
	}
	return targets
}

// parted parts each target's ratios into those of all tried targets and those of what is left
// without the worst.
func parted(targets map[shelfshelf.TargetName][]float64, wides int) (wide, narrow map[shelfshelf.TargetName][]float64) {
	wide, narrow = make(map[shelfshelf.TargetName][]float64), make(map[shelfshelf.TargetName][]float64)
	for name, ratios := range targets {
		wide[name], narrow[name] = ratios[:min(wides, len(ratios))], ratios[min(wides, len(ratios)):]
	}
	return wide, narrow
}

// ways is how many ways of weighing a mark's targets there are.
const ways = 5

// trimmed leaves the targets out that speak most against a version, as many as may be bad by
// themselves, and counts what the others say.
func (j *Judge) trimmed(targets map[shelfshelf.TargetName][]float64, limit float64) float64 {
	kept := int(badPart * float64(len(targets)))
	if kept < leastBad {
		return 0
	}
	most := limit / leastBad
	var sums []float64
	for factor := range factorsOf(targets) {
		var ratios []float64
		for _, target := range targets {
			if factor < len(target) {
				ratios = append(ratios, min(spared(target[factor]), most))
			}
		}
		slices.Sort(ratios)
		sum := 0.0
		for _, ratio := range ratios[:min(kept, len(ratios))] {
			sum += ratio
		}
		sums = append(sums, sum)
	}
	return logMean(sums)
}

// factorsOf returns how many factors the targets' ratios are of.
func factorsOf(targets map[shelfshelf.TargetName][]float64) int {
	most := 0
	for _, target := range targets {
		most = max(most, len(target))
	}
	return most
}

// capped weighs targets, none of which counts for more than its part of the limit.
func (j *Judge) capped(targets map[shelfshelf.TargetName][]float64, limit, part float64) float64 {
	needed := max(leastBad, int(math.Ceil(part*float64(len(targets)))))
	most := limit / float64(min(needed, max(j.Targets, 1)))
	var sums []float64
	for _, target := range targets {
		sums = addTo(sums, target, func(ratio float64) float64 { return min(spared(ratio), most) })
	}
	return logMean(sums)
}

// strayed weighs targets against a good version of which a part is bad by itself.
func strayed(targets map[shelfshelf.TargetName][]float64) float64 {
	var sums []float64
	for _, target := range targets {
		if len(target) == 0 {
			continue
		}
		best := math.Exp(max(slices.Max(target), 0))
		stray := math.Log(1 - strayPart + strayPart*strayMargin*best)
		sums = addTo(sums, target, func(ratio float64) float64 { return spared(ratio) - stray })
	}
	return logMean(sums)
}

// plain weighs so many targets that those bad by themselves make up an even part of them.
func plain(targets map[shelfshelf.TargetName][]float64) float64 {
	var sums []float64
	for _, target := range targets {
		sums = addTo(sums, target, func(ratio float64) float64 { return ratio })
	}
	return logMean(sums)
}

// spared weighs a target of a version some of whose targets show nothing.
func spared(ratio float64) float64 {
	if ratio > 0 {
		return ratio + math.Log(1-sparedPart+sparedPart*math.Exp(-ratio))
	}
	return math.Log((1-sparedPart)*math.Exp(ratio) + sparedPart)
}

// addTo adds a target's ratios to sums by factor.
func addTo(sums, ratios []float64, change func(float64) float64) []float64 {
	if len(sums) == 0 {
		sums = make([]float64, len(ratios))
	}
	for i, ratio := range ratios {
		sums[i] += change(ratio)
	}
	return sums
}

// logMean returns the logarithm of the mean of what the logarithms stand for.
func logMean(logs []float64) float64 {
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

// sumRatios adds up a mark's ratios by target and factor over the last stretches.
func (j *Judge) sumRatios(m int, stretches []*stretch, window int, targets map[shelfshelf.TargetName][]float64) {
	for _, s := range slices.Backward(stretches) {
		if j.count-s.number >= window {
			return
		}
		for name, ratios := range s.ratios {
			if targets[name] == nil {
				targets[name] = make([]float64, len(marks[m].wide.factors)+len(marks[m].narrow.factors))
			}
			for i, ratio := range ratios[m] {
				targets[name][i] += ratio
			}
		}
	}
}
