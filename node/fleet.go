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
	case !n.gossip.First():
		return n.leaseShare(othersFollowShare)
	case n.gossip.LeadingCentre(leadingCentres):
		return 0
	}
	return n.leaseShare(firstsFollowShare)
}

// pace is the mean time between two reads of the store by this instance while the store
// fails those that go before it.
func (n *Node) pace() time.Duration {
	return n.gossip.Pace()
}

// leads reports that this instance does what one of all has to do.
func (n *Node) leads() bool {
	return n.gossip.First() && n.gossip.LeadingCentre(1) && !n.stopping.Load()
}

// Status returns what this instance tells the others.
func (n *Node) Status() shelfshelf.Status {
	now := n.Clock.Now()
	status := shelfshelf.Status{
		SourceLost: n.catalog.SourceLost(),
		Settled:    n.quota.Settled(),
		Recalled:   n.quota.Recalled(),
		Loads:      n.balancer.Own(),
		Uses:       n.quota.Own(),
		EndedUses:  n.quota.Ended(),
		// Those that know the same of targets that ended say so with one number.
		CrashesHash: n.crashes.Hash(),
		Words:       n.words.Told(),
	}
	status.Rollouts, status.OrdersAsOf = n.rollouts.Told()
	status.Evacuated = n.evacuations.Told()
	if index, at := n.catalog.Index(); index != nil {
		status.Revision = index.Revision
		status.RevisionAge = now.Sub(at)
	}
	if version, at := n.catalog.TargetsKnown(); !at.IsZero() {
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
	return n.crashes.News(wide)
}

// Digest returns what this instance knows of its data centre.
func (n *Node) Digest() shelfshelf.Digest {
	return shelfshelf.Digest{
		Settled: n.quota.Settled(),
		Loads:   n.balancer.Centre(),
		Uses:    n.quota.Centre(),
		Speeds:  n.balancer.Speeds(),
	}
}

// Heard takes what another instance tells. Only those of the same data centre tell
// of their own load; the others' come in digests.
func (n *Node) Heard(status shelfshelf.Status, at time.Time) {
	if status.From.DataCentre == n.Settings.DataCentre {
		n.balancer.Heard(status.From.ID, status.Loads)
		n.balancer.HeardSpeeds(status.Speeds)
		n.quota.Heard(status)
	}
	n.words.Heard(status.Words)
	n.rollouts.Heard(status.Rollouts, status.OrdersAsOf, string(status.From.ID))
	n.evacuations.Heard(status.Evacuated, string(status.From.ID))
	n.crashes.Heard(status.Crashes, status.From.DataCentre != n.Settings.DataCentre)
	n.crashKeeper.Heard(status.From, status.CrashesHash)
	n.relay.Heard(status, at)
}

// HeardDigest takes what another data centre tells.
func (n *Node) HeardDigest(digest shelfshelf.Digest) {
	n.balancer.HeardCentre(digest)
	n.quota.HeardCentre(digest)
}

// census returns how many instances there are and how many of them are heard.
func (n *Node) census() (known, heard int) {
	census := n.gossip.Census()
	return census.Known, census.Heard
}

// instances returns how many instances there are, this one included.
func (n *Node) instances() int {
	return n.gossip.Census().Known
}

// SpreadTime is how long it takes until every other instance knows what happened
// here.
func (n *Node) SpreadTime() time.Duration {
	return n.gossip.SpreadTime()
}
