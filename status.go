package shelfshelf

import (
	"net/netip"
	"time"
)

// Status is what one instance tells the others of its data centre, again and
// again; a newer one replaces an older one whole, so that a lost message does no
// harm.
type Status struct {
	From Instance
	// Incarnation grows each time an instance with the same name starts.
	Incarnation uint64
	// Sequence counts the statuses of an incarnation.
	Sequence uint64
	// Revision is the configuration in force at the sender, 0 for none, and
	// RevisionAge how long ago it was known to be the newest.
	Revision    Revision
	RevisionAge time.Duration
	// TargetsVersion orders lists of targets, and TargetsAge is the list's age.
	TargetsVersion uint64
	TargetsAge     time.Duration
	// SourceLost says that the sender's reads of the platform's store fail.
	SourceLost bool
	// Settled says that the sender has seen the whole window that limits count in, and
	// Recalled that it knows what was used before it started, as far as anybody does.
	Settled  bool
	Recalled bool
	// Loads is what the sender has in flight at targets, and Uses what customers have
	// used there.
	Loads []TargetLoad
	Uses  []CustomerUse
	// EndedUses is what customers had used at instances of the data centre that have ended
	// or are silent; one that has just started learns of its own earlier life by it.
	EndedUses []CustomerUse
	// Speeds are observations of targets since the sender's last status.
	Speeds []TargetSpeed
	// Crashes are ends of targets of which the sender has learnt lately, and CrashesHash is
	// the same for all who know the same of them.
	Crashes     []Crash
	CrashesHash uint64
	// Words are what targets have said of themselves, as far as the sender knows; of many,
	// each status tells a part.
	Words []TargetWord
	// Rollouts are the orders to move pools that the sender knows, all that had been given
	// when the store stood at OrdersAsOf.
	Rollouts   []Rollout
	OrdersAsOf uint64
	// Evacuated is which data centres are evacuated, as far as the sender knows.
	Evacuated Evacuated
	// Digests are the words of other data centres that the sender has had since its
	// last status.
	Digests []Digest
}

// Digest is what one data centre tells another of all its instances.
type Digest struct {
	DataCentre DataCentre
	// Age is how long ago the digest was made.
	Age time.Duration
	// Instances is how many instances the data centre's own see.
	Instances int
	// Settled says that its sender has seen the whole window that limits count in.
	Settled bool
	// Members are the instances of the data centre that may own engines.
	Members []Member
	Loads   []TargetLoad
	Uses    []CustomerUse
	// Speeds are means of what the data centre has observed lately.
	Speeds []TargetSpeed
}

// Member is an instance of a data centre that is heard there and stays.
type Member struct {
	// Hash is drawn from the instance's name.
	Hash    uint64
	Address netip.AddrPort
}

// TargetKey is a short form of a target's name for messages; see KeyOfTarget.
type TargetKey uint32

// TargetLoad is what is in flight at one target.
type TargetLoad struct {
	Target TargetKey
	// Requests are in flight, Prefilling those of them whose prompts the target has
	// still to read, and PrefillTokens the length of these.
	Requests      int
	Prefilling    int
	PrefillTokens int
}

// TargetSpeed is how fast a target was seen to work; zero means not seen.
type TargetSpeed struct {
	Target TargetKey
	// PrefillRate is the speed of reading prompts, in tokens a millisecond.
	PrefillRate float64
	// Step is the time of one token of an answer.
	Step time.Duration
}

// CustomerKey is a short form of a customer's name for messages; see
// KeyOfCustomer.
type CustomerKey uint32

// CustomerUse is what a customer has used within the window of its limit, in the
// limit's unit.
type CustomerUse struct {
	Customer CustomerKey
	Amount   float64
}

// UseParts is how many parts of the window a saved use tells apart.
const UseParts = 8

// SavedUse is what a customer had used at the instances of a data centre, in its limit's
// unit, by equal parts of the window; the newest stands first.
type SavedUse struct {
	DataCentre DataCentre
	Customer   CustomerKey
	Parts      [UseParts]float64
}

// SavedUses is what customers had used at all instances when it was saved.
type SavedUses struct {
	Uses []SavedUse
	// Age is how long ago that was.
	Age time.Duration
}
