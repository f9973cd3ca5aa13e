package rollout

import "math"

const (
	// mostShift is how much longer a good version's targets may take on the mean, as a logarithm:
	// they run a little more at once, while old ones that are fast get more than their part.
	mostShift = 0.3
	// leastTimes is how many times of a target tell its mean.
	leastTimes = 2
	// outlier bounds what one target's mean counts for, in deviations of single old answers: one
	// that stands still is no version.
	outlier = 3
	// dueDeviations is how far beyond mostShift a version is that has had too many slow answers
	// to be tried on.
	dueDeviations = 2.8
)

// step is the logarithm of the ratio between two steps of a histogram.
const step = math.Ln2 / stepsPerDouble

// moments returns the mean and the variance of the logarithms of the times, and their number.
func (h *Histogram) moments() (mean, variance float64, all uint64) {
	var sum, squares float64
	for i, count := range h {
		all += count
		sum += float64(i) * step * float64(count)
		squares += float64(i) * step * float64(i) * step * float64(count)
	}
	if all == 0 {
		return 0, 0, 0
	}
	mean = sum / float64(all)
	return mean, squares/float64(all) - mean*mean, all
}

// shift returns by how many deviations the new version's targets are slower, on the mean, than a
// good version's may be. Targets differ in speed, and what differs between the answers of old ones
// bounds by how much, so that the means of as many targets as were tried, and of the old ones,
// tell a version that is some times slower from a few slow machines: with 9 tried of 18 beside 18
// old ones one that takes three times as long is five deviations off.
func shift(tried []part, usual *Histogram, oldTargets int) float64 {
	_, variance, all := usual.moments()
	if all < leastUsual || variance <= 0 {
		return 0
	}
	longer, count := slower(tried, usual)
	if count < leastBad {
		return 0
	}
	spread := math.Sqrt(variance * (1/float64(count) + 1/float64(max(oldTargets, 1))))
	return (longer - mostShift) / spread
}

// slower returns how much longer the tried targets take than the old ones on the mean, as a
// logarithm, and how many of them tell it.
func slower(tried []part, usual *Histogram) (longer float64, count int) {
	mean, variance, _ := usual.moments()
	most := outlier * math.Sqrt(variance)
	sum := 0.0
	for _, target := range tried {
		own, _, times := target.times.moments()
		if times < leastTimes {
			continue
		}
		sum += min(max(own-mean, -most), most)
		count++
	}
	if count == 0 {
		return 0, 0
	}
	return sum / float64(count), count
}

// surprise returns the negative logarithm of the chance that a normal deviate is so large.
func surprise(deviations float64) float64 {
	if deviations <= 0 {
		return 0
	}
	return -math.Log(0.5 * math.Erfc(deviations/math.Sqrt2))
}
