package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

type (
	wireOutcome struct {
		Deployment string    `json:"deployment"`
		Seed       uint64    `json:"seed"`
		Runs       []wireRun `json:"runs"`
	}
	wireRun struct {
		Load     float64               `json:"load"`
		Fault    string                `json:"fault"`
		Policies map[string]wirePolicy `json:"policies"`
	}
	wirePolicy struct {
		Tiers            map[string]wireTier `json:"tiers"`
		WastedPrefill    int                 `json:"wastedPrefillTokens"`
		Repeated         int                 `json:"repeatedPrefillTokens"`
		Prefill          int                 `json:"prefillTokens"`
		Inversions       int                 `json:"inversions"`
		DoubleDispatches int                 `json:"doubleDispatches"`
		WeightedGoodput  float64             `json:"weightedGoodput"`
		LongestWaitMilli map[string]int64    `json:"longestWaitMillis"`
	}
	wireTier struct {
		Offered int `json:"offered"`
		Goodput int `json:"goodput"`
		Shed    int `json:"shed"`
		Refused int `json:"refused"`
		Late    int `json:"late"`
		Unknown int `json:"unknown"`
	}
)

// WriteJSON writes the outcome as JSON; docs/MEASURES.md describes it.
func (o *Outcome) WriteJSON(out io.Writer) error {
	wire := wireOutcome{Deployment: o.Deployment, Seed: o.Seed}
	for _, cell := range o.Cells {
		run := wireRun{Load: cell.Load, Fault: cell.Fault, Policies: make(map[string]wirePolicy)}
		for _, result := range cell.Results {
			run.Policies[result.Policy] = o.policyToWire(result)
		}
		wire.Runs = append(wire.Runs, run)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(wire)
}

func (o *Outcome) policyToWire(result *Result) wirePolicy {
	wire := wirePolicy{
		Tiers:            make(map[string]wireTier),
		WastedPrefill:    result.WastedPrefill,
		Repeated:         result.Repeated,
		Prefill:          result.Prefill,
		Inversions:       result.Inversions,
		DoubleDispatches: result.Doubles,
		WeightedGoodput:  result.WeightedGoodput(o.Tiers),
		LongestWaitMilli: make(map[string]int64),
	}
	for name, tier := range result.Tiers {
		wire.Tiers[name] = wireTier(tier)
	}
	for name, wait := range result.LongestWait {
		wire.LongestWaitMilli[name] = wait.Milliseconds()
	}
	return wire
}

// Print writes the outcome as a table: goodput of each tier as a share of what
// was offered, weighted goodput, and wasted prefill as a share of what was read.
func (o *Outcome) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(table, "load\tfault\tpolicy\t")
	for _, tier := range o.Tiers {
		_, _ = fmt.Fprintf(table, "%s\t", tier.Name)
	}
	_, _ = fmt.Fprintln(table, "weighted\twasted Mtok\trepeated\tshare\tinversions\tdoubles\tlongest wait\t")
	for _, cell := range o.Cells {
		for _, result := range cell.Results {
			_, _ = fmt.Fprintf(table, "%g\t%s\t%s\t", cell.Load, cell.Fault, result.Policy)
			longest := time.Duration(0)
			for _, tier := range o.Tiers {
				_, _ = fmt.Fprintf(table, "%.2f%%\t", 100*result.Share(tier.Name))
				longest = max(longest, result.LongestWait[tier.Name])
			}
			share := float64(result.WastedPrefill) / float64(max(result.Prefill, 1))
			_, _ = fmt.Fprintf(table, "%.2f%%\t%.3f\t%.3f\t%.1f%%\t%d\t%d\t%v\t\n", 100*result.WeightedGoodput(o.Tiers),
				float64(result.WastedPrefill)/1e6, float64(result.Repeated)/1e6, 100*share, result.Inversions, result.Doubles, longest.Round(time.Millisecond))
		}
	}
	_ = table.Flush()
}
