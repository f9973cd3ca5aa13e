package rollout

const (
	// failNullOdds is the odds ratio of failures, new version to old, that a good version may have: its
	// targets are new, and a few of them stand for all.
	failNullOdds = 1.5
	// slowNullOdds is the same for slow answers: targets of one version differ in speed by a factor of
	// up to five, and only a few of them are tried.
	slowNullOdds = 4.0
	// strictFailNullOdds and strictSlowNullOdds apply where the tried targets that fail most, or are
	// slowest, are left out: the remaining ones should be no worse than the old version.
	strictFailNullOdds = 1.0
	strictSlowNullOdds = 2.0
	// slowFraction is the fraction of the old version's answers that count as slow: its slowest ones up
	// to the start of the interval.
	slowFraction = 0.1
	// minBaselineAnswers is how many answers of old targets are needed to determine which answers are
	// slow.
	minBaselineAnswers = 30
)

// failAlternatives and slowAlternatives are the odds ratios that a bad version may have; they have
// equal weight.
var (
	failAlternatives = []float64{4, 10, 30, 150}
	slowAlternatives = []float64{12, 60, 300}
	// strictSlowAlternatives are lower: the fast targets of a version that is three times slower give
	// few slow answers.
	strictSlowAlternatives = []float64{6, 20, 100}
)

// oddsRatios are the odds ratio of bad answers that a good version may have (null hypothesis), and
// those that are tested against it (alternatives).
type oddsRatios struct {
	nullOdds     float64
	alternatives []float64
	// moveNullOdds and minMoveAlternative are the null odds ratio and the lowest alternative during the
	// move: the last answers of the old targets come from the slowest of them, and then there are none.
	moveNullOdds       float64
	minMoveAlternative float64
}

// criterion defines which answers of a cell count as bad, given the earlier answers of the old version.
type criterion struct {
	name string
	// lenient applies to all tried targets. strict applies to ways of combining the evidence that leave
	// out the worst targets or give them little weight.
	lenient, strict oddsRatios
	// maxBad limits the total number of bad answers, see maxFailedAnswers.
	maxBad uint64
	// histogram returns the times that the criterion is based on; nil if it isn't based on times.
	histogram func(cell *ResultCounts) *Histogram
	// count returns the number of bad answers and of all; known is false if it can't be determined yet.
	count func(cell, baseline *ResultCounts) (bad, all uint64, known bool)
}

var (
	lenientSlowOdds = oddsRatios{nullOdds: slowNullOdds, alternatives: slowAlternatives, moveNullOdds: 20, minMoveAlternative: 100}
	strictSlowOdds  = oddsRatios{nullOdds: strictSlowNullOdds, alternatives: strictSlowAlternatives, moveNullOdds: 20, minMoveAlternative: 100}
)

// firstAnswerIndex is the index of the criterion "first answers" in criteria.
const firstAnswerIndex = 1

var criteria = []criterion{
	{
		name:    "failures",
		maxBad:  maxFailedAnswers,
		lenient: oddsRatios{nullOdds: failNullOdds, alternatives: failAlternatives, moveNullOdds: 5, minMoveAlternative: 30},
		strict:  oddsRatios{nullOdds: strictFailNullOdds, alternatives: failAlternatives, moveNullOdds: 2, minMoveAlternative: 10},
		count:   func(cell, _ *ResultCounts) (uint64, uint64, bool) { return cell.Failed, cell.Answers, true },
	},
	slowCriterion("first answers", func(cell *ResultCounts) *Histogram { return &cell.FirstAnswerTimes }),
	slowCriterion("pace", func(cell *ResultCounts) *Histogram { return &cell.TokenTimes }),
}

// slowCriterion counts answers that are slow by the times of a histogram.
func slowCriterion(name string, times func(cell *ResultCounts) *Histogram) criterion {
	return criterion{
		name: name, lenient: lenientSlowOdds, strict: strictSlowOdds, maxBad: maxSlowAnswers, histogram: times,
		count: func(cell, baseline *ResultCounts) (uint64, uint64, bool) {
			return countSlow(times(cell), times(baseline))
		},
	}
}

// countSlow counts the times beyond the slowest usual ones of the baseline.
func countSlow(times, baseline *Histogram) (bad, all uint64, known bool) {
	_, total := baseline.above(-1)
	if total < minBaselineAnswers {
		return 0, 0, false
	}
	limit := bucketCount - 1
	for bucket := range bucketCount {
		if above, _ := baseline.above(bucket); float64(above) <= slowFraction*float64(total) {
			limit = bucket
			break
		}
	}
	bad, all = times.above(limit)
	return bad, all, true
}
