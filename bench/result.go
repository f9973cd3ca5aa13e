package bench

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// TierResult counts a tier's requests; docs/MEASURES.md defines each figure.
type TierResult struct {
	Offered int
	Goodput int
	Shed    int
	Refused int
	Late    int
	Unknown int
}

// Result is what a run of one policy came to.
type Result struct {
	Policy string
	// Tiers holds the counts by the tier's name.
	Tiers map[string]TierResult
	// WastedPrefill and Prefill are prompt tokens that engines computed.
	WastedPrefill int
	Prefill       int
	// Repeated is the part of WastedPrefill that another engine held; the rest
	// was for answers that came too late or never.
	Repeated   int
	Inversions int
	Doubles    int
	// LongestWait is the longest time in line by tier of those that were granted.
	LongestWait map[string]time.Duration
	// Waiting samples the line by tier, one sample a second.
	Waiting []map[shelfshelf.Tier]int
}

// WeightedGoodput returns goodput as a share of what was offered, each tier by
// its weight.
func (r *Result) WeightedGoodput(tiers []shelfshelf.TierSpec) float64 {
	good, offered := 0.0, 0.0
	for _, spec := range tiers {
		tier := r.Tiers[spec.Name]
		good += spec.Weight * float64(tier.Goodput)
		offered += spec.Weight * float64(tier.Offered)
	}
	if offered == 0 {
		return 0
	}
	return good / offered
}

// Share returns a tier's goodput as a share of what was offered.
func (r *Result) Share(tier string) float64 {
	counts := r.Tiers[tier]
	if counts.Offered == 0 {
		return 1
	}
	return float64(counts.Goodput) / float64(counts.Offered)
}
