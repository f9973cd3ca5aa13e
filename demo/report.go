package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shelfshelf/shelfshelf"
)

const (
	histogramMax       = int64(10 * time.Minute / time.Microsecond)
	histogramPrecision = 3
)

// Report is what a run came to.
type Report struct {
	tiers   map[shelfshelf.Tier]*tierReport
	checks  []check
	inForce time.Duration

	drained         shelfshelf.TargetName
	drainedAt       time.Time
	stoppedInFlight int
	stopErr         error
}

// tierReport counts the requests of a tier.
type tierReport struct {
	offered, good, late, shed, refused, unknown int
	firstToken                                  *hdrhistogram.Histogram
}

// check is one thing that must always hold.
type check struct {
	what   string
	figure string
	holds  bool
}

func (r *Report) holds() bool {
	for _, one := range r.checks {
		if !one.holds {
			return false
		}
	}
	return true
}

func (r *Report) collect(cluster *Cluster, records []Record) {
	r.tiers = make(map[shelfshelf.Tier]*tierReport)
	for i := range records {
		r.count(&records[i])
	}
	runs := runsOf(cluster)
	r.checkDispatches(runs)
	r.checkAnswers(records)
	r.checkNotRun(records, runs)
	r.checkKeys(cluster)
	r.checkInversions(records)
	r.checkLeaving(cluster)
	r.checkStop()
	r.add("bundle in force everywhere", fmt.Sprintf("after %v", r.inForce.Round(time.Millisecond)), r.inForce >= 0)
}

func (r *Report) add(what, figure string, holds bool) {
	r.checks = append(r.checks, check{what: what, figure: figure, holds: holds})
}

func (r *Report) count(record *Record) {
	tier := r.tiers[record.Tier]
	if tier == nil {
		tier = &tierReport{firstToken: hdrhistogram.New(1, histogramMax, histogramPrecision)}
		r.tiers[record.Tier] = tier
	}
	tier.offered++
	switch {
	case record.Outcome == shelfshelf.OutcomeDone && record.InTime:
		tier.good++
	case record.Outcome == shelfshelf.OutcomeDone:
		tier.late++
	case record.Outcome == shelfshelf.OutcomeUnknown:
		tier.unknown++
	case record.Reason == "shed":
		tier.shed++
	default:
		tier.refused++
	}
	if record.FirstToken > 0 {
		_ = tier.firstToken.RecordValue(record.FirstToken.Microseconds())
	}
}

// runsOf counts how often each request was run, over all targets.
func runsOf(cluster *Cluster) map[shelfshelf.RequestID]int {
	runs := make(map[shelfshelf.RequestID]int)
	for _, engine := range cluster.Engines {
		for id, count := range engine.Runs() {
			runs[id] += count
		}
	}
	for _, service := range cluster.Services {
		for id, count := range service.Runs() {
			runs[id] += count
		}
	}
	return runs
}

func (r *Report) checkDispatches(runs map[shelfshelf.RequestID]int) {
	twice := 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	r.add("dispatched at most once", fmt.Sprintf("%d run, %d of them twice", len(runs), twice), twice == 0)
}

func (r *Report) checkAnswers(records []Record) {
	done, wrong := 0, 0
	for _, record := range records {
		if record.Outcome != shelfshelf.OutcomeDone {
			continue
		}
		done++
		if !record.Whole {
			wrong++
		}
	}
	r.add("whole answer to the own request", fmt.Sprintf("%d done, %d of them wrong", done, wrong), wrong == 0 && done > 0)
}

func (r *Report) checkNotRun(records []Record, runs map[shelfshelf.RequestID]int) {
	told, ran := 0, 0
	for _, record := range records {
		if record.Outcome != shelfshelf.OutcomeNotRun {
			continue
		}
		told++
		if runs[record.ID] > 0 {
			ran++
		}
	}
	r.add("not run means not run", fmt.Sprintf("%d told so, %d of them ran", told, ran), ran == 0)
}

func (r *Report) checkKeys(cluster *Cluster) {
	runs := make(map[string]int)
	for _, service := range cluster.Services {
		for key, count := range service.KeyRuns() {
			runs[key] += count
		}
	}
	twice := 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	r.add("not repeatable, run at most once", fmt.Sprintf("%d keys, %d of them twice", len(runs), twice), twice == 0)
}

// checkInversions looks for a request that was shed while one of a lower tier
// waited and was served afterwards.
func (r *Report) checkInversions(records []Record) {
	shed, inversions := 0, 0
	for _, one := range records {
		if one.Outcome != shelfshelf.OutcomeNotRun || one.Reason != "shed" {
			continue
		}
		shed++
		for _, other := range records {
			waited := other.Sent.Before(one.Ended) && other.Sent.Add(other.FirstToken).After(one.Ended)
			if other.Tier > one.Tier && other.FirstToken > 0 && waited {
				inversions++
				break
			}
		}
	}
	r.add("no higher tier shed before a lower", fmt.Sprintf("%d shed, %d inversions", shed, inversions), inversions == 0)
}

func (r *Report) checkLeaving(cluster *Cluster) {
	engine := cluster.Engines[r.drained]
	if engine == nil {
		r.add("leaving target gets no new work", "no target was drained", false)
		return
	}
	last := max(engine.LastCall().Sub(r.drainedAt), 0)
	r.add("leaving target gets no new work", fmt.Sprintf("%s: last after %v", r.drained, last.Round(time.Millisecond)), last <= leavingGrace)
}

func (r *Report) checkStop() {
	figure := fmt.Sprintf("%d in flight, none cut off", r.stoppedInFlight)
	if r.stopErr != nil {
		figure = r.stopErr.Error()
	}
	r.add("planned stop cuts nothing off", figure, r.stopErr == nil)
}

// PrintTiers prints what callers saw, by tier.
func PrintTiers(out io.Writer, records []Record, bundle *shelfshelf.Bundle) {
	report := &Report{tiers: make(map[shelfshelf.Tier]*tierReport)}
	for i := range records {
		report.count(&records[i])
	}
	report.printTiers(out, bundle)
}

func (r *Report) printTiers(out io.Writer, bundle *shelfshelf.Bundle) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "tier\toffered\tin time\tlate\tshed\trefused\tunknown\tp50 first token\tp95 first token\t")
	for rank, spec := range bundle.Tiers {
		tier := r.tiers[shelfshelf.Tier(rank)]
		if tier == nil {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", spec.Name,
			tier.offered, tier.good, tier.late, tier.shed, tier.refused, tier.unknown,
			quantile(tier.firstToken, 50), quantile(tier.firstToken, 95))
	}
	_ = table.Flush()
}

func (r *Report) print(out io.Writer, bundle *shelfshelf.Bundle) {
	r.printTiers(out, bundle)
	_, _ = fmt.Fprintln(out, strings.Repeat("-", 72))
	marks := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, one := range r.checks {
		mark := "holds"
		if !one.holds {
			mark = "BROKEN"
		}
		_, _ = fmt.Fprintf(marks, "%s\t%s\t%s\n", mark, one.what, one.figure)
	}
	_ = marks.Flush()
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) string {
	if histogram.TotalCount() == 0 {
		return "-"
	}
	micros := histogram.ValueAtQuantile(percent)
	return (time.Duration(micros) * time.Microsecond).Round(time.Millisecond / 10).String()
}
