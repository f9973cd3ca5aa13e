package slots

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// ownerTimeout is how long an owner may leave all requests unanswered before the next-ranked
	// instance is asked. It is longer than datagrams queue on a busy link of 10 Mbit/s, and shorter
	// than the silence after which gossip considers an instance gone.
	ownerTimeout = 250 * time.Millisecond
	// ownerSkipPeriod is how long an unresponsive owner is skipped before it is tried again.
	ownerSkipPeriod = time.Second
)

// ownerFor returns the owner to ask for a slot: the highest-ranked instance that responds. A
// request with PrimaryOwnerOnly (the target has a rate limit or may be cold) goes to the primary
// owner only, the highest-ranked instance of all, even if that does not respond: any other owner
// would grant the full rate again.
func (c *Client) ownerFor(req shelfshelf.SlotRequest) (netip.AddrPort, bool) {
	if req.PrimaryOwnerOnly {
		return c.primaryOwner(req.Target, req.DataCentre)
	}
	return c.respondingOwner(req.Target, req.DataCentre)
}

// respondingOwner returns the owner of a target among the instances that respond.
func (c *Client) respondingOwner(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.respondingOwnerLocked(target, dataCentre)
}

// respondingOwnerLocked is respondingOwner without locking. The caller must hold c.mu.
func (c *Client) respondingOwnerLocked(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) (netip.AddrPort, bool) {
	members, shared := c.owners(target, dataCentre)
	owner, found := c.respondingAmong(members, target)
	if found || !shared {
		return owner, found
	}
	// None of the owners of queues responds: any other instance may be the owner.
	return c.respondingAmong(c.Candidates(dataCentre), target)
}

// primaryOwner returns the highest-ranked owner of a target, whether it responds or not. If no
// instance runs in the data centre, it is one of the FallbackCandidates.
func (c *Client) primaryOwner(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) (netip.AddrPort, bool) {
	candidates, _ := c.owners(target, dataCentre)
	if len(candidates) == 0 && c.FallbackCandidates != nil {
		candidates = c.FallbackCandidates(dataCentre)
	}
	return highestScoring(candidates, target, func(netip.AddrPort) bool { return true })
}

// Owns reports whether this instance is the primary owner of a target.
func (c *Client) Owns(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) bool {
	owner, found := c.primaryOwner(target, dataCentre)
	return found && owner == c.Self.Address
}

// highestScoring returns the eligible candidate with the highest score for a target.
func highestScoring(candidates []shelfshelf.Member, target shelfshelf.TargetKey, eligible func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	var best shelfshelf.Member
	var bestScore uint64
	for _, candidate := range candidates {
		if !eligible(candidate.Address) {
			continue
		}
		if candidateScore := score(candidate, target); !best.Address.IsValid() || candidateScore > bestScore {
			best, bestScore = candidate, candidateScore
		}
	}
	return best.Address, best.Address.IsValid()
}

// score ranks a candidate for a target by rendezvous hashing; the highest score owns it.
func score(candidate shelfshelf.Member, target shelfshelf.TargetKey) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], candidate.Hash^uint64(target))
	return xxhash.Sum64(key[:])
}

// pendingAnswer tracks an owner that has not answered any request since the given time, that of the
// first unanswered one. Only answers end this state: other messages of the owner arrive even if the
// link to it is broken.
type pendingAnswer struct {
	since time.Time
	// logged says that the skipping of the owner was logged.
	logged bool
}

// skipped reports whether an owner has been unresponsive for so long that the next-ranked instance
// takes over. After ownerSkipPeriod it is tried again. The caller must hold c.mu.
func (c *Client) skipped(owner netip.AddrPort, now time.Time) bool {
	pending := c.pendingAnswers[owner]
	if pending == nil {
		return false
	}
	elapsed := now.Sub(pending.since) - c.allowance()
	return elapsed >= ownerTimeout && elapsed < ownerTimeout+ownerSkipPeriod
}

// awaitAnswer records that an answer of an owner is due; this instance answers its own requests at
// once. The caller must hold c.mu.
func (c *Client) awaitAnswer(owner netip.AddrPort) {
	if owner == c.Self.Address {
		return
	}
	if c.pendingAnswers == nil {
		c.pendingAnswers = make(map[netip.AddrPort]*pendingAnswer)
	}
	now := c.Clock.Now()
	pending := c.pendingAnswers[owner]
	switch {
	case pending == nil:
		c.pendingAnswers[owner] = &pendingAnswer{since: now}
	case now.Sub(pending.since) >= ownerTimeout+ownerSkipPeriod:
		// The owner was skipped and is tried once more.
		pending.since = now
	}
}

// clearPendingAnswer records that an owner has answered.
func (c *Client) clearPendingAnswer(from netip.AddrPort) {
	c.mu.Lock()
	pending := c.pendingAnswers[from]
	delete(c.pendingAnswers, from)
	c.mu.Unlock()
	if pending != nil && pending.logged {
		c.Log.Info("Slot owner responds again.", "owner", from, "after", c.Clock.Now().Sub(pending.since))
	}
}

// logSkippedOwner logs once that an owner is skipped.
func (c *Client) logSkippedOwner(owner netip.AddrPort) {
	c.mu.Lock()
	pending := c.pendingAnswers[owner]
	shouldLog := pending != nil && !pending.logged && c.skipped(owner, c.Clock.Now())
	if shouldLog {
		pending.logged = true
	}
	c.mu.Unlock()
	if shouldLog {
		c.Log.Info("Slot owner does not respond; it is skipped.", "owner", owner, "for", ownerSkipPeriod)
	}
}
