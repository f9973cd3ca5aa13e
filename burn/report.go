package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf/entry"
)

// Rule is an alert: both windows must burn faster than Rate. The pairs are
// those that the SRE workbook recommends for a budget of thirty days.
type Rule struct {
	Name  string
	Long  time.Duration
	Short time.Duration
	Rate  float64
	// Pages says that someone should look now.
	Pages bool
}

// Rules are the alerts, the most urgent first.
var Rules = []Rule{
	{Name: "page, 2% of the budget in an hour", Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4, Pages: true},
	{Name: "page, 5% of the budget in six hours", Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6, Pages: true},
	{Name: "ticket, 10% of the budget in three days", Long: 72 * time.Hour, Short: 6 * time.Hour, Rate: 1},
}

// Windows are the spans that reports show, the shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Kind says what a line of the report is about.
type Kind string

// The kinds of line.
const (
	KindRoute    Kind = "route"
	KindTier     Kind = "tier"
	KindCustomer Kind = "customer"
)

// Line is the state of one route, tier or customer.
type Line struct {
	Kind      Kind
	Name      string
	Objective float64
	// Total and Bad count requests over the whole series.
	Total float64
	Bad   float64
	// Rates are burn rates by window, as Windows; 1 uses the budget up exactly in
	// its period. A window longer than the series covers all of it.
	Rates []float64
	// BudgetLeft is the share of the error budget left over the whole series; below
	// 0 it is overdrawn.
	BudgetLeft float64
	// Alerts are the rules that fire.
	Alerts []Rule
}

// Cause is what made requests bad.
type Cause struct {
	Route  string
	Result string
	Reason string
	Target string
	Count  float64
}

// Report is the state of all routes, tiers and customers.
type Report struct {
	From   time.Time
	To     time.Time
	Lines  []Line
	Causes []Cause
	// WastedPrefill is the share of prompt tokens read for answers not used in time.
	WastedPrefill float64
	// Points are the burn rates of routes over time, for plots.
	Points map[string][]Point
}

// Point is a route's burn rate over the shortest window up to an instant.
type Point struct {
	At   time.Time
	Rate float64
}

// callersFaults are reasons for which the caller is to blame; such requests
// count neither as good nor as bad.
var callersFaults = map[string]bool{
	"bad-body": true, "bad-tier": true, "bad-deadline": true, "body-broken": true, "body-too-large": true,
	"prompt-too-long": true, "answer-too-long": true, "no-idempotency-key": true, "key-reused": true,
	"route-not-allowed": true, "rejected": true, "limit": true, "cancelled": true,
}

// judge tells what a request counts as.
func judge(labels Labels) (counts, bad bool) {
	if callersFaults[labels.Reason] || labels.Result == string(entry.ResultCancelled) {
		return false, false
	}
	return true, labels.Result != string(entry.ResultGood)
}

// NewReport works a report out from a series of snapshots.
func NewReport(series []*Snapshot) *Report {
	report := &Report{Points: make(map[string][]Point)}
	if len(series) == 0 {
		return report
	}
	slices.SortStableFunc(series, func(a, b *Snapshot) int { return a.At.Compare(b.At) })
	report.From, report.To = series[0].At, series[len(series)-1].At
	steps := increases(series)
	objectives := objectivesOf(series)
	report.Lines = linesOf(steps, objectives, report.To)
	report.Causes = causesOf(steps)
	report.WastedPrefill = wastedOf(series)
	for route := range objectives {
		report.Points[route] = pointsOf(steps, route, objectives[route])
	}
	return report
}

// step is how counts grew up to an instant, at one instance.
type step struct {
	at    time.Time
	grown map[Labels]float64
}

// increases turns counters into growth; a counter that fell belongs to an
// instance that was started again.
func increases(series []*Snapshot) []step {
	before := make(map[string]map[Labels]float64)
	var steps []step
	for _, snapshot := range series {
		last := before[snapshot.Instance]
		grown := make(map[Labels]float64)
		for labels, count := range snapshot.Requests {
			growth := count - last[labels]
			if growth < 0 {
				growth = count
			}
			if growth > 0 {
				grown[labels] = growth
			}
		}
		before[snapshot.Instance] = snapshot.Requests
		steps = append(steps, step{at: snapshot.At, grown: grown})
	}
	return steps
}

func objectivesOf(series []*Snapshot) map[string]float64 {
	objectives := make(map[string]float64)
	for _, snapshot := range series {
		maps.Copy(objectives, snapshot.Objectives)
	}
	return objectives
}

// tally counts requests and the bad ones, and the bad ones that the objectives
// of their routes would allow.
type tally struct {
	total, bad, allowed float64
}

func (t *tally) add(labels Labels, count float64, objectives map[string]float64) {
	counts, bad := judge(labels)
	if !counts {
		return
	}
	t.total += count
	t.allowed += count * (1 - objectives[labels.Route])
	if bad {
		t.bad += count
	}
}

// rate is how many times faster than allowed the budget burns.
func (t *tally) rate() float64 {
	if t.bad == 0 {
		return 0
	}
	return t.bad / max(t.allowed, 1e-9)
}

// subject names a line.
type subject struct {
	kind Kind
	name string
}

func subjectsOf(labels Labels) []subject {
	return []subject{
		{KindTier, labels.Tier},
		{KindRoute, labels.Route},
		{KindCustomer, labels.Customer},
	}
}

func linesOf(steps []step, objectives map[string]float64, now time.Time) []Line {
	whole := make(map[subject]*tally)
	windows := make(map[subject][]tally)
	for _, one := range steps {
		for labels, count := range one.grown {
			for _, about := range subjectsOf(labels) {
				if whole[about] == nil {
					whole[about] = &tally{}
					windows[about] = make([]tally, len(Windows))
				}
				whole[about].add(labels, count, objectives)
				for i, window := range Windows {
					if now.Sub(one.at) < window {
						windows[about][i].add(labels, count, objectives)
					}
				}
			}
		}
	}
	var lines []Line
	for about, all := range whole {
		line := Line{Kind: about.kind, Name: about.name, Total: all.total, Bad: all.bad, BudgetLeft: 1 - all.rate()}
		if all.total > 0 {
			line.Objective = 1 - all.allowed/all.total
		}
		for i := range windows[about] {
			line.Rates = append(line.Rates, windows[about][i].rate())
		}
		line.Alerts = alertsOf(line.Rates)
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Kind, a.Kind), cmp.Compare(a.Name, b.Name))
	})
	return lines
}

func alertsOf(rates []float64) []Rule {
	var alerts []Rule
	for _, rule := range Rules {
		long := slices.Index(Windows, rule.Long)
		short := slices.Index(Windows, rule.Short)
		if rates[long] >= rule.Rate && rates[short] >= rule.Rate {
			alerts = append(alerts, rule)
		}
	}
	return alerts
}

func causesOf(steps []step) []Cause {
	counts := make(map[Cause]float64)
	for _, one := range steps {
		for labels, count := range one.grown {
			if ok, bad := judge(labels); ok && bad {
				counts[Cause{Route: labels.Route, Result: labels.Result, Reason: labels.Reason, Target: labels.Target}] += count
			}
		}
	}
	var causes []Cause
	for cause, count := range counts {
		cause.Count = count
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Result, b.Result), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Target, b.Target))
	})
	return causes
}

// wastedOf uses each instance's latest counters.
func wastedOf(series []*Snapshot) float64 {
	latest := make(map[string]*Snapshot)
	for _, snapshot := range series {
		latest[snapshot.Instance] = snapshot
	}
	unused, read := 0.0, 0.0
	for _, snapshot := range latest {
		for labels, tokens := range snapshot.Prefill {
			switch labels.Kind {
			case "read_unused":
				unused += tokens
				read += tokens
			case "read_used":
				read += tokens
			}
		}
	}
	if read == 0 {
		return 0
	}
	return unused / read
}

// pointsOf follows a route's burn rate over the shortest window.
func pointsOf(steps []step, route string, objective float64) []Point {
	objectives := map[string]float64{route: objective}
	var points []Point
	for end := range steps {
		if end+1 < len(steps) && steps[end+1].at.Equal(steps[end].at) {
			continue
		}
		var sum tally
		for i := end; i >= 0 && steps[end].at.Sub(steps[i].at) < Windows[0]; i-- {
			for labels, count := range steps[i].grown {
				if labels.Route == route {
					sum.add(labels, count, objectives)
				}
			}
		}
		points = append(points, Point{At: steps[end].at, Rate: sum.rate()})
	}
	return points
}

// Pages reports whether any line has an alert that someone should look at now.
func (r *Report) Pages() bool {
	for _, line := range r.Lines {
		for _, alert := range line.Alerts {
			if alert.Pages {
				return true
			}
		}
	}
	return false
}
