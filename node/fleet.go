package node

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// follow is the age of knowledge at which this instance reads the store itself: the
// first of the leading data centres always do, and the others hear of it from them;
// then the first of each data centre, then everyone.
func (n *Node) follow() time.Duration {
	switch {
	case !n.gossip.IsFirst():
		return n.watchShare(othersFollowShare)
	case n.gossip.IsLeadingDataCentre(leadingCentres):
		return 0
	}
	return n.watchShare(firstsFollowShare)
}

// pace is the mean time between two reads of the store by this instance while the store
// fails those that go before it.
func (n *Node) pace() time.Duration {
	return n.gossip.StoreRetryInterval()
}

// leads reports that this instance does what one of all has to do.
func (n *Node) leads() bool {
	return n.gossip.ActsForAll() && !n.stopping.Load()
}

// Status returns what this instance tells the others.
func (n *Node) Status() shelfshelf.Status {
	now := n.Clock.Now()
	status := shelfshelf.Status{
		StoreUnreachable: n.catalog.SourceLost(),
		WindowObserved:   n.quota.WindowObserved(),
		UsageRestored:    n.quota.Restored(),
		UnsavedFor:       n.quota.UnsavedFor(),
		Loads:            n.balancer.LocalLoads(),
		Usage:            n.quota.LocalUsage(),
		EndedUsage:       n.quota.EndedUsage(),
		// Those that know the same of targets that ended say so with one number.
		CrashesHash:   n.crashes.Hash(),
		Announcements: n.words.ForStatus(),
	}
	status.Rollouts, status.RolloutsAsOf = n.rollouts.Snapshot()
	status.Evacuation = n.evacuations.Snapshot()
	if index, at := n.catalog.Index(); index != nil {
		status.Revision = index.Revision
		status.RevisionAge = now.Sub(at)
	}
	if version, at := n.catalog.TargetsVersion(); !at.IsZero() {
		status.TargetsVersion = version
		status.TargetsAge = now.Sub(at)
	}
	return status
}

// Observations returns what this instance has seen of targets since it was last
// asked.
func (n *Node) Observations() []shelfshelf.TargetSpeed {
	return n.balancer.Observations()
}

// Crashes returns what this instance has learnt lately of targets that ended.
func (n *Node) Crashes(wide bool) []shelfshelf.Crash {
	return n.crashes.Updates(wide)
}

// Digest returns what this instance knows of its data centre.
func (n *Node) Digest() shelfshelf.Digest {
	return shelfshelf.Digest{
		WindowObserved: n.quota.WindowObserved(),
		Loads:          n.balancer.DataCentreLoads(),
		Usage:          n.quota.DataCentreUsage(),
		Speeds:         n.balancer.Speeds(),
	}
}

// HandleStatus takes what another instance tells. Only those of the same data centre tell
// of their own load; the others' come in digests.
func (n *Node) HandleStatus(status shelfshelf.Status, at time.Time) {
	if status.From.DataCentre == n.Settings.DataCentre {
		n.balancer.SetPeerLoads(status.From.ID, status.Loads)
		n.balancer.ApplySpeeds(status.Speeds)
		n.quota.ApplyStatus(status)
	}
	if !at.IsZero() {
		n.quota.NoteSaved(at.Add(-status.UnsavedFor))
	}
	n.words.Merge(status.Announcements)
	n.rollouts.Merge(status.Rollouts, status.RolloutsAsOf, string(status.From.ID))
	n.evacuations.Merge(status.Evacuation, string(status.From.ID))
	n.crashes.Merge(status.Crashes, status.From.DataCentre != n.Settings.DataCentre)
	n.crashKeeper.CompareHash(status.From, status.CrashesHash)
	n.relay.HandleStatus(status, at)
}

// HandleDigest takes what another data centre tells.
func (n *Node) HandleDigest(digest shelfshelf.Digest) {
	n.balancer.ApplyDigest(digest)
	n.quota.ApplyDigest(digest)
}

// census returns how many instances there are and how many of them are heard.
func (n *Node) census() (known, heard int) {
	census := n.gossip.Census()
	return census.Known, census.Live
}

// instances returns how many instances there are, this one included.
func (n *Node) instances() int {
	return n.gossip.Census().Known
}

// PropagationDelay is how long it takes until every other instance knows what happened
// here.
func (n *Node) PropagationDelay() time.Duration {
	return n.gossip.SpreadTime()
}
