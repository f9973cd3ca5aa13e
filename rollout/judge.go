package rollout

import (
	"math"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// wrongChance is the chance of holding a good version for bad, over all that is looked
	// at in an order.
	wrongChance = 0.001
	// leastBad and badPart are how many of the tried targets, as far as the version has as
	// many, have to speak against it: a crashed, failing or slow machine is no version, and
	// of six targets tried three or more are failing by themselves once in 21 times where
	// 0.15 of all targets are (binomial). No target counts for more than its part.
	leastBad = 4
	badPart  = 0.7
	// failedPart is the same for failures: machines that fail by themselves are fewer than
	// machines that are slow.
	failedPart = 0.55
	// strayPart is the part of targets that may be bad by themselves, whatever they run, in
	// one way of weighing: each target's ratio is taken against a good version of
	// which so many are (Huber 1965, Ann. Math. Statist. 36), so that none counts for more
	// than 1.2. It shows faults that few answers of each target have, over many targets;
	// strayMargin is what the best of the factors may miss of the best of all.
	strayPart   = 0.2
	strayMargin = 1.5
	// sparedPart is the part of a bad version's targets that may show nothing, as a machine
	// three times as fast does of being three times slower: without it one such target
	// outweighs ten others.
	sparedPart = 0.2
	// leastMany is from how many targets on all may count in full: of 30 targets, more than 11
	// bad by themselves, which would make the odds three times those of old ones, are met once in
	// 1,200 if 0.15 of all targets are (binomial).
	leastMany = 30
	// mostFailed and mostSlow are how many marked answers a new version may have at all while
	// they are mostTimes as frequent as the old one's, or more, also where the targets that have
	// most of them are left out: the operator's time to roll back counts from the fiftieth bad
	// answer, and one in four that is slow has no mark.
	mostFailed = 28
	mostSlow   = 35
	mostTimes  = 3.0
	// leastTrials is how many answers of the new version it takes to hold it for good.
	leastTrials = 25
	// doubt is the evidence from which a version is not held for good yet, as the logarithm
	// of a likelihood ratio.
	doubt = 3.0
)

// Verdict is what the counts say of a new version.
type Verdict struct {
	// Bad says that it is worse than the old one beyond chance, and Why by what.
	Bad bool
	Why string
	// Good says that enough is known of it and nothing speaks against it.
	Good bool
	// Trials are its answers, Failed those of them that failed; Old and OldFailed the same
	// of the others.
	Trials, Failed uint64
	Old, OldFailed uint64
	// Slower is how many times as long its first answers take as the old ones, on the mean of its
	// tried targets; 0 if not known.
	Slower float64
	// Against is the strongest evidence, a logarithm, and Limit where it makes a version bad.
	Against float64
	Limit   float64
}

const (
	// leastBeside is how many answers of old targets a stretch should have beside those of
	// the new ones, or it tells little, and longestStretch how many rounds it lasts at most.
	leastBeside    = 40
	longestStretch = 5
)

// Judge weighs a new version against the old one at the same time. The zero value is ready.
type Judge struct {
	// Targets is how many targets the new version has, OldTargets how many the others have, and
	// Moving says that the new one takes over.
	Targets    int
	OldTargets int
	Moving     bool

	count int
	// opened are the stretches that are being counted, and routes those that are weighed.
	opened map[shelfshelf.RouteName]*stretch
	routes map[shelfshelf.RouteName][]*stretch
	// past are the summed ratios of stretches before the last ones, by target and mark.
	past map[shelfshelf.RouteName]map[shelfshelf.TargetName][][]float64
	// usual are the old version's answers so far.
	usual map[shelfshelf.RouteName]*Cell
	// sums are what both versions have had by route and mark.
	sums  map[shelfshelf.RouteName]*tally
	total Verdict
}

// Add takes what was counted in one stretch of time.
func (j *Judge) Add(news map[CellName]*Cell) {
	if j.routes == nil {
		j.routes = make(map[shelfshelf.RouteName][]*stretch)
		j.opened = make(map[shelfshelf.RouteName]*stretch)
		j.usual = make(map[shelfshelf.RouteName]*Cell)
		j.past = make(map[shelfshelf.RouteName]map[shelfshelf.TargetName][][]float64)
		j.sums = make(map[shelfshelf.RouteName]*tally)
	}
	j.count++
	rounds := make(map[shelfshelf.RouteName]*stretch)
	for name, cell := range news {
		// Which requests try the new version doesn't depend on their routes, so that all of
		// them together may be weighed as one.
		for _, route := range []shelfshelf.RouteName{name.Route, allRoutes} {
			if rounds[route] == nil {
				rounds[route] = newStretch(j.count, j.Moving)
			}
			rounds[route].take(name.Target, cell)
		}
		if name.Target == "" {
			j.total.Old += cell.Answers
			j.total.OldFailed += cell.Failed
			continue
		}
		j.total.Trials += cell.Answers
		j.total.Failed += cell.Failed
	}
	for route, round := range rounds {
		j.open(route).join(round)
		j.sum(route, round)
	}
	for route, s := range j.opened {
		if s.told() || j.count-s.number >= longestStretch {
			j.close(route, s)
		}
	}
}

// open returns the stretch of a route that is being counted.
func (j *Judge) open(route shelfshelf.RouteName) *stretch {
	s := j.opened[route]
	if s == nil {
		s = newStretch(j.count, j.Moving)
		j.opened[route] = s
	}
	return s
}

// sum adds one round's answers to what both versions have had on a route.
func (j *Judge) sum(route shelfshelf.RouteName, round *stretch) {
	if j.usual[route] == nil {
		return
	}
	if j.sums[route] == nil {
		j.sums[route] = newTally()
	}
	j.sums[route].add(round, j.usual[route])
}

// close weighs a stretch that has been counted.
func (j *Judge) close(route shelfshelf.RouteName, s *stretch) {
	delete(j.opened, route)
	if j.usual[route] == nil {
		j.usual[route] = &Cell{}
	}
	if len(s.fresh) > 0 {
		s.weigh(j.usual[route])
		j.routes[route] = append(j.routes[route], s)
	}
	j.usual[route].add(&s.old)
	j.fold(route)
}

// fold adds up the stretches that no span but the whole needs one by one, so that an order of
// hours takes no more memory than one of seconds.
func (j *Judge) fold(route shelfshelf.RouteName) {
	stretches := j.routes[route]
	for len(stretches) > 0 && j.count-stretches[0].number >= longestWindow {
		if j.past[route] == nil {
			j.past[route] = make(map[shelfshelf.TargetName][][]float64)
		}
		for name, ratios := range stretches[0].ratios {
			if j.past[route][name] == nil {
				j.past[route][name] = make([][]float64, len(marks))
			}
			for m := range marks {
				if len(ratios[m]) > 0 {
					j.past[route][name][m] = addTo(j.past[route][name][m], ratios[m], func(ratio float64) float64 { return ratio })
				}
			}
		}
		stretches = stretches[1:]
	}
	j.routes[route] = stretches
}

// Verdict judges by all that was counted.
func (j *Judge) Verdict() Verdict {
	verdict := j.total
	verdict.Slower = j.slower()
	verdict.Limit = j.limit(allRoutes)
	verdict.Against = math.Inf(-1)
	for _, window := range windows {
		for i, m := range marks {
			for route := range j.routes {
				// What a route needs more than all of them together is taken away, so that one
				// limit stands for all.
				limit := j.limit(route)
				verdict.weigh(j.against(i, route, window, limit)-limit+verdict.Limit, m.name+" on "+string(route))
			}
		}
	}
	if why := j.tooMany(); why != "" {
		verdict.Against, verdict.Why = verdict.Limit, why
	}
	verdict.Bad = verdict.Against >= verdict.Limit
	verdict.Good = !verdict.Bad && !verdict.Doubted() && verdict.Trials >= leastTrials
	return verdict
}

// limit is the evidence on a route from which a version is bad. Half of the chance of holding a good
// one for bad is for all routes together, where most faults show, and each route has an even part
// of the rest.
func (j *Judge) limit(route shelfshelf.RouteName) float64 {
	tests := 2 * ways * len(marks) * len(windows)
	if route != allRoutes {
		tests *= max(len(j.routes)-1, 1)
	}
	return math.Log(float64(tests) / wrongChance)
}

// shift returns by how many deviations the tried targets are slower on a route than a good
// version's may be.
func (j *Judge) shift(mark int, route shelfshelf.RouteName) float64 {
	sums := j.sums[route]
	if sums == nil || marks[mark].times == nil {
		return 0
	}
	return shift(sums.tried(mark), marks[mark].times(j.usual[route]), j.OldTargets)
}

// slower returns how many times as long the tried targets' first answers take.
func (j *Judge) slower() float64 {
	sums, usual := j.sums[allRoutes], j.usual[allRoutes]
	if sums == nil || usual == nil {
		return 0
	}
	longer, count := slower(sums.tried(firstAnswers), &usual.First)
	if count == 0 {
		return 0
	}
	return math.Exp(longer)
}

// tooMany returns which marked answers the new version has had too many of; empty if none.
func (j *Judge) tooMany() string {
	for route, sums := range j.sums {
		for i, m := range marks {
			if sums.tooMany(i) && (m.times == nil || j.shift(i, route) >= dueDeviations) {
				return "too many: " + m.name + " on " + string(route)
			}
		}
	}
	return ""
}

// Doubted reports that what was counted speaks against the version but doesn't suffice.
func (v *Verdict) Doubted() bool { return !v.Bad && v.Against >= doubt }

func (v *Verdict) weigh(against float64, what string) {
	if against > v.Against {
		v.Against, v.Why = against, what
	}
}
