package rollout

const (
	// failBase is how many times the old version's odds of failing a good version may have:
	// its targets are new, and a few of them stand for all.
	failBase = 1.5
	// slowBase is the same for being slow: targets of one version differ in speed by a
	// factor of up to five, and a few of them are tried.
	slowBase = 4.0
	// narrowFailBase and narrowSlowBase are the same where those of the tried targets that fail
	// most, or are slowest, are left out: the others stand for no worse a version than the old one.
	narrowFailBase = 1.0
	narrowSlowBase = 2.0
	// slowShare is the part of the old version's answers that count as slow: the slowest
	// ones, by what was seen until before.
	slowShare = 0.1
	// leastUsual is how many answers of old targets tell what is slow.
	leastUsual = 30
)

// failFactors and slowFactors are how many times the old version's odds a bad one may have;
// they are weighed alike.
var (
	failFactors = []float64{4, 10, 30, 150}
	slowFactors = []float64{12, 60, 300}
	// narrowSlowFactors are lower: of a version three times slower the fast targets have few slow
	// answers.
	narrowSlowFactors = []float64{6, 20, 100}
)

// odds are how many times the old version's odds of a mark a good version may have, and those that
// are weighed against it.
type odds struct {
	base    float64
	factors []float64
	// moveBase and moveFactor are base and least factor while the new version takes over: the
	// old targets' last answers come from the slowest of them, and then there are none.
	moveBase   float64
	moveFactor float64
}

// mark tells which answers of a cell count, given the old version's answers of before.
type mark struct {
	name string
	// wide is for all tried targets, narrow for ways of weighing in which those that have most
	// marks are left out or count little.
	wide, narrow odds
	// most is how many answers with it there may be at all.
	most uint64
	// times returns the times that it goes by; nil if it goes by none.
	times func(cell *Cell) *Histogram
	// of returns the marked answers and all; false if it can't be told yet.
	of func(cell, usual *Cell) (marked, all uint64, known bool)
}

var (
	slowOdds       = odds{base: slowBase, factors: slowFactors, moveBase: 20, moveFactor: 100}
	narrowSlowOdds = odds{base: narrowSlowBase, factors: narrowSlowFactors, moveBase: 20, moveFactor: 100}
)

// firstAnswers is the place of that mark.
const firstAnswers = 1

var marks = []mark{
	{
		name:   "failures",
		most:   mostFailed,
		wide:   odds{base: failBase, factors: failFactors, moveBase: 5, moveFactor: 30},
		narrow: odds{base: narrowFailBase, factors: failFactors, moveBase: 2, moveFactor: 10},
		of:     func(cell, _ *Cell) (uint64, uint64, bool) { return cell.Failed, cell.Answers, true },
	},
	slowMark("first answers", func(cell *Cell) *Histogram { return &cell.First }),
	slowMark("pace", func(cell *Cell) *Histogram { return &cell.Pace }),
}

// slowMark tells which answers are slow by their times.
func slowMark(name string, times func(cell *Cell) *Histogram) mark {
	return mark{
		name: name, wide: slowOdds, narrow: narrowSlowOdds, most: mostSlow, times: times,
		of: func(cell, usual *Cell) (uint64, uint64, bool) { return slow(times(cell), times(usual)) },
	}
}

// slow counts the times beyond the slowest usual ones.
func slow(times, usual *Histogram) (marked, all uint64, known bool) {
	_, total := usual.above(-1)
	if total < leastUsual {
		return 0, 0, false
	}
	limit := steps - 1
	for step := range steps {
		if above, _ := usual.above(step); float64(above) <= slowShare*float64(total) {
			limit = step
			break
		}
	}
	marked, all = times.above(limit)
	return marked, all, true
}
