package shelfshelf

import "time"

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 64

// BlockHash identifies a prefix of a prompt that ends at a block boundary; it is chained from the start
// of the prompt.
type BlockHash uint64

// PromptPrefix is a prefix of a prompt that an engine may have cached.
type PromptPrefix struct {
	// Tokens is the length of the prefix in tokens.
	Tokens int
	// Hash identifies the text of the prefix.
	Hash BlockHash
}

// Ask describes a request to the owner of its pool; it never includes the body.
type Ask struct {
	ID       RequestID
	Customer CustomerName
	Route    RouteName
	Pool     PoolName
	Tier     Tier
	// Weight is the customer's share within its tier; the usual value is 1.
	Weight float64
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the expected length of the response in tokens.
	OutputTokens int
	// Prefix holds prefixes of the prompt, the shortest first.
	Prefix []PromptPrefix
	// Arrived is when the receiving instance had read the whole request.
	Arrived time.Time
	// FirstTokenBy is when the first token is due; zero if the route has no objective for it.
	FirstTokenBy time.Time
	// Deadline is when the whole response is due.
	Deadline time.Time
	// Avoid lists targets that refused this request before running it.
	Avoid []TargetName
}

// RefusalReason is the reason why a request was not granted.
type RefusalReason uint8

// The reasons for a refusal.
const (
	// RefusedShed means that capacity was short and the request had the lowest priority.
	RefusedShed RefusalReason = iota + 1
	// RefusedDeadline means that no engine could respond before the deadline.
	RefusedDeadline
	// RefusedNoTarget means that the pool has no target that could ever serve the request.
	RefusedNoTarget
	// RefusedLimit means that the customer or the route has exceeded its limit.
	RefusedLimit
	// RefusedStopping means that the deciding instance is shutting down.
	RefusedStopping
	// RefusedForHigherTier means that requests of a higher tier are refused too often for this request to be
	// given a target.
	RefusedForHigherTier
	// RefusedBackoff means that the backoff of all targets lasts longer than the request can wait.
	RefusedBackoff
)

// String returns the text used in logs and metrics and sent to callers.
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
	case RefusedForHigherTier:
		return "shed before a higher tier"
	case RefusedBackoff:
		return "all want rest"
	}
	return "unspecified"
}

// Decision is the final answer to an Ask: a grant if Granted is set, else a refusal.
type Decision struct {
	ID      RequestID
	Granted bool
	// Target is the target to dispatch to; set on a grant.
	Target TargetName
	// Priority is the scheduling priority at the engine, 0 first; set on a grant.
	Priority int
	// CachedTokens is the number of prompt tokens that the engine is expected to have cached.
	CachedTokens int
	// ValidUntil is when the grant expires if it is not used.
	ValidUntil time.Time
	// Reason is set on a refusal.
	Reason RefusalReason
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
}

// Completion reports to a policy that a granted request has left its engine.
type Completion struct {
	ID      RequestID
	Target  TargetName
	Outcome Outcome
	// Refused is set, together with OutcomeNotRun, if the target refused the request or could not be
	// reached. It is not set if the grant was not used.
	Refused bool
	// OutputTokens is the number of tokens that the engine generated.
	OutputTokens int
	// CacheKnown is set if the engine reported how many prompt tokens it had cached.
	CacheKnown bool
	// CachedTokens is the number of prompt tokens that the engine had cached.
	CachedTokens int
}

// LoadReport is a target's report of its own load; it is always somewhat out of date.
type LoadReport struct {
	Target TargetName
	// At is when the target measured the load, by the reader's clock.
	At time.Time
	// Running is the number of sequences in the batch, from all senders.
	Running int
	// Waiting is the number of sequences in the target's own queue, from all senders.
	Waiting int
	// PendingPrefillTokens is the number of prompt tokens still to be prefilled, for all senders.
	PendingPrefillTokens int
	// StepTime is the mean duration of the target's latest steps.
	StepTime time.Duration
	// ExpectedStepTime is the duration of such steps at the declared speed.
	ExpectedStepTime time.Duration
	// Leaving is set if the target is shutting down and wants no new requests.
	Leaving bool
}

// CacheEvent lists the prompt blocks that an engine has added to its prefix cache and evicted from it.
type CacheEvent struct {
	Target TargetName
	// Sequence numbers an engine's events from 1; a gap means that an event was lost.
	Sequence uint64
	Stored   []BlockHash
	Removed  []BlockHash
}

// Policy is the scheduling policy of one shard: it decides which queued request is dispatched to which
// engine, and when. Its methods are not called concurrently, and now never goes back.
type Policy interface {
	// SetTargets replaces the targets that may get new requests.
	SetTargets(now time.Time, targets []Target)
	// Ask adds a request to the queue.
	Ask(now time.Time, ask Ask)
	// Hold records a request that an earlier owner of the pool has granted.
	Hold(now time.Time, ask Ask, target TargetName)
	// Cancel removes a request from the queue.
	Cancel(now time.Time, id RequestID)
	// FirstToken records that the prefill of a granted request is finished.
	FirstToken(now time.Time, id RequestID)
	// Done records that a granted request has left its engine.
	Done(now time.Time, completion Completion)
	// Report processes a target's load report.
	Report(now time.Time, report LoadReport)
	// CacheEvent processes a cache event of an engine.
	CacheEvent(now time.Time, event CacheEvent)
	// Decide returns the grants and refusals that are due.
	Decide(now time.Time) []Decision
	// Waiting returns the number of queued requests by tier.
	Waiting() map[Tier]int
}
