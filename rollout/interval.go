package rollout

import (
	"math"

	"github.com/shelfshelf/shelfshelf"
)

// allRoutes stands for all routes of a pool together.
const allRoutes = shelfshelf.RouteName("all routes")

// windows are the lengths of the time windows that are tested, in rounds. A version may turn bad late,
// and what its targets answered before tells nothing then.
var windows = []int{10, longestFiniteWindow, math.MaxInt}

// longestFiniteWindow is the longest window apart from the unbounded one, in rounds.
const longestFiniteWindow = 27

// interval holds the answers of a time interval on one route.
type interval struct {
	number     int
	moving     bool
	old        ResultCounts
	newTargets map[shelfshelf.TargetName]*ResultCounts
	// ratios are the logarithmic likelihood ratios of each new target by criterion and alternative; nil
	// for a criterion that can't be evaluated.
	ratios map[shelfshelf.TargetName][][]float64
}

func newInterval(number int, moving bool) *interval {
	return &interval{number: number, moving: moving, newTargets: make(map[shelfshelf.TargetName]*ResultCounts)}
}

// merge adds the answers of a later interval.
func (s *interval) merge(later *interval) {
	s.old.add(&later.old)
	for target, cell := range later.newTargets {
		s.addCell(target, cell)
	}
}

func (s *interval) addCell(target shelfshelf.TargetName, cell *ResultCounts) {
	if target == "" {
		s.old.add(cell)
		return
	}
	if s.newTargets[target] == nil {
		s.newTargets[target] = &ResultCounts{}
	}
	s.newTargets[target].add(cell)
}

// hasEnoughAnswers reports whether an interval has enough answers of old targets to be closed. During
// the move the answers of new targets count too, since nearly all requests go there then.
func (s *interval) hasEnoughAnswers() bool {
	answers := s.old.Answers
	if s.moving {
		for _, cell := range s.newTargets {
			answers += cell.Answers
		}
	}
	return answers >= minOldAnswers
}

// computeRatios computes the ratios of an interval, given the old version's earlier answers.
func (s *interval) computeRatios(baseline *ResultCounts) {
	s.ratios = make(map[shelfshelf.TargetName][][]float64, len(s.newTargets))
	for name, cell := range s.newTargets {
		ratios := make([][]float64, len(criteria))
		for i, c := range criteria {
			if table, known := s.tabulate(c, cell, baseline); known {
				ratios[i] = s.criterionRatios(c, table)
			}
		}
		s.ratios[name] = ratios
	}
}

// criterionRatios returns the ratios of a criterion: by alternative against its lenient null
// hypothesis, then against its strict one.
func (s *interval) criterionRatios(c criterion, table contingencyTable) []float64 {
	return append(s.ratiosFor(c.lenient, table), s.ratiosFor(c.strict, table)...)
}

// ratiosFor returns the ratio of each alternative to the null hypothesis.
func (s *interval) ratiosFor(hypotheses oddsRatios, table contingencyTable) []float64 {
	ratios := make([]float64, len(hypotheses.alternatives))
	for i, factor := range hypotheses.alternatives {
		nullOdds := hypotheses.nullOdds
		if s.moving {
			factor, nullOdds = max(factor, hypotheses.minMoveAlternative), hypotheses.moveNullOdds
		}
		ratios[i] = table.logRatio(factor, nullOdds)
	}
	return ratios
}

// tabulate counts the answers of one new target and of the old ones.
func (s *interval) tabulate(c criterion, newCell, baseline *ResultCounts) (contingencyTable, bool) {
	oldCell := &s.old
	if s.moving && oldCell.Answers < minOldAnswers {
		// Nearly all requests go to the new version by now, so the old version's earlier answers are
		// used.
		oldCell = baseline
	}
	var table contingencyTable
	var known bool
	if table.oldBad, table.oldTotal, known = c.count(oldCell, baseline); !known {
		return table, false
	}
	table.newBad, table.newTotal, _ = c.count(newCell, baseline)
	return table, true
}
