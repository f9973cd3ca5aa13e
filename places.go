package shelfshelf

import (
	"context"
	"time"
)

// PlaceID identifies a slot of a target that this instance holds or has requested.
type PlaceID uint64

// PlaceOutcome is the owner's reply to a slot request.
type PlaceOutcome uint8

const (
	// PlaceUnknown means that the target has no owner, or that its owner doesn't know the target.
	PlaceUnknown PlaceOutcome = iota
	// PlaceGranted means that the slot is assigned to the requester.
	PlaceGranted
	// PlaceWaits means that the slot request is queued.
	PlaceWaits
	// PlaceUnanswered means that the owner has not replied yet. The slot request remains valid and may
	// still be granted.
	PlaceUnanswered
	// PlaceRests means that the target gets no requests for now, because it was unreachable recently or
	// has announced a rate limit. The slot request is not queued.
	PlaceRests
)

// PlaceAsk is a slot request: it asks the owner of a target for one of its slots.
type PlaceAsk struct {
	Target TargetKey
	// DataCentre is where the target runs; its owner runs there too.
	DataCentre DataCentre
	// Begun, Rank, Tier and Stay determine the order of the queue: requests that a target has already
	// worked on come first, then lower ranks, lower tiers, shorter expected durations and earlier
	// requests. If requests of some duration are served too rarely, they are moved ahead of shorter
	// ones.
	Begun bool
	Rank  int
	Tier  Tier
	// Stay is the time for which the request is expected to hold its slot.
	Stay time.Duration
	// Wait is the maximum time in the queue.
	Wait time.Duration
	// Said is what the requester knows of the target's announcements. The slots of a target with a rate
	// limit are assigned by its owner alone, and the owner may not have heard of the limit yet.
	Said TargetWord
	// Strict is set if only the target's first owner may be asked, even if it does not respond. It is
	// not sent over the network.
	Strict bool
}

const (
	// reservedSlots is the number of slots per target that are reserved for the highest tier. Targets
	// with fewer slots than minSlotsToReserve reserve none; otherwise lower tiers would never run on
	// them.
	reservedSlots     = 1
	minSlotsToReserve = 4
)

// ReservedPlaces returns how many of a target's slots a request must leave free for higher tiers. The
// queue order alone doesn't protect higher tiers, since none of their requests may be queued at the
// moment.
func ReservedPlaces(slots int, tier Tier, retry bool) int {
	if tier == 0 || retry || slots < minSlotsToReserve {
		return 0
	}
	return reservedSlots
}

// PlaceAnswer is the owner's reply to a slot request.
type PlaceAnswer struct {
	ID      PlaceID
	Outcome PlaceOutcome
	// Requests is the number of the target's slots that are in use, as far as the owner knows.
	Requests int
	// Rest is the remaining backoff of the target; set with PlaceRests.
	Rest time.Duration
}

// Places acquires slots of targets from the instances that own the targets. It is safe for concurrent
// use.
type Places interface {
	// Ask requests a slot and returns the owner's first reply. If the slot request is queued or
	// unanswered, the ID is sent to granted once the slot is assigned; the channel must have buffer
	// space for it.
	Ask(ctx context.Context, ask PlaceAsk, granted chan<- PlaceID) PlaceAnswer
	// Took records a slot that was taken without the owner's grant.
	Took(target TargetKey, centre DataCentre) PlaceID
	// Give releases a slot; unreachable is set if the target could not be reached.
	Give(id PlaceID, unreachable bool)
	// Leave cancels a queued slot request; served is set if the request was given a slot elsewhere.
	Leave(id PlaceID, served bool)
}
