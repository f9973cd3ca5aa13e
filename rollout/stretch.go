package rollout

import (
	"math"

	"github.com/shelfshelf/shelfshelf"
)

// allRoutes stands for all routes of a pool together.
const allRoutes = shelfshelf.RouteName("all routes")

// windows are the last spans that are looked at beside the whole, in stretches: a version may
// turn bad late, and the targets tried before say nothing then.
var windows = []int{10, longestWindow, math.MaxInt}

// longestWindow is the longest of them but for the whole.
const longestWindow = 27

// stretch is one stretch of time on one route.
type stretch struct {
	number int
	moving bool
	old    Cell
	fresh  map[shelfshelf.TargetName]*Cell
	// ratios are the logarithms of the likelihood ratios of each new target by mark and
	// factor; nil for a mark that tells nothing.
	ratios map[shelfshelf.TargetName][][]float64
}

func newStretch(number int, moving bool) *stretch {
	return &stretch{number: number, moving: moving, fresh: make(map[shelfshelf.TargetName]*Cell)}
}

// join adds the answers of a later one.
func (s *stretch) join(later *stretch) {
	s.old.add(&later.old)
	for target, cell := range later.fresh {
		s.take(target, cell)
	}
}

func (s *stretch) take(target shelfshelf.TargetName, cell *Cell) {
	if target == "" {
		s.old.add(cell)
		return
	}
	if s.fresh[target] == nil {
		s.fresh[target] = &Cell{}
	}
	s.fresh[target].add(cell)
}

// told reports that a stretch has answers enough: of old targets, or of new ones alone while nearly
// all go there.
func (s *stretch) told() bool {
	answers := s.old.Answers
	if s.moving {
		for _, cell := range s.fresh {
			answers += cell.Answers
		}
	}
	return answers >= leastBeside
}

// weigh computes a stretch's ratios, given the old version's answers of before.
func (s *stretch) weigh(usual *Cell) {
	s.ratios = make(map[shelfshelf.TargetName][][]float64, len(s.fresh))
	for name, cell := range s.fresh {
		ratios := make([][]float64, len(marks))
		for i, m := range marks {
			if table, known := s.table(m, cell, usual); known {
				ratios[i] = s.ratiosOf(m, table)
			}
		}
		s.ratios[name] = ratios
	}
}

// ratiosOf returns a mark's ratios: by factor against its wide base, then against its narrow one.
func (s *stretch) ratiosOf(m mark, table count) []float64 {
	return append(s.against(m.wide, table), s.against(m.narrow, table)...)
}

// against returns the ratios of each factor against the base.
func (s *stretch) against(odds odds, table count) []float64 {
	ratios := make([]float64, len(odds.factors))
	for i, factor := range odds.factors {
		base := odds.base
		if s.moving {
			factor, base = max(factor, odds.moveFactor), odds.moveBase
		}
		ratios[i] = table.logRatio(factor, base)
	}
	return ratios
}

// table counts a stretch's answers of one new target and of the old ones.
func (s *stretch) table(m mark, fresh, usual *Cell) (count, bool) {
	beside := &s.old
	if s.moving && beside.Answers < leastBeside {
		// Nearly all go to the new version by now: the old one's answers of before have to do.
		beside = usual
	}
	var c count
	var known bool
	if c.oldMarked, c.oldAll, known = m.of(beside, usual); !known {
		return c, false
	}
	c.newMarked, c.newAll, _ = m.of(fresh, usual)
	return c, true
}
