package slots

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// linkUnit and maxLinkUnits bound the weight of a link: that of an instance with 200 Mbit/s is 8,000 times
	// that of one with 10, so that 25 narrow ones beside one wide one own a queue first in 3 of 1,000 draws.
	linkUnit     = 10
	maxLinkUnits = 20
	// ownersLifetime is how long the owners of a data centre are taken from the cache. Instances learn of a
	// change 0.1 to 0.4 s apart, so that this adds little to the time in which two of them own an engine.
	ownersLifetime = 20 * time.Millisecond
)

// QueueOwners returns the owners of the shared queues of a data centre: the count members with the highest weighted
// rendezvous scores, in no particular order. It depends on nothing but the set of members, so that all instances
// agree.
func QueueOwners(members []shelfshelf.Member, count int) []shelfshelf.Member {
	if count >= len(members) {
		return members
	}
	type scored struct {
		member shelfshelf.Member
		score  float64
	}
	ranked := make([]scored, len(members))
	for i, member := range members {
		ranked[i] = scored{member: member, score: queueScore(member)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.member.Hash, a.member.Hash))
	})
	owners := make([]shelfshelf.Member, count)
	for i := range owners {
		owners[i] = ranked[i].member
	}
	return owners
}

// queueCount returns how many owners a data centre with a number of engines has.
func queueCount(engines, enginesPerQueue int) int {
	return max(1, (engines+enginesPerQueue-1)/enginesPerQueue)
}

// queueScore ranks a member as an owner of a queue: the highest of n members with weights w is each with a
// probability in proportion to its weight.
func queueScore(member shelfshelf.Member) float64 {
	// The hash is mixed once more: the scores for targets must not depend on it.
	uniform := (float64(xxhash.Sum64(queueKey(member.Hash))>>11) + 0.5) / (1 << 53)
	return -linkWeight(member.LinkMbps) / math.Log(uniform)
}

// queueKey returns the key under which the hash of an instance is ranked for queues.
func queueKey(hash uint64) []byte {
	key := []byte("queue\x00\x00\x00\x00\x00\x00\x00\x00")
	for i := range 8 {
		key[5+i] = byte(hash >> (8 * i))
	}
	return key
}

// linkWeight is the weight of a member as an owner: the cube of its bandwidth in units, since with a weight in
// proportion to bandwidth, 24 narrow instances would take every fourth queue before two wide ones.
func linkWeight(mbps uint32) float64 {
	units := min(max(float64(mbps)/linkUnit, 1), maxLinkUnits)
	return units * units * units
}

// engineList holds the listed engines and who owns them. It is safe for concurrent use.
type engineList struct {
	mu      sync.Mutex
	version uint64
	engines map[shelfshelf.TargetKey]shelfshelf.DataCentre
	queues  map[shelfshelf.DataCentre]*queueMap
}

// queueMap says who owns the engines of one data centre, as of a version of the list of engines and a set of members.
// All but checkedAt is immutable, since it takes a score for each pair of engine and owner: 28,000 for 476 engines.
type queueMap struct {
	checkedAt   time.Time
	version     uint64
	fingerprint uint64
	owners      []shelfshelf.Member
	ownerOf     map[shelfshelf.TargetKey]netip.AddrPort
	engines     map[netip.AddrPort][]shelfshelf.TargetKey
}

// fingerprintOf returns a hash of a set of members, regardless of their order.
func fingerprintOf(members []shelfshelf.Member) uint64 {
	sum := uint64(len(members))
	for _, m := range members {
		sum += (m.Hash ^ uint64(m.LinkMbps)) * 0x9e3779b97f4a7c15
	}
	return sum
}

// SetEngines replaces the list of engines that share queues, of all pools and data centres.
func (c *Client) SetEngines(engines map[shelfshelf.TargetKey]shelfshelf.DataCentre) {
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	c.engines.engines = engines
	c.engines.version++
}

// SharesQueue reports whether a target is an engine that shares its owner's queue.
func (c *Client) SharesQueue(target shelfshelf.TargetKey) bool {
	if c.EnginesPerQueue <= 1 {
		return false
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	_, listed := c.engines.engines[target]
	return listed
}

// owners returns the instances among which the owner of a target is chosen, and whether the target is an engine
// that shares its owner's queue.
func (c *Client) owners(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) (members []shelfshelf.Member, shared bool) {
	if queues := c.queuesOf(target, dataCentre); queues != nil {
		return queues.owners, true
	}
	return c.Candidates(dataCentre), false
}

// queuesOf returns who owns the engines of a data centre; nil if the target shares no queue.
func (c *Client) queuesOf(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) *queueMap {
	if c.EnginesPerQueue <= 1 {
		return nil
	}
	l := &c.engines
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, listed := l.engines[target]; !listed {
		return nil
	}
	now := c.Clock.Now()
	before := l.queues[dataCentre]
	if before != nil && before.version == l.version && now.Sub(before.checkedAt) < ownersLifetime {
		return before
	}
	members := c.Candidates(dataCentre)
	fingerprint := fingerprintOf(members)
	if before != nil && before.version == l.version && before.fingerprint == fingerprint {
		before.checkedAt = now
		return before
	}
	queues := l.mapQueues(members, dataCentre, c.EnginesPerQueue)
	queues.checkedAt, queues.fingerprint = now, fingerprint
	c.logOwnership(before, queues, dataCentre)
	if l.queues == nil {
		l.queues = make(map[shelfshelf.DataCentre]*queueMap)
	}
	l.queues[dataCentre] = queues
	return queues
}

// mapQueues assigns the engines of a data centre to owners among its members. The caller must hold l.mu.
func (l *engineList) mapQueues(members []shelfshelf.Member, dataCentre shelfshelf.DataCentre, enginesPerQueue int) *queueMap {
	queues := &queueMap{
		version: l.version, ownerOf: make(map[shelfshelf.TargetKey]netip.AddrPort),
		engines: make(map[netip.AddrPort][]shelfshelf.TargetKey),
	}
	var listed []shelfshelf.TargetKey
	for engine, centre := range l.engines {
		if centre == dataCentre {
			listed = append(listed, engine)
		}
	}
	queues.owners = QueueOwners(members, queueCount(len(listed), enginesPerQueue))
	for _, engine := range listed {
		if owner, found := highestScoring(queues.owners, engine, func(netip.AddrPort) bool { return true }); found {
			queues.ownerOf[engine] = owner
			queues.engines[owner] = append(queues.engines[owner], engine)
		}
	}
	return queues
}

// logOwnership logs that this instance has become or ceased to be an owner of shared queues.
func (c *Client) logOwnership(before, now *queueMap, dataCentre shelfshelf.DataCentre) {
	owned := 0
	if before != nil {
		owned = len(before.engines[c.Self.Address])
	}
	if owns := len(now.engines[c.Self.Address]); (owns > 0) != (owned > 0) {
		c.Log.Info("Ownership of shared queues changed.", "dataCentre", dataCentre, "engines", owns, "owners", len(now.owners))
	}
}

// SharedOwner returns the instance that is asked for a slot of an engine, if the engine shares a queue with the
// other engines of that instance.
func (c *Client) SharedOwner(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) (netip.AddrPort, bool) {
	queues := c.queuesOf(target, dataCentre)
	if queues == nil {
		return netip.AddrPort{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.respondingOwnerIn(queues, target)
}

// respondingOwnerIn returns the owner of an engine among those that respond. The caller must hold c.mu.
func (c *Client) respondingOwnerIn(queues *queueMap, target shelfshelf.TargetKey) (netip.AddrPort, bool) {
	if primary, found := queues.ownerOf[target]; found && !c.skipped(primary, c.Clock.Now()) {
		return primary, true
	}
	return c.respondingAmong(queues.owners, target)
}

// SharedQueue returns the engines that share a queue with an engine, this one included; nil if it has its own queue.
func (c *Client) SharedQueue(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) []shelfshelf.TargetKey {
	queues := c.queuesOf(target, dataCentre)
	if queues == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, found := c.respondingOwnerIn(queues, target)
	if !found {
		return nil
	}
	primary := queues.ownerOf[target]
	if owner == primary {
		return queues.engines[primary]
	}
	// The owner is skipped, and its engines are divided among the others.
	var engines []shelfshelf.TargetKey
	for _, engine := range queues.engines[primary] {
		if other, _ := c.respondingOwnerIn(queues, engine); other == owner {
			engines = append(engines, engine)
		}
	}
	return engines
}

// respondingAmong returns the highest-ranked of the members that respond. The caller must hold c.mu.
func (c *Client) respondingAmong(members []shelfshelf.Member, target shelfshelf.TargetKey) (netip.AddrPort, bool) {
	now := c.Clock.Now()
	return highestScoring(members, target, func(owner netip.AddrPort) bool { return !c.skipped(owner, now) })
}

// ownedBy returns those of the targets that share the queue of an owner with the first one, which it always
// includes.
func (c *Client) ownedBy(owner netip.AddrPort, req shelfshelf.SlotRequest) []shelfshelf.TargetKey {
	if req.PrimaryOwnerOnly || len(req.Targets) == 0 {
		return nil
	}
	owned := make([]shelfshelf.TargetKey, 0, len(req.Targets))
	for _, target := range req.Targets[:min(len(req.Targets), shelfshelf.MaxSlotTargets)] {
		other, shared := c.SharedOwner(target, req.DataCentre)
		if target == req.Target || shared && other == owner {
			owned = append(owned, target)
		}
	}
	if len(owned) == 1 {
		return nil
	}
	return owned
}
