package schedule

import "github.com/shelfshelf/shelfshelf"

const roundRobinUsage = "baseline: every request at once to the next engine in turn"

func newRoundRobin(Config) shelfshelf.Policy {
	return newDirect((*direct).pickNext)
}

func (d *direct) pickNext(eligible []shelfshelf.Target) shelfshelf.Target {
	d.next++
	return eligible[d.next%len(eligible)]
}
