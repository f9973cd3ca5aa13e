package balance

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf/fairshare"
)

// claim returns for whom the request of a need uses slot time.
func (n Need) claim() fairshare.Claim {
	return fairshare.Claim{Customer: uint32(n.Customer), Weight: n.Weight}
}

// shareFairly makes the queue of a pool fair between customers if queues are to be. The caller must
// hold b.mu.
func (b *Balancer) shareFairly(p *pool) {
	if b.FairQueues && p.usage == nil {
		p.usage = &fairshare.Usage{}
	}
}

// charge charges a slot of a plain target to the customer, for the expected time of the call until its
// release. Slots of engines are charged by their owners, which see the requests of all instances.
func (p *pool) charge(l *Lease) {
	if p.usage == nil || l.state.engine {
		return
	}
	l.charged = l.state.callTime()
	p.usage.Add(l.need.claim(), l.charged, l.grantedAt)
}

// correctCharge replaces the charge of a slot that is released by its actual time; unused says that
// the request was never sent. The caller must hold b.mu.
func (b *Balancer) correctCharge(l *Lease, unused bool, now time.Time) {
	p := b.pools[l.need.Pool]
	if p == nil || p.usage == nil || l.charged == 0 {
		return
	}
	actual := now.Sub(l.grantedAt)
	if unused {
		actual = 0
	}
	p.usage.Correct(uint32(l.need.Customer), actual-l.charged, l.grantedAt)
}

// bringFairestTo moves the waiting request to dispatch next to an index: of those that are equal to
// the one there but for their arrival, the first of the customer with the lowest level.
func (p *pool) bringFairestTo(index int, now time.Time) {
	if p.usage == nil {
		return
	}
	first := p.queue[index].need
	fairest, lowest := index, p.usage.Level(first.claim(), now)
	for i := index + 1; i < len(p.queue) && equalButArrival(p.queue[i].need, first); i++ {
		if level := p.usage.Level(p.queue[i].need.claim(), now); level < lowest {
			fairest, lowest = i, level
		}
	}
	if fairest != index {
		w := p.queue[fairest]
		p.queue = slices.Delete(p.queue, fairest, fairest+1)
		p.queue = slices.Insert(p.queue, index, w)
	}
}

// equalButArrival reports whether two requests differ in nothing that orders the queue but their
// arrival.
func equalButArrival(a, b Need) bool {
	return a.Started == b.Started && a.Rank == b.Rank && a.Tier == b.Tier
}
