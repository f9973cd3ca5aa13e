package shelfshelf

import "time"

// BlockTokens is the number of prompt tokens that one prefix block covers.
const BlockTokens = 64

// BlockHash identifies a prompt's first blocks: it is chained from the start.
type BlockHash uint64

// PrefixMark is one point of a prompt up to which an engine may hold it.
type PrefixMark struct {
	// Tokens is how much of the prompt the mark covers, in tokens.
	Tokens int
	// Hash identifies the prompt's text up to there.
	Hash BlockHash
}

// Ask describes one request to the owner of its pool; it never carries a body.
type Ask struct {
	ID       RequestID
	Customer CustomerName
	Route    RouteName
	Pool     PoolName
	Tier     Tier
	// Weight is the customer's share inside its tier; 1 is usual.
	Weight float64
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int
	// Prefix holds marks of the prompt, the shortest first.
	Prefix []PrefixMark
	// Arrived is when the entry had the whole request.
	Arrived time.Time
	// FirstTokenBy is when the first token is due; zero if the route sets none.
	FirstTokenBy time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// Avoid lists targets that refused this request before running it.
	Avoid []TargetName
}

// RefusalReason says why a request was not granted.
type RefusalReason uint8

// The reasons for a refusal.
const (
	// RefusedShed means that capacity ran short and the request was the lowest.
	RefusedShed RefusalReason = iota + 1
	// RefusedDeadline means that no engine could answer in time.
	RefusedDeadline
	// RefusedNoTarget means that the pool has no target that could ever serve it.
	RefusedNoTarget
	// RefusedLimit means that the customer or the route is over its limit.
	RefusedLimit
	// RefusedStopping means that the instance that decides is stopping.
	RefusedStopping
	// RefusedOrder means that a higher tier is refused too often for this one to look for
	// a place.
	RefusedOrder
	// RefusedRest means that all targets want rest for longer than the request can wait.
	RefusedRest
)

// String returns the reason as logs, metrics and callers see it.
func (r RefusalReason) String() string {
	switch r {
	case RefusedShed:
		return "shed"
	case RefusedDeadline:
		return "deadline"
	case RefusedNoTarget:
		return "no target"
	case RefusedLimit:
		return "limit"
	case RefusedStopping:
		return "stopping"
	case RefusedOrder:
		return "shed before a higher tier"
	case RefusedRest:
		return "all want rest"
	}
	return "unspecified"
}

// Decision is the final answer to an ask: a grant if Granted, else a refusal.
type Decision struct {
	ID      RequestID
	Granted bool
	// Target is where to dispatch; set on a grant.
	Target TargetName
	// Priority is the engine's own order of work, 0 first; set on a grant.
	Priority int
	// CachedTokens is how much of the prompt the engine is thought to hold.
	CachedTokens int
	// ValidUntil is when an unused grant ends.
	ValidUntil time.Time
	// Reason is set on a refusal.
	Reason RefusalReason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Completion tells a policy that a granted request has left its engine.
type Completion struct {
	ID      RequestID
	Target  TargetName
	Outcome Outcome
	// Refused says that the target itself refused the request or could not be
	// reached, with OutcomeNotRun; not that the grant was not used.
	Refused bool
	// OutputTokens is the number of tokens the engine produced.
	OutputTokens int
	// CacheKnown says that the engine told how much of the prompt it held.
	CacheKnown bool
	// CachedTokens is how much of the prompt the engine held, in tokens.
	CachedTokens int
}

// LoadReport is what a target says of its own load, always some time ago.
type LoadReport struct {
	Target TargetName
	// At is when the target measured it, on the clock of the reader.
	At time.Time
	// Running counts sequences in the batch, of every sender.
	Running int
	// Waiting counts sequences in the target's own queue, of every sender.
	Waiting int
	// PendingPrefillTokens is the prompt work ahead, of every sender.
	PendingPrefillTokens int
	// StepTime is the mean duration of the target's latest steps.
	StepTime time.Duration
	// ExpectedStepTime is what such steps take at the declared speed.
	ExpectedStepTime time.Duration
	// Leaving says that the target wants no new work.
	Leaving bool
}

// CacheEvent tells which prompt blocks an engine stored and dropped.
type CacheEvent struct {
	Target TargetName
	// Sequence counts an engine's events from 1; a hole means a lost event.
	Sequence uint64
	Stored   []BlockHash
	Removed  []BlockHash
}

// Policy decides for one shard which waiting request goes to which engine and
// when. Calls come one at a time; now never goes back.
type Policy interface {
	// SetTargets replaces the targets that may get new work.
	SetTargets(now time.Time, targets []Target)
	// Ask puts a request in line.
	Ask(now time.Time, ask Ask)
	// Hold records a request that an earlier owner has granted.
	Hold(now time.Time, ask Ask, target TargetName)
	// Cancel takes a request out of the line.
	Cancel(now time.Time, id RequestID)
	// FirstToken records that a granted request's prompt has been read.
	FirstToken(now time.Time, id RequestID)
	// Done records that a granted request has left its engine.
	Done(now time.Time, completion Completion)
	// Report takes a target's load report.
	Report(now time.Time, report LoadReport)
	// CacheEvent takes an engine's cache event.
	CacheEvent(now time.Time, event CacheEvent)
	// Decide returns the grants and refusals that are due.
	Decide(now time.Time) []Decision
	// Waiting returns the number of requests in line by tier.
	Waiting() map[Tier]int
}
