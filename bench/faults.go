package bench

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Faults says what goes wrong in a run.
type Faults struct {
	// Slow makes a third of the engines four times slower, unannounced.
	Slow bool
	// Burst adds the workload's bursts.
	Burst bool
	// Stale makes load reports late.
	Stale bool
	// Gaps loses cache events and makes the others late.
	Gaps bool
	// EngineDeath kills an engine with all it has.
	EngineDeath bool
	// OwnerLoss replaces the pool's owner, which loses its line.
	OwnerLoss bool
	// EntryDeath kills an entry with the requests it holds.
	EntryDeath bool
	// Drain has a tenth of the targets leave.
	Drain bool
}

// faultEntry is one row of the table of faults.
type faultEntry struct {
	name  string
	usage string
	set   func(*Faults)
}

// faultTable lists the faults; help and the docs are drawn from it.
var faultTable = []faultEntry{
	{"slow", "a third of the engines run four times slower, unannounced", func(f *Faults) { f.Slow = true }},
	{"burst", "the workload's bursts", func(f *Faults) { f.Burst = true }},
	{"stale", "load reports are 3 s old instead of half a second", func(f *Faults) { f.Stale = true }},
	{"gaps", "three in ten cache events are lost, the others 4 s late", func(f *Faults) { f.Gaps = true }},
	{"engine-death", "an engine dies with all it has", func(f *Faults) { f.EngineDeath = true }},
	{"owner-loss", "the pool's owner dies with its line", func(f *Faults) { f.OwnerLoss = true }},
	{"entry-death", "an entry dies with the requests it holds", func(f *Faults) { f.EntryDeath = true }},
	{"drain", "a tenth of the targets leave", func(f *Faults) { f.Drain = true }},
}

const noFault = "none"

// ParseFaults reads a list such as slow+burst+stale, or none.
func ParseFaults(text string) (Faults, error) {
	var faults Faults
	if text == noFault || text == "" {
		return faults, nil
	}
	for name := range strings.SplitSeq(text, "+") {
		at := slices.IndexFunc(faultTable, func(entry faultEntry) bool { return entry.name == name })
		if at < 0 {
			return faults, eris.Errorf("unknown fault %q: there are none, %s", name, strings.Join(FaultNames(), ", "))
		}
		faultTable[at].set(&faults)
	}
	return faults, nil
}

// FaultNames lists the faults.
func FaultNames() []string {
	names := make([]string, len(faultTable))
	for i, entry := range faultTable {
		names[i] = entry.name
	}
	return names
}

// FaultUsage describes the faults, one a line.
func FaultUsage() string {
	var text strings.Builder
	for _, entry := range faultTable {
		text.WriteString(entry.name + ": " + entry.usage + "\n")
	}
	return text.String()
}

// The timing of a run, as shares of its length or as spans.
const (
	slowFrom    = 0.2
	slowFactor  = 4
	slowEvery   = 3
	deathAt     = 0.4
	ownerLossAt = 0.5
	entryAt     = 0.6
	drainAt     = 0.3
	drainEvery  = 10

	reportPeriod   = 500 * time.Millisecond
	reportAge      = 250 * time.Millisecond
	staleAge       = 3 * time.Second
	cacheEventAge  = 500 * time.Millisecond
	lateEventAge   = 4 * time.Second
	lostEventShare = 0.3
	// ownerDown is how long an ask to a dead owner goes unanswered before entries
	// decide without it; that time of deciding alone is taken for the next owner's.
	// handOver is how long the next owner collects what is in flight.
	ownerDown = 400 * time.Millisecond
	handOver  = 250 * time.Millisecond
	// entryNoticed is when the owner counts a dead entry's requests no more.
	entryNoticed = 10 * time.Second
)
