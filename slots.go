package shelfshelf

import (
	"context"
	"time"
)

// SlotID identifies a slot of a target that this instance holds or has requested.
type SlotID uint64

// SlotOutcome is the owner's reply to a slot request.
type SlotOutcome uint8

const (
	// SlotNoOwner means that the target has no owner, or that its owner doesn't know the target.
	SlotNoOwner SlotOutcome = iota
	// SlotGranted means that the slot is assigned to the requester.
	SlotGranted
	// SlotQueued means that the slot request is queued.
	SlotQueued
	// SlotPending means that the owner has not replied yet. The slot request remains valid and may
	// still be granted.
	SlotPending
	// SlotUnavailable means that the target gets no requests for now, because it was unreachable recently or
	// has announced a rate limit. The slot request is not queued.
	SlotUnavailable
)

// MaxSlotTargets is how many targets a slot request names at most. With eight engines to a queue, an owner
// has rarely more than twelve, and each takes five bytes of the request.
const MaxSlotTargets = 12

// SlotRequest asks the owner of a target for one of its slots.
type SlotRequest struct {
	Target TargetKey
	// Targets are the targets that the request may use, in order of preference; Target is the first. The
	// owner of Target owns all of them. It is empty if the request names Target alone.
	Targets []TargetKey
	// DataCentre is where the target runs; its owner runs there too.
	DataCentre DataCentre
	// Started, Rank, Tier and HoldTime determine the order of the queue: requests that a target has already
	// worked on come first, then lower ranks, lower tiers, shorter expected durations and earlier
	// requests. If requests of some duration are served too rarely, they are moved ahead of shorter
	// ones.
	Started bool
	Rank    int
	Tier    Tier
	// HoldTime is the time for which the request is expected to hold its slot.
	HoldTime time.Duration
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// InTimeUntil is for how long a grant is still in time for the goal of the request; 0 if none is.
	InTimeUntil time.Duration
	// Customer identifies the customer, and Weight is the part of the slots that it should get in proportion to
	// others.
	Customer uint32
	Weight   float64
	// Fingerprint identifies the content of the request, so that its owner recognizes a retry; 0 if unknown.
	Fingerprint Fingerprint
	// Announcement is what the requester knows of the target's announcements. The slots of a target with a rate
	// limit are assigned by its owner alone, and the owner may not know the limit yet.
	Announcement TargetAnnouncement
	// PrimaryOwnerOnly is set if only the target's first owner may be asked, even if it does not respond. It is
	// not sent over the network.
	PrimaryOwnerOnly bool
}

const (
	// reservedSlots is the number of slots per target that are reserved for the highest tier. Targets
	// with fewer slots than minSlotsToReserve reserve none; otherwise lower tiers would never run on
	// them.
	reservedSlots     = 1
	minSlotsToReserve = 4
)

// ReservedSlots returns how many of a target's slots a request must leave free for higher tiers. The
// queue order alone doesn't protect higher tiers, since none of their requests may be queued at the
// moment.
func ReservedSlots(slots int, tier Tier, retry bool) int {
	if tier == 0 || retry || slots < minSlotsToReserve {
		return 0
	}
	return reservedSlots
}

// Names returns the targets that the request names, in order of preference.
func (r *SlotRequest) Names() []TargetKey {
	if len(r.Targets) > 0 {
		return r.Targets
	}
	return []TargetKey{r.Target}
}

// SlotResponse is the owner's reply to a slot request.
type SlotResponse struct {
	ID      SlotID
	Outcome SlotOutcome
	// Target is the target whose slot is granted; the first one named if none is.
	Target TargetKey
	// InUse is the number of the target's slots that are in use, as far as the owner knows.
	InUse int
	// ExpectedWait is the expected time in the queue, if WaitKnown; set with SlotQueued.
	ExpectedWait time.Duration
	WaitKnown    bool
	// RetryAfter is the remaining backoff of the target; set with SlotUnavailable.
	RetryAfter time.Duration
}

// SlotOwners acquires slots of targets from the instances that own the targets. It is safe for concurrent
// use.
type SlotOwners interface {
	// Request requests a slot and returns the owner's first reply. If the slot request is queued or
	// unanswered, the grant is sent to granted once a slot is assigned; the channel must have buffer
	// space for it.
	Request(ctx context.Context, request SlotRequest, granted chan<- SlotResponse) SlotResponse
	// SharedQueue returns the engines that share a queue with an engine, this one included; nil if it has its own
	// queue. The list must not be modified.
	SharedQueue(target TargetKey, dataCentre DataCentre) []TargetKey
	// RecordLocalGrant records a slot that was taken without the owner's grant.
	RecordLocalGrant(target TargetKey, dataCentre DataCentre) SlotID
	// Release releases a slot; unreachable is set if the target could not be reached.
	Release(id SlotID, unreachable bool)
	// Withdraw cancels a queued slot request; served is set if the request was given a slot elsewhere.
	Withdraw(id SlotID, served bool)
}
