package schedule

import "github.com/shelfshelf/shelfshelf"

const leastLoadedUsage = "baseline: every request at once to the engine whose latest report shows least work"

func newLeastLoaded(Config) shelfshelf.Policy {
	return newDirect((*direct).pickLeastLoaded)
}

func (d *direct) pickLeastLoaded(eligible []shelfshelf.Target) shelfshelf.Target {
	// Equal loads go in turn, or all would go to the first.
	d.next++
	best := eligible[d.next%len(eligible)]
	bestLoad := d.load(best)
	for _, target := range eligible {
		if load := d.load(target); load < bestLoad {
			best, bestLoad = target, load
		}
	}
	return best
}

// load is the reported work for each slot.
func (d *direct) load(target shelfshelf.Target) float64 {
	report := d.reports[target.Name]
	return float64(report.Running+report.Waiting) / float64(max(target.Slots, 1))
}
