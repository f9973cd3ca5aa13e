package rollout

import (
	"cmp"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// tally counts the answers of both versions on a route since the rollout began, by criterion.
type tally struct {
	newTargets map[shelfshelf.TargetName][]answerCounts
	old        []answerCounts
}

// answerCounts holds the number of bad answers and of all, and their times if the criterion is based on
// times.
type answerCounts struct {
	bad, all uint64
	times    Histogram
}

func (a *answerCounts) add(bad, all uint64) {
	a.bad += bad
	a.all += all
}

// rate returns the fraction of bad answers; 0 if there are no answers.
func (a answerCounts) rate() float64 {
	if a.all == 0 {
		return 0
	}
	return float64(a.bad) / float64(a.all)
}

func newTally() *tally {
	return &tally{newTargets: make(map[shelfshelf.TargetName][]answerCounts), old: make([]answerCounts, len(criteria))}
}

// add adds the answers of one round. Times are left out during the move, because they change with the
// load then.
func (t *tally) add(round *interval, baseline *ResultCounts) {
	for i, c := range criteria {
		if round.moving && c.histogram != nil {
			continue
		}
		bad, all, known := c.count(&round.old, baseline)
		if !known {
			continue
		}
		t.old[i].add(bad, all)
		for name, cell := range round.newTargets {
			if t.newTargets[name] == nil {
				t.newTargets[name] = make([]answerCounts, len(criteria))
			}
			counts := &t.newTargets[name][i]
			bad, all, _ := c.count(cell, baseline)
			counts.add(bad, all)
			if c.histogram != nil {
				counts.times.add(c.histogram(cell))
			}
		}
	}
}

// triedTargets returns the counts of each tried target by a criterion.
func (t *tally) triedTargets(criterion int) []answerCounts {
	var tried []answerCounts
	for _, counts := range t.newTargets {
		if counts[criterion].all > 0 {
			tried = append(tried, counts[criterion])
		}
	}
	return tried
}

// badAnswers returns the number of the new version's bad answers by a criterion.
func (t *tally) badAnswers(criterion int) uint64 {
	sum := uint64(0)
	for _, counts := range t.newTargets {
		sum += counts[criterion].bad
	}
	return sum
}

// excessive reports that the new version has had too many bad answers by a criterion, and not only on
// its worst targets: as many targets as may be bad on their own are left out.
func (t *tally) excessive(criterion int) bool {
	if t.badAnswers(criterion) < criteria[criterion].maxBad {
		return false
	}
	tried := t.triedTargets(criterion)
	slices.SortFunc(tried, func(a, b answerCounts) int { return cmp.Compare(a.rate(), b.rate()) })
	var kept answerCounts
	for _, counts := range tried[:max(int(badTargetFraction*float64(len(tried))), 1)] {
		kept.add(counts.bad, counts.all)
	}
	return kept.rate() >= excessRateRatio*t.old[criterion].rate()
}
