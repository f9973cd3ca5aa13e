package rollout

import (
	"cmp"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// tally is what both versions have had on a route since an order, by mark.
type tally struct {
	fresh map[shelfshelf.TargetName][]part
	old   []part
}

// part is how many answers of some are marked, and their times if the mark is by these.
type part struct {
	marked, all uint64
	times       Histogram
}

func (p *part) add(marked, all uint64) {
	p.marked += marked
	p.all += all
}

// rate is the marked part of the answers; 0 of none.
func (p part) rate() float64 {
	if p.all == 0 {
		return 0
	}
	return float64(p.marked) / float64(p.all)
}

func newTally() *tally {
	return &tally{fresh: make(map[shelfshelf.TargetName][]part), old: make([]part, len(marks))}
}

// add adds one round's answers, but for times while the new version takes over, which go with the load.
func (t *tally) add(s *stretch, usual *Cell) {
	for i, m := range marks {
		if s.moving && m.times != nil {
			continue
		}
		marked, all, known := m.of(&s.old, usual)
		if !known {
			continue
		}
		t.old[i].add(marked, all)
		for name, cell := range s.fresh {
			if t.fresh[name] == nil {
				t.fresh[name] = make([]part, len(marks))
			}
			of := &t.fresh[name][i]
			marked, all, _ := m.of(cell, usual)
			of.add(marked, all)
			if m.times != nil {
				of.times.add(m.times(cell))
			}
		}
	}
}

// tried returns what each tried target has had of a mark.
func (t *tally) tried(mark int) []part {
	var tried []part
	for _, of := range t.fresh {
		if of[mark].all > 0 {
			tried = append(tried, of[mark])
		}
	}
	return tried
}

// marked returns how many answers of the new version have a mark.
func (t *tally) marked(mark int) uint64 {
	sum := uint64(0)
	for _, of := range t.fresh {
		sum += of[mark].marked
	}
	return sum
}

// tooMany reports that the new version has had too many answers with a mark, not only at those
// of its targets that have most of them: as many as may be bad by themselves are left out.
func (t *tally) tooMany(mark int) bool {
	if t.marked(mark) < marks[mark].most {
		return false
	}
	tried := t.tried(mark)
	slices.SortFunc(tried, func(a, b part) int { return cmp.Compare(a.rate(), b.rate()) })
	var kept part
	for _, p := range tried[:max(int(badPart*float64(len(tried))), 1)] {
		kept.add(p.marked, p.all)
	}
	return kept.rate() >= mostTimes*t.old[mark].rate()
}
