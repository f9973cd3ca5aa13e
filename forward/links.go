package forward

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// minFailedDial is the least duration of a dial that got no answer and counts as failed. A shorter one
	// was ended by a request that had no more time.
	minFailedDial = 100 * time.Millisecond
	// deadPeriod is how long a target that other instances couldn't reach either counts as gone, so that requests
	// don't wait for others to try. They are asked beside.
	deadPeriod = 5 * time.Second
	// confirmInterval is how often other instances are asked for one target beside requests, and
	// deadConfirmInterval how often if they didn't reach it either.
	confirmInterval     = 250 * time.Millisecond
	deadConfirmInterval = time.Second
	// linkRetention is how long a link is remembered that is neither used nor probed.
	linkRetention = time.Minute
)

// linkState is what this instance believes of its link to a target.
type linkState uint8

const (
	// linkUp means that nothing is known against the link.
	linkUp linkState = iota
	// linkDoubtful means that the link may be down, or up again.
	linkDoubtful
	// linkDown means that a connection failed which another instance could open.
	linkDown
	// linkDead means that other instances don't reach the target either.
	linkDead
)

// link is what is known of the link to one target.
type link struct {
	target shelfshelf.Target
	usedAt time.Time
	// failedAt is when the last connection failed; zero after one that was opened.
	failedAt time.Time
	// downAt is when another instance last reached the target while this one didn't; zero if the link is up.
	downAt time.Time
	// deadUntil is until when the target counts as gone.
	deadUntil time.Time
	// deadLoggedAt is when that was last logged.
	deadLoggedAt time.Time
	// confirming is set while other instances are asked beside requests whether they reach the target, and
	// confirmedAt is when they last were.
	confirming  bool
	confirmedAt time.Time
}

// poolLinks is what is known of the links to the targets of one pool.
type poolLinks struct {
	// downAt is when a link to one of its targets was last found to be down, and dialedAt when a connection to
	// one was last opened.
	downAt   time.Time
	dialedAt time.Time
	// cutAt is when this instance was found to reach neither of two of its targets; zero after any connection.
	cutAt time.Time
}

// links tells a target that is gone from a link of this instance that fails. It is safe for concurrent use.
type links struct {
	clock shelfshelf.Clock
	log   *log.Logger

	mu        sync.Mutex
	byAddress map[string]*link
	pools     map[shelfshelf.PoolName]*poolLinks
}

func newLinks(clock shelfshelf.Clock, logger *log.Logger) *links {
	return &links{
		clock: clock, log: logger, byAddress: make(map[string]*link), pools: make(map[shelfshelf.PoolName]*poolLinks),
	}
}

// use notes that a request goes to a target, and returns what is known of the link.
func (l *links) use(target shelfshelf.Target) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddress[target.Address]
	if k == nil || !k.target.SameIncarnation(target) || k.target.Name != target.Name {
		k = &link{}
		l.byAddress[target.Address] = k
	}
	k.target = target
	k.usedAt = l.clock.Now()
	return l.stateOf(k)
}

// state returns what is known of the link to a target.
func (l *links) state(target shelfshelf.Target) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byAddress[target.Address]; k != nil {
		return l.stateOf(k)
	}
	return l.stateOf(&link{target: target})
}

// stateOf returns what is known of a link. A connection that was opened to another target of the pool
// means that the links may be up again. The caller must hold l.mu.
func (l *links) stateOf(k *link) linkState {
	pool := l.poolOf(k)
	switch {
	case !k.downAt.IsZero() && !pool.dialedAt.After(k.downAt):
		return linkDown
	case !k.downAt.IsZero() || pool.downAt.After(pool.dialedAt) || !pool.cutAt.IsZero():
		return linkDoubtful
	case l.clock.Now().Before(k.deadUntil):
		return linkDead
	}
	return linkUp
}

// poolOf returns the links of a target's pool. The caller must hold l.mu.
func (l *links) poolOf(k *link) *poolLinks {
	pool := l.pools[k.target.Pool]
	if pool == nil {
		pool = &poolLinks{}
		l.pools[k.target.Pool] = pool
	}
	return pool
}

// dialed notes the result of an attempt to open a connection.
func (l *links) dialed(address string, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	k := l.byAddress[address]
	if k == nil {
		return
	}
	if err != nil {
		if isRefused(err) || took >= minFailedDial {
			k.failedAt = now
		}
		return
	}
	if !k.downAt.IsZero() {
		l.log.Info("The link to a target is back.", "target", k.target.Name, "address", address, "after", now.Sub(k.downAt))
	}
	k.failedAt, k.downAt, k.deadUntil = time.Time{}, time.Time{}, time.Time{}
	pool := l.poolOf(k)
	pool.dialedAt = now
	l.endCutLocked(k.target.Pool, pool)
}

// endCut notes that this instance reaches targets of a pool again, or that there are none.
func (l *links) endCut(name shelfshelf.PoolName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pool := l.pools[name]; pool != nil {
		l.endCutLocked(name, pool)
	}
}

// endCutLocked implements endCut. The caller must hold l.mu.
func (l *links) endCutLocked(name shelfshelf.PoolName, pool *poolLinks) {
	if !pool.cutAt.IsZero() {
		l.log.Info("This instance reaches targets again.", "pool", name, "after", l.clock.Now().Sub(pool.cutAt))
		pool.cutAt = time.Time{}
	}
}

// foundCut notes that this instance reaches neither of two targets of a pool.
func (l *links) foundCut(name shelfshelf.PoolName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.poolOf(&link{target: shelfshelf.Target{Pool: name}})
	if pool.cutAt.IsZero() {
		pool.cutAt = l.clock.Now()
		l.log.Warn("This instance reaches neither of two targets.", "pool", name)
	}
}

// cutPools returns the pools that this instance is thought to be cut off from.
func (l *links) cutPools() []shelfshelf.PoolName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cut []shelfshelf.PoolName
	for name, pool := range l.pools {
		if !pool.cutAt.IsZero() {
			cut = append(cut, name)
		}
	}
	return cut
}

// beginConfirm reports whether other instances are to be asked for a target that was not reached; they are
// asked once at a time.
func (l *links) beginConfirm(target shelfshelf.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddress[target.Address]
	if k == nil || k.confirming {
		return false
	}
	now := l.clock.Now()
	interval := confirmInterval
	if now.Before(k.deadUntil) {
		interval = deadConfirmInterval
	}
	if now.Sub(k.confirmedAt) < interval {
		return false
	}
	k.confirming = true
	k.confirmedAt = now
	return true
}

func (l *links) endConfirm(target shelfshelf.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byAddress[target.Address]; k != nil {
		k.confirming = false
	}
}

// reachedBy notes that another instance has reached a target. It reports whether the link of this instance
// has been found to be down by that.
func (l *links) reachedBy(target shelfshelf.Target, peer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddress[target.Address]
	if k == nil || k.failedAt.IsZero() {
		return false
	}
	now := l.clock.Now()
	found := k.downAt.IsZero()
	k.downAt, k.deadUntil = now, time.Time{}
	l.poolOf(k).downAt = now
	if found {
		l.log.Warn("The link to a target is down; another instance reaches it.", "target", target.Name, "address", target.Address,
			"peer", peer, "failed", now.Sub(k.failedAt))
	}
	return found
}

// unreachedBy notes that other instances don't reach a target either.
func (l *links) unreachedBy(target shelfshelf.Target, instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddress[target.Address]
	if k == nil {
		return
	}
	k.deadUntil = l.clock.Now().Add(deadPeriod)
	k.downAt = time.Time{}
	now := l.clock.Now()
	if now.Sub(k.deadLoggedAt) < deadPeriod {
		return
	}
	k.deadLoggedAt = now
	l.log.Info("Other instances don't reach a target either.", "target", target.Name, "address", target.Address, "instances", instances)
}

// down returns the targets to which links are down, those that were found so longest ago first, at most as
// many as asked for, and forgets links that are no longer used.
func (l *links) down(count int) []shelfshelf.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var oldest []*link
	for address, k := range l.byAddress {
		if now.Sub(k.usedAt) > linkRetention {
			delete(l.byAddress, address)
			continue
		}
		if !k.downAt.IsZero() {
			oldest = append(oldest, k)
		}
	}
	return probeOrder(oldest, count)
}

// countDown returns how many links are down.
func (l *links) countDown() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, k := range l.byAddress {
		if !k.downAt.IsZero() {
			count++
		}
	}
	return count
}
