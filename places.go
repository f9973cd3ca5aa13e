package shelfshelf

import (
	"context"
	"time"
)

// PlaceID names one place that this instance holds or waits for at an engine.
type PlaceID uint64

// PlaceOutcome is what an owner answers to an ask for a place.
type PlaceOutcome uint8

const (
	// PlaceUnknown means that nobody owns the engine, or that its owner doesn't know it.
	PlaceUnknown PlaceOutcome = iota
	// PlaceGranted means that the place is taken for the asker.
	PlaceGranted
	// PlaceWaits means that the ask stands in the engine's line.
	PlaceWaits
	// PlaceUnanswered means that the owner has not answered yet; the ask stands, and its
	// place may still come.
	PlaceUnanswered
	// PlaceRests means that the target gets nothing yet, since it could not be reached lately
	// or has announced a limit; the ask does not stand in its line.
	PlaceRests
)

// PlaceAsk is an ask for a place at an engine.
type PlaceAsk struct {
	Target TargetKey
	// DataCentre is where the engine runs; its owner runs there too.
	DataCentre DataCentre
	// Begun, Rank, Tier and Stay order the line: begun requests first, then lower ranks,
	// lower tiers, shorter stays and earlier asks; a length that is served too rarely goes
	// before shorter ones.
	Begun bool
	Rank  int
	Tier  Tier
	// Stay is how long the request is expected to keep its place.
	Stay time.Duration
	// Wait is how long the ask stands in line.
	Wait time.Duration
	// Said is what the asker knows that the target has said: its owner, and no other instance,
	// gives the places of a target with a limit, which it may not have heard of yet.
	Said TargetWord
	// Strict says that only the target's first owner is asked, however silent it is; it isn't sent.
	Strict bool
}

const (
	// reservedPlaces is how many places of each engine only the highest tier takes;
	// engines with less than fewPlaces keep none, or lower tiers would never run.
	reservedPlaces = 1
	fewPlaces      = 4
)

// ReservedPlaces returns how many places of an engine with so many slots a request must
// leave to higher tiers. The line puts them first, but none of them may be waiting at
// this moment.
func ReservedPlaces(slots int, tier Tier, begun bool) int {
	if tier == 0 || begun || slots < fewPlaces {
		return 0
	}
	return reservedPlaces
}

// PlaceAnswer is an owner's answer.
type PlaceAnswer struct {
	ID      PlaceID
	Outcome PlaceOutcome
	// Requests is how many places of the engine are taken, as its owner knows.
	Requests int
	// Rest is how much longer an engine rests, with PlaceRests.
	Rest time.Duration
}

// Places asks the owners of engines for places. It is safe for concurrent use.
type Places interface {
	// Ask asks for a place and returns the owner's first answer. An ask that waits, or is
	// not answered yet, is told to granted once its turn has come; granted must have room
	// for it.
	Ask(ctx context.Context, ask PlaceAsk, granted chan<- PlaceID) PlaceAnswer
	// Took notes a place that was taken without an owner's word.
	Took(target TargetKey, centre DataCentre) PlaceID
	// Give gives a place back; unreachable says that the engine could not be reached.
	Give(id PlaceID, unreachable bool)
	// Leave takes an ask out of its line; served says that its request found a place
	// elsewhere.
	Leave(id PlaceID, served bool)
}
