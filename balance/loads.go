package balance

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// LocalLoads returns the load of this instance for its next status, and records it as reported.
func (b *Balancer) LocalLoads() []shelfshelf.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []shelfshelf.TargetLoad
	for _, t := range b.targetsByKey {
		t.reportedLocal = t.local
		if t.local.requests > 0 {
			loads = append(loads, t.toTargetLoad(t.local))
		}
	}
	return loads
}

// DataCentreLoads returns the load of all instances of this data centre.
func (b *Balancer) DataCentreLoads() []shelfshelf.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var loads []shelfshelf.TargetLoad
	for _, t := range b.targetsByKey {
		if sum := t.sumDataCentreLoad(now); sum.requests > 0 {
			loads = append(loads, t.toTargetLoad(sum))
		}
	}
	return loads
}

// SetPeerLoads handles the load that another instance of this data centre reports in its status.
func (b *Balancer) SetPeerLoads(from shelfshelf.InstanceID, loads []shelfshelf.TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, t := range b.peerTargets[from] {
		delete(t.peerLoads, from)
	}
	updated := b.resolveTargets(b.peerTargets[from], loads)
	for i, t := range updated {
		t.peerLoads[from] = newReportedLoad(loads[i], now)
	}
	if b.peerTargets == nil {
		b.peerTargets = make(map[shelfshelf.InstanceID][]*targetState)
	}
	b.peerTargets[from] = updated
	b.dispatchAll(now)
}

// ApplyDigest handles the loads and speeds in the digest of a data centre.
func (b *Balancer) ApplyDigest(digest shelfshelf.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	from := digest.DataCentre
	if from == b.DataCentre {
		b.setDataCentreLoads(digest, now)
		return
	}
	for _, t := range b.remoteTargets[from] {
		delete(t.remoteLoads, from)
	}
	// The digest is forwarded to others concurrently and must not be modified.
	loads := slices.Clone(digest.Loads)
	updated := b.resolveTargets(b.remoteTargets[from], loads)
	for i, t := range updated {
		t.remoteLoads[from] = newReportedLoad(loads[i], now.Add(-digest.Age))
	}
	if b.remoteTargets == nil {
		b.remoteTargets = make(map[shelfshelf.DataCentre][]*targetState)
	}
	b.remoteTargets[from] = updated
	b.mergeRemoteSpeeds(digest.Speeds, now)
	b.dispatchAll(now)
}

// setDataCentreLoads handles the digest of this data centre. The caller must hold b.mu.
func (b *Balancer) setDataCentreLoads(digest shelfshelf.Digest, now time.Time) {
	for _, t := range b.targetsByKey {
		t.dataCentreLoad = reportedLoad{at: now.Add(-digest.Age)}
	}
	for _, report := range digest.Loads {
		if t := b.targetsByKey[report.Target]; t != nil {
			t.dataCentreLoad = newReportedLoad(report, now.Add(-digest.Age))
		}
	}
	b.mergeRemoteSpeeds(digest.Speeds, now)
	b.dispatchAll(now)
}

// resolveTargets returns the targets of the reported loads and moves the loads of unknown targets
// to the end. It reuses the memory of list. The caller must hold b.mu.
func (b *Balancer) resolveTargets(list []*targetState, loads []shelfshelf.TargetLoad) []*targetState {
	list = list[:0]
	for i, load := range loads {
		if t := b.targetsByKey[load.Target]; t != nil {
			loads[len(list)], loads[i] = loads[i], loads[len(list)]
			list = append(list, t)
		}
	}
	return list
}

// dropStaleReports drops the loads of instances that have sent no report for a long time. The
// caller must hold b.mu.
func (b *Balancer) dropStaleReports(now time.Time) {
	for from, reported := range b.peerTargets {
		stale := true
		for _, t := range reported {
			if now.Sub(t.peerLoads[from].at) < reportedLoadTTL {
				stale = false
				break
			}
		}
		if !stale {
			continue
		}
		for _, t := range reported {
			delete(t.peerLoads, from)
		}
		delete(b.peerTargets, from)
	}
}
