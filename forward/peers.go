package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxPeersAsked is how many instances are asked to take one request, within its time: most that can't say so
	// at once. Every second one is of another data centre, since a whole data centre may have lost its links.
	maxPeersAsked = 12
	// busyPause is how long an instance that is busy is not asked, and failedPause one that doesn't answer.
	busyPause   = 200 * time.Millisecond
	failedPause = time.Second
	// minCutPause and maxCutPause bound how long an instance is not asked whose own links fail. The pause
	// doubles each time in a row.
	minCutPause = 2 * time.Second
	maxCutPause = 8 * time.Second
	// oldBuildPause is how long an instance is not asked that doesn't know the exchange.
	oldBuildPause = time.Minute
	// provenPeriod is how long an instance that has served a request counts as able to, and unprovenLoad how
	// many requests it may have more than one that hasn't before that one is tried.
	provenPeriod = 5 * time.Second
	unprovenLoad = 2
	// peerRetention is how long an instance is remembered that is not asked.
	peerRetention = time.Minute
)

// Peer is another instance that may take requests.
type Peer struct {
	// Address is where it takes what other instances send.
	Address string
	// Local is set if it is in this instance's data centre.
	Local bool
}

// peerState is what is known of another instance.
type peerState struct {
	address string
	askedAt time.Time
	// skipUntil is until when it is not asked, and cutPause the last pause because of its links.
	skipUntil time.Time
	cutPause  time.Duration
	// servedAt is when it last opened a connection to a target.
	servedAt time.Time
	// requests is how many requests of this instance it has in hand.
	requests int
}

// peers chooses the instances that are asked to take a request. It is safe for concurrent use.
type peers struct {
	clock shelfshelf.Clock

	mu        sync.Mutex
	byAddress map[string]*peerState
}

// choose returns the instances to be asked for one request, in order: of this data centre and of others in
// turn, and among them those with the fewest requests of this instance first.
func (p *peers) choose(known []Peer) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.forget(now)
	var local, remote []ranked
	for _, peer := range known {
		state := p.byAddress[peer.Address]
		if state != nil && now.Before(state.skipUntil) {
			continue
		}
		r := ranked{address: peer.Address, rank: rankOf(state, now)}
		if peer.Local {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	return inTurn(first(local, maxPeersAsked), first(remote, maxPeersAsked))
}

// inTurn returns instances of this data centre and of others in turn, at most maxPeersAsked.
func inTurn(local, remote []ranked) []string {
	var chosen []string
	for i := range maxPeersAsked {
		if i < len(local) {
			chosen = append(chosen, local[i].address)
		}
		if i < len(remote) {
			chosen = append(chosen, remote[i].address)
		}
	}
	return chosen[:min(len(chosen), maxPeersAsked)]
}

// ranked is an instance and how little it is to be preferred.
type ranked struct {
	address string
	rank    float64
}

// rankOf returns how little an instance is to be preferred. Chance decides among equals.
func rankOf(state *peerState, now time.Time) float64 {
	rank := rand.Float64()
	if state == nil || now.Sub(state.servedAt) > provenPeriod {
		rank += unprovenLoad
	}
	if state != nil {
		rank += float64(state.requests)
	}
	return rank
}

// first returns the instances that are to be preferred most.
func first(candidates []ranked, count int) []ranked {
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	return candidates[:min(len(candidates), count)]
}

// begin notes that an instance is asked.
func (p *peers) begin(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = make(map[string]*peerState)
	}
	state := p.byAddress[address]
	if state == nil {
		state = &peerState{address: address}
		p.byAddress[address] = state
	}
	state.requests++
	state.askedAt = p.clock.Now()
}

// end notes that an instance no longer has a request in hand.
func (p *peers) end(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.byAddress[address]; state != nil {
		state.requests--
	}
}

// record notes an instance's answer; an empty one means that it didn't answer.
func (p *peers) record(address string, answer outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.byAddress[address]
	if state == nil {
		return
	}
	now := p.clock.Now()
	switch answer {
	case outcomeReached:
		state.servedAt, state.cutPause = now, 0
	case outcomeCut:
		state.cutPause = min(max(2*state.cutPause, minCutPause), maxCutPause)
		state.skipUntil = now.Add(state.cutPause)
	case outcomeBusy:
		state.skipUntil = now.Add(busyPause)
	case outcomeOldBuild:
		state.skipUntil = now.Add(oldBuildPause)
	case "":
		state.skipUntil = now.Add(failedPause)
	default:
		// What it says of one target says nothing of others.
	}
}

// forget drops instances that have not been asked for long. The caller must hold p.mu.
func (p *peers) forget(now time.Time) {
	for address, state := range p.byAddress {
		if state.requests == 0 && now.Sub(state.askedAt) > peerRetention {
			delete(p.byAddress, address)
		}
	}
}
