package places

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// silenceBound is how long an owner may leave all asks unanswered until the next one is
	// asked: longer than datagrams queue on a busy link of 10 Mbit/s, and shorter than the
	// silence after which gossip takes an instance for gone.
	silenceBound = 250 * time.Millisecond
	// passOver is how long a silent owner is passed over before it is tried again.
	passOver = time.Second
)

// ownerFor returns whom to ask for a place: the instance that owns the engine, among those
// that answer. Where the target has a limit, or may be cold, only its first owner is asked, however
// silent it is: the next one would give out as many sends again.
func (c *Client) ownerFor(ask shelfshelf.PlaceAsk) (netip.AddrPort, bool) {
	if ask.Strict {
		return c.trueOwner(ask.Target, ask.DataCentre)
	}
	return c.owner(ask.Target, ask.DataCentre)
}

// owner returns the instance that owns an engine, among those that answer.
func (c *Client) owner(target shelfshelf.TargetKey, centre shelfshelf.DataCentre) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownerLocked(target, centre)
}

// trueOwner returns the instance that owns a target with a limit, whether it answers or not.
func (c *Client) trueOwner(target shelfshelf.TargetKey, centre shelfshelf.DataCentre) (netip.AddrPort, bool) {
	candidates := c.Candidates(centre)
	if len(candidates) == 0 && c.Substitutes != nil {
		candidates = c.Substitutes(centre)
	}
	return highest(candidates, target, func(netip.AddrPort) bool { return true })
}

// Owns reports that this instance owns a target with a limit.
func (c *Client) Owns(target shelfshelf.TargetKey, centre shelfshelf.DataCentre) bool {
	owner, found := c.trueOwner(target, centre)
	return found && owner == c.Self.Address
}

func (c *Client) ownerLocked(target shelfshelf.TargetKey, centre shelfshelf.DataCentre) (netip.AddrPort, bool) {
	now := c.Clock.Now()
	return highest(c.Candidates(centre), target, func(owner netip.AddrPort) bool { return !c.passedOver(owner, now) })
}

// highest returns the candidate that ranks highest for an engine, of those that fit.
func highest(candidates []shelfshelf.Member, target shelfshelf.TargetKey, fits func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	var best shelfshelf.Member
	var bestScore uint64
	for _, candidate := range candidates {
		if !fits(candidate.Address) {
			continue
		}
		if ranked := score(candidate, target); !best.Address.IsValid() || ranked > bestScore {
			best, bestScore = candidate, ranked
		}
	}
	return best.Address, best.Address.IsValid()
}

// score ranks a candidate for an engine; the highest owns it.
func score(candidate shelfshelf.Member, target shelfshelf.TargetKey) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], candidate.Hash^uint64(target))
	return xxhash.Sum64(key[:])
}

// silence is the time since the first ask that an owner has not answered, without an
// answer to any other. The owner's own asks don't end it: they still come where the way
// is cut in the other direction only.
type silence struct {
	since time.Time
	// reported says that the log has a line on it.
	reported bool
}

// passedOver reports that an owner has been silent for so long that the next one takes
// its place; after some more time it is tried again. The lock is held.
func (c *Client) passedOver(owner netip.AddrPort, now time.Time) bool {
	s := c.silences[owner]
	if s == nil {
		return false
	}
	silent := now.Sub(s.since)
	return silent >= silenceBound && silent < silenceBound+passOver
}

// expect notes that an answer of an owner is due; this instance's own book answers at
// once. The lock is held.
func (c *Client) expect(owner netip.AddrPort) {
	if owner == c.Self.Address {
		return
	}
	if c.silences == nil {
		c.silences = make(map[netip.AddrPort]*silence)
	}
	now := c.Clock.Now()
	s := c.silences[owner]
	switch {
	case s == nil:
		c.silences[owner] = &silence{since: now}
	case now.Sub(s.since) >= silenceBound+passOver:
		// It was passed over and is tried once more.
		s.since = now
	}
}

// heardAnswer ends the silence of an owner.
func (c *Client) heardAnswer(from netip.AddrPort) {
	c.mu.Lock()
	s := c.silences[from]
	delete(c.silences, from)
	c.mu.Unlock()
	if s != nil && s.reported {
		c.Log.Info("An owner of engines answers again.", "owner", from, "after", c.Clock.Now().Sub(s.since))
	}
}

// reportSilence logs once that an owner is passed over.
func (c *Client) reportSilence(owner netip.AddrPort) {
	c.mu.Lock()
	s := c.silences[owner]
	report := s != nil && !s.reported && c.passedOver(owner, c.Clock.Now())
	if report {
		s.reported = true
	}
	c.mu.Unlock()
	if report {
		c.Log.Info("An owner of engines does not answer and is passed over.", "owner", owner, "for", passOver)
	}
}
