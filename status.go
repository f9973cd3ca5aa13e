package shelfshelf

import (
	"net/netip"
	"time"
)

// Status is the message that an instance repeatedly sends to the other instances of its data centre.
// Each status replaces the previous one completely, so that lost messages do no harm.
type Status struct {
	From Instance
	// Incarnation increases each time an instance with the same name starts.
	Incarnation uint64
	// Sequence numbers the statuses of an incarnation.
	Sequence uint64
	// Revision is the sender's current configuration, 0 if there is none. RevisionAge is the time since
	// it was last known to be the newest.
	Revision    Revision
	RevisionAge time.Duration
	// TargetsVersion is the version of the sender's list of targets, and TargetsAge the age of the
	// list.
	TargetsVersion uint64
	TargetsAge     time.Duration
	// StoreUnreachable is set if the sender's reads of the platform's store fail.
	StoreUnreachable bool
	// WindowObserved is set if the sender has been running for a whole quota window. UsageRestored is set
	// if it has learnt the customers' usage from before it started, as far as any instance knows it.
	WindowObserved bool
	UsageRestored  bool
	// UnsavedFor is the time since which the customers' usage isn't known to be saved, as far as the sender knows.
	UnsavedFor time.Duration
	// Loads is the load that the sender has in flight at targets. Usage is the usage of customers at the
	// sender.
	Loads []TargetLoad
	Usage []CustomerUsage
	// EndedUsage is the usage of customers at instances of the data centre that have ended or are silent.
	// A restarted instance learns from it the usage at itself before the restart.
	EndedUsage []CustomerUsage
	// Speeds are the observed speeds of targets since the sender's last status.
	Speeds []TargetSpeed
	// Crashes are the crashes of targets that the sender has recently learnt of. CrashesHash is equal
	// for all instances that know the same crashes.
	Crashes     []Crash
	CrashesHash uint64
	// Announcements are the announcements of targets that the sender knows. If there are many, each status
	// contains a part of them.
	Announcements []TargetAnnouncement
	// Rollouts are the rollouts that the sender knows. They include all that had been ordered as of the
	// store's position RolloutsAsOf.
	Rollouts     []Rollout
	RolloutsAsOf uint64
	// Evacuation holds the data centres that are evacuated, as far as the sender knows.
	Evacuation EvacuationState
	// Digests are the digests of other data centres that the sender has received since its last status.
	Digests []Digest
}

// Digest summarizes the state of all instances of one data centre for other data centres.
type Digest struct {
	DataCentre DataCentre
	// Age is the time since the digest was created.
	Age time.Duration
	// Instances is the number of instances that the data centre's own instances see.
	Instances int
	// WindowObserved is set if the digest's sender has been running for a whole quota window.
	WindowObserved bool
	// Members are the instances of the data centre that may own targets.
	Members []Member
	Loads   []TargetLoad
	Usage   []CustomerUsage
	// Speeds are the means of what the data centre has observed recently.
	Speeds []TargetSpeed
}

// Member is an instance of a data centre that is live there and is not shutting down.
type Member struct {
	// Hash is a hash of the instance's name.
	Hash    uint64
	Address netip.AddrPort
	// LinkMbps is the bandwidth of its link in whole Mbit/s; 0 if unknown.
	LinkMbps uint32
}

// TargetKey is a hash of a target's name, used in messages for its size; see KeyOfTarget.
type TargetKey uint32

// TargetLoad is the load in flight at one target.
type TargetLoad struct {
	Target TargetKey
	// Requests is the number of requests in flight, and Prefilling the number of those whose prompts
	// are still to be prefilled. PrefillTokens is the total length of the latter's prompts.
	Requests      int
	Prefilling    int
	PrefillTokens int
}

// TargetSpeed is the observed speed of a target; zero means not observed.
type TargetSpeed struct {
	Target TargetKey
	// PrefillRate is the prefill speed, in prompt tokens per millisecond.
	PrefillRate float64
	// Step is the time per output token.
	Step time.Duration
}

// CustomerKey is a hash of a customer's name, used in messages for its size; see KeyOfCustomer.
type CustomerKey uint32

// CustomerUsage is the usage of a customer within the window of its limit, in the unit of the limit.
type CustomerUsage struct {
	Customer CustomerKey
	Amount   float64
}

// UsageBuckets is the number of time buckets into which saved usage divides the window.
const UsageBuckets = 8

// SavedUsage is the usage of a customer at the instances of a data centre, in the unit of its limit, by
// equal time buckets of the window; the newest bucket comes first.
type SavedUsage struct {
	DataCentre DataCentre
	Customer   CustomerKey
	Buckets    [UsageBuckets]float64
}

// SavedUsages is the usage of customers at all instances at the time of saving.
type SavedUsages struct {
	Usage []SavedUsage
	// Gaps are the times within the window before the saving whose usage may be missing.
	Gaps []UsageGap
	// Age is the time since it was saved.
	Age time.Duration
}

// UsageGap is a time whose usage may be missing: instances ended in it, and with them what they had not
// saved. Both ends are ages at the time of saving; From is the older one.
type UsageGap struct {
	From time.Duration
	To   time.Duration
}
