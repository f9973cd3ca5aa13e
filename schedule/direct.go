package schedule

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// direct is a policy without a line: it grants each request at once. The two
// baselines differ only in how they pick.
type direct struct {
	targets  []shelfshelf.Target
	reports  map[shelfshelf.TargetName]shelfshelf.LoadReport
	decided  []shelfshelf.Decision
	pick     func(d *direct, eligible []shelfshelf.Target) shelfshelf.Target
	next     int
	eligible []shelfshelf.Target
}

func newDirect(pick func(*direct, []shelfshelf.Target) shelfshelf.Target) *direct {
	return &direct{pick: pick, reports: make(map[shelfshelf.TargetName]shelfshelf.LoadReport)}
}

// SetTargets replaces the targets.
func (d *direct) SetTargets(_ time.Time, targets []shelfshelf.Target) {
	d.targets = slices.DeleteFunc(slices.Clone(targets), func(t shelfshelf.Target) bool { return t.Leaving })
}

// Ask decides at once.
func (d *direct) Ask(_ time.Time, ask shelfshelf.Ask) {
	d.eligible = d.eligible[:0]
	for _, target := range d.targets {
		if !slices.Contains(ask.Avoid, target.Name) {
			d.eligible = append(d.eligible, target)
		}
	}
	decision := shelfshelf.Decision{ID: ask.ID, Reason: shelfshelf.RefusedNoTarget}
	if len(d.eligible) > 0 {
		decision = shelfshelf.Decision{ID: ask.ID, Granted: true, Target: d.pick(d, d.eligible).Name}
	}
	d.decided = append(d.decided, decision)
}

// Report keeps the target's latest report.
func (d *direct) Report(_ time.Time, report shelfshelf.LoadReport) {
	d.reports[report.Target] = report
}

// Decide returns what Ask has decided.
func (d *direct) Decide(time.Time) []shelfshelf.Decision {
	decided := d.decided
	d.decided = nil
	return decided
}

// Hold does nothing: the baselines count nothing in flight.
func (d *direct) Hold(time.Time, shelfshelf.Ask, shelfshelf.TargetName) {}

// Cancel does nothing: there is no line.
func (d *direct) Cancel(time.Time, shelfshelf.RequestID) {}

// FirstToken does nothing.
func (d *direct) FirstToken(time.Time, shelfshelf.RequestID) {}

// Done does nothing.
func (d *direct) Done(time.Time, shelfshelf.Completion) {}

// CacheEvent does nothing: the baselines know no caches.
func (d *direct) CacheEvent(time.Time, shelfshelf.CacheEvent) {}

// Waiting is empty: there is no line.
func (d *direct) Waiting() map[shelfshelf.Tier]int {
	return nil
}
