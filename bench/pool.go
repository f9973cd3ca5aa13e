package bench

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/schedule"
)

// simPool is one pool with its policy.
type simPool struct {
	sim     *sim
	name    shelfshelf.PoolName
	targets []shelfshelf.Target
	policy  shelfshelf.Policy
	// down is set while the pool has no owner.
	down bool
	// line holds the requests that have asked and not been decided.
	line map[shelfshelf.RequestID]*request
	// grants notes lower tiers' grants, to find inversions.
	grants []grantNote
}

// grantNote is one grant, for the search of inversions.
type grantNote struct {
	at      time.Time
	arrived time.Time
	tier    shelfshelf.Tier
	aged    bool
	target  *simTarget
	slow    bool
}

// reset gives the pool a new policy, as a new owner would have.
func (p *simPool) reset() {
	p.policy = p.sim.run.Policy.New(schedule.Config{
		Tiers:   p.sim.run.Bundle.Tiers,
		Tuning:  p.sim.run.Tuning,
		Entries: entries,
		Truth:   &truth{sim: p.sim},
	})
	p.policy.SetTargets(p.sim.now, p.targets)
	if p.line == nil {
		p.line = make(map[shelfshelf.RequestID]*request)
	}
}

func (p *simPool) ask(r *request) {
	p.line[r.id] = r
	if p.down {
		return
	}
	p.policy.Ask(p.sim.now, r.ask)
	p.decide()
}

func (p *simPool) tick() {
	p.decide()
	p.sim.after(tick, p.tick)
}

// decide carries out what the policy decides.
func (p *simPool) decide() {
	if p.down {
		return
	}
	for _, decision := range p.policy.Decide(p.sim.now) {
		r := p.line[decision.ID]
		if r == nil {
			continue
		}
		delete(p.line, decision.ID)
		if !decision.Granted {
			p.refused(r, decision)
			continue
		}
		p.granted(r, decision)
	}
}

func (p *simPool) granted(r *request, decision shelfshelf.Decision) {
	s := p.sim
	r.granted = s.now
	name := s.tierName(r.route.Tier)
	waited := s.now.Sub(r.ask.Arrived)
	s.result.LongestWait[name] = max(s.result.LongestWait[name], waited)
	target := s.targets[decision.Target]
	bound := s.run.Bundle.Tiers[r.route.Tier].MaxWait
	p.grants = append(p.grants, grantNote{
		at:      s.now,
		arrived: r.ask.Arrived,
		tier:    r.route.Tier,
		aged:    bound > 0 && waited >= bound,
		target:  target,
		slow:    target.slowdown() > 1,
	})
	s.after(s.hop+toTarget, func() { target.submit(r, decision.Priority) })
}

func (p *simPool) refused(r *request, decision shelfshelf.Decision) {
	if decision.Reason == shelfshelf.RefusedShed || decision.Reason == shelfshelf.RefusedDeadline {
		p.countInversion(r, decision.Reason)
	}
	if decision.Reason == shelfshelf.RefusedShed {
		p.sim.finish(r, classShed)
		return
	}
	p.sim.finish(r, classRefused)
}

// countInversion looks for a request of a lower tier that was kept while this
// one was given up: still in line when it was shed; or come later and granted,
// not by its bounded wait, an engine at its declared speed that could have read
// this one's prompt in time.
func (p *simPool) countInversion(r *request, reason shelfshelf.RefusalReason) {
	if reason == shelfshelf.RefusedShed {
		for _, other := range p.line {
			if other.route.Tier > r.route.Tier {
				p.sim.result.Inversions++
				return
			}
		}
		return
	}
	for i := len(p.grants) - 1; i >= 0; i-- {
		grant := &p.grants[i]
		if grant.at.Before(r.ask.Arrived) {
			return
		}
		lower := grant.tier > r.route.Tier && !grant.aged && grant.arrived.After(r.ask.Arrived)
		if lower && !grant.slow && grant.target.couldRead(r, grant.at) {
			p.sim.result.Inversions++
			return
		}
	}
}

// lose takes the pool's owner away with its line; the entries ask the next one,
// which learns of the requests in flight.
func (p *simPool) lose() {
	p.down = true
	p.sim.after(ownerDown, func() {
		p.reset()
		for _, id := range p.sim.sortedIDs() {
			r := p.sim.requests[id]
			if r.dispatched && !r.ended && r.route.Pool == p.name {
				p.policy.Hold(p.sim.now, r.ask, r.target)
				if !r.firstToken.IsZero() {
					p.policy.FirstToken(p.sim.now, r.id)
				}
			}
		}
		for _, id := range p.sim.sortedIDs() {
			if r := p.line[id]; r != nil {
				p.policy.Ask(p.sim.now, r.ask)
			}
		}
		p.sim.after(handOver, func() {
			p.down = false
			p.decide()
		})
	})
}
