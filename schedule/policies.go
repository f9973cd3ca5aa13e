package schedule

import (
	"github.com/shelfshelf/shelfshelf"
)

// Config is what every policy is made from.
type Config struct {
	Tiers []shelfshelf.TierSpec
	// Tuning holds the constants; DefaultTuning is what runs by default.
	Tuning Tuning
	// Entries is how many entries decide alone; for EachAlone.
	Entries int
	// Truth tells the real state of the engines; for Oracle.
	Truth Truth
}

// Truth is what only a simulation knows: the state of the engines as it is.
type Truth interface {
	// CachedTokens returns how much of a prompt the engine holds, in tokens.
	CachedTokens(target shelfshelf.TargetName, prefix []shelfshelf.PromptPrefix) int
	// Slowdown returns how many times slower than declared an engine runs.
	Slowdown(target shelfshelf.TargetName) float64
}

// PolicyEntry is one row of the lookup table of policies.
type PolicyEntry struct {
	Name string
	// Usage says in one line what the policy does.
	Usage string
	// Central says that one owner decides for all entries.
	Central bool
	New     func(Config) shelfshelf.Policy
}

// Policies lists every policy; help, the bench and the docs are drawn from it.
var Policies = []PolicyEntry{
	{Name: "round-robin", Usage: roundRobinUsage, New: newRoundRobin},
	{Name: "least-loaded", Usage: leastLoadedUsage, New: newLeastLoaded},
	{Name: "each-alone", Usage: eachAloneUsage, New: newEachAlone},
	{Name: "shelfshelf", Usage: poolUsage, Central: true, New: newPoolPolicy},
	{Name: "oracle", Usage: oracleUsage, Central: true, New: newOracle},
}

// PolicyNamed returns the policy of that name.
func PolicyNamed(name string) (PolicyEntry, bool) {
	for _, entry := range Policies {
		if entry.Name == name {
			return entry, true
		}
	}
	return PolicyEntry{}, false
}
