package owner

import (
	"context"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// tickPeriod is how often a shard decides when nothing happens.
	tickPeriod = 10 * time.Millisecond
	// warmUp is how long a new owner collects what is in flight before it grants.
	warmUp = 250 * time.Millisecond
)

// Shard is one owner's line: a policy behind a lock, and who waits for what.
// It is safe for concurrent use.
type Shard struct {
	Clock  shelfshelf.Clock
	Policy shelfshelf.Policy

	mu      sync.Mutex
	waiters map[shelfshelf.RequestID]chan shelfshelf.Decision
	granted map[shelfshelf.RequestID]shelfshelf.TargetName
	// notBefore is when a new owner begins to grant.
	notBefore time.Time
	counts    Counts
	// wake ends the rest of a shard without a line.
	wake chan struct{}
}

// Counts is what a shard has decided since it began.
type Counts struct {
	Asked   uint64
	Granted uint64
	Refused map[shelfshelf.RefusalReason]uint64
}

// NewShard returns a shard that decides by the policy.
func NewShard(clock shelfshelf.Clock, policy shelfshelf.Policy) *Shard {
	return &Shard{
		Clock:   clock,
		Policy:  policy,
		waiters: make(map[shelfshelf.RequestID]chan shelfshelf.Decision),
		granted: make(map[shelfshelf.RequestID]shelfshelf.TargetName),
		counts:  Counts{Refused: make(map[shelfshelf.RefusalReason]uint64)},
		wake:    make(chan struct{}, 1),
	}
}

// WarmUp holds grants back for a moment, so that entries can tell what is in
// flight; a shard that has something in flight already goes on.
func (s *Shard) WarmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notBefore = s.Clock.Now().Add(warmUp)
}

// SetTargets replaces the targets that may get work.
func (s *Shard) SetTargets(targets []shelfshelf.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Policy.SetTargets(s.Clock.Now(), targets)
	s.decide()
}

// Ask waits for the decision on a request.
func (s *Shard) Ask(ctx context.Context, ask shelfshelf.Ask) (shelfshelf.Decision, error) {
	answer := make(chan shelfshelf.Decision, 1)
	s.mu.Lock()
	s.waiters[ask.ID] = answer
	s.counts.Asked++
	s.Policy.Ask(s.Clock.Now(), ask)
	s.decide()
	waits := len(s.waiters) > 0
	s.mu.Unlock()
	if waits {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	select {
	case decision := <-answer:
		return decision, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, ask.ID)
	s.Policy.Cancel(s.Clock.Now(), ask.ID)
	select {
	case decision := <-answer:
		// The grant came together with the cancelling: it is given back.
		s.finish(shelfshelf.Completion{ID: ask.ID, Target: decision.Target, Outcome: shelfshelf.OutcomeNotRun})
	default:
	}
	return shelfshelf.Decision{}, ctx.Err()
}

// Hold counts a request that another owner has granted.
func (s *Shard) Hold(ask shelfshelf.Ask, target shelfshelf.TargetName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted[ask.ID] = target
	s.Policy.Hold(s.Clock.Now(), ask, target)
}

// FirstToken records that a request's prompt has been read.
func (s *Shard) FirstToken(id shelfshelf.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Policy.FirstToken(s.Clock.Now(), id)
	s.decide()
}

// Done records that a request has left its target.
func (s *Shard) Done(completion shelfshelf.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(completion)
	s.decide()
}

func (s *Shard) finish(completion shelfshelf.Completion) {
	// The end of an earlier grant must not take away a later one's.
	if s.granted[completion.ID] == completion.Target {
		delete(s.granted, completion.ID)
	}
	s.Policy.Done(s.Clock.Now(), completion)
}

// Report takes a target's load report.
func (s *Shard) Report(report shelfshelf.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Policy.Report(s.Clock.Now(), report)
}

// CacheEvent takes an engine's cache event.
func (s *Shard) CacheEvent(event shelfshelf.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Policy.CacheEvent(s.Clock.Now(), event)
}

// Waiting returns the number of requests in line by tier.
func (s *Shard) Waiting() map[shelfshelf.Tier]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Policy.Waiting()
}

// InFlight returns the number of granted requests.
func (s *Shard) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.granted)
}

// Counts returns what the shard has decided so far.
func (s *Shard) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Refused = make(map[shelfshelf.RefusalReason]uint64, len(s.counts.Refused))
	for reason, count := range s.counts.Refused {
		counts.Refused[reason] = count
	}
	return counts
}

// decide hands out what is due; the lock is held.
func (s *Shard) decide() {
	now := s.Clock.Now()
	if now.Before(s.notBefore) {
		return
	}
	for _, decision := range s.Policy.Decide(now) {
		if decision.Granted {
			s.counts.Granted++
			s.granted[decision.ID] = decision.Target
		} else {
			s.counts.Refused[decision.Reason]++
		}
		waiter := s.waiters[decision.ID]
		if waiter == nil {
			s.finish(shelfshelf.Completion{ID: decision.ID, Target: decision.Target, Outcome: shelfshelf.OutcomeNotRun})
			continue
		}
		delete(s.waiters, decision.ID)
		waiter <- decision
	}
}

// Run decides every so often while anyone waits, until the context ends.
func (s *Shard) Run(ctx context.Context) error {
	for {
		s.mu.Lock()
		s.decide()
		waits := len(s.waiters) > 0
		s.mu.Unlock()
		if !waits {
			select {
			case <-ctx.Done():
				return nil
			case <-s.wake:
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(tickPeriod):
		}
	}
}
