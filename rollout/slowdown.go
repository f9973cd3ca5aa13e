package rollout

import "math"

const (
	// maxGoodSlowdown is how much slower a good version's targets may be on average, as the logarithm
	// of a ratio: they run slightly more requests at once, and fast old targets get more than an equal
	// share of requests.
	maxGoodSlowdown = 0.3
	// minTimesPerTarget is how many times of a target are needed for its mean.
	minTimesPerTarget = 2
	// maxTargetDeviations caps the mean of one target, in standard deviations of single old answers:
	// one target that hangs doesn't make a bad version.
	maxTargetDeviations = 3
	// minExcessDeviations is how far beyond maxGoodSlowdown a version with too many slow answers has to
	// be for a rollback.
	minExcessDeviations = 2.8
)

// logBucketWidth is the logarithm of the ratio between two adjacent buckets of a histogram.
const logBucketWidth = math.Ln2 / bucketsPerDoubling

// moments returns the mean and variance of the logarithms of the times, and their number.
func (h *Histogram) moments() (mean, variance float64, all uint64) {
	var sum, squares float64
	for i, count := range h {
		all += count
		sum += float64(i) * logBucketWidth * float64(count)
		squares += float64(i) * logBucketWidth * float64(i) * logBucketWidth * float64(count)
	}
	if all == 0 {
		return 0, 0, 0
	}
	mean = sum / float64(all)
	return mean, squares/float64(all) - mean*mean, all
}

// slowdownDeviations returns by how many standard deviations the new version's targets are slower on
// average than a good version's may be. Targets differ in speed, and the variance between the answers
// of old ones bounds by how much. Averaging over the tried and the old targets therefore separates a
// version that is several times slower from a few slow machines: with 9 of 18 targets tried, against 18
// old ones, a version that takes three times as long is five standard deviations off.
func slowdownDeviations(tried []answerCounts, baseline *Histogram, oldTargets int) float64 {
	_, variance, all := baseline.moments()
	if all < minBaselineAnswers || variance <= 0 {
		return 0
	}
	slowdown, count := meanSlowdown(tried, baseline)
	if count < minBadTargets {
		return 0
	}
	spread := math.Sqrt(variance * (1/float64(count) + 1/float64(max(oldTargets, 1))))
	return (slowdown - maxGoodSlowdown) / spread
}

// meanSlowdown returns how much slower the tried targets are than the old ones on average, as the
// logarithm of a ratio, and the number of targets that this is based on.
func meanSlowdown(tried []answerCounts, baseline *Histogram) (slowdown float64, count int) {
	mean, variance, _ := baseline.moments()
	maxDeviation := maxTargetDeviations * math.Sqrt(variance)
	sum := 0.0
	for _, target := range tried {
		targetMean, _, times := target.times.moments()
		if times < minTimesPerTarget {
			continue
		}
		sum += min(max(targetMean-mean, -maxDeviation), maxDeviation)
		count++
	}
	if count == 0 {
		return 0, 0
	}
	return sum / float64(count), count
}

// tailEvidence returns the negative logarithm of the upper tail probability of the normal distribution.
func tailEvidence(deviations float64) float64 {
	if deviations <= 0 {
		return 0
	}
	return -math.Log(0.5 * math.Erfc(deviations/math.Sqrt2))
}
