package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/gossip"
)

const (
	// startReaders is how many instances of a data centre read the store at once when they
	// start, so that one which doesn't come up holds nobody up.
	startReaders = 2
	// startStep is how much later each next one reads it if nobody has told meanwhile: a
	// read takes some 4 ms, and a status and a fetch as long on a link of 10 Mbit/s.
	startStep = 50 * time.Millisecond
	// startLast bounds that: with the first 60 of a data centre gone, the others read.
	startLast = 1500 * time.Millisecond
	// listPatience is how long an instance that can't read the directory waits for others
	// to tell before it reads the store, and firstListPatience the same where all start for
	// the first time and announce themselves over 2 s.
	listPatience      = 300 * time.Millisecond
	firstListPatience = 2600 * time.Millisecond
	// tellPatience is how long another instance's knowledge may be on its way.
	tellPatience = time.Second
	// askPause is the pause between two tries to get something from another instance.
	askPause = 20 * time.Millisecond
)

// startDelay returns how long after it has read the directory an instance reads the store
// itself, by how many others go before it. Without it, each of 295 instances that start
// together makes three calls for what one could tell the others.
func startDelay(before int) time.Duration {
	return min(time.Duration(before/startReaders)*startStep, startLast)
}

// starting is what decides whether an instance that knows nothing reads the store.
type starting struct {
	gossip.StartupState
	// Told is how long another instance has been known to have what is missing; negative
	// if none is.
	Told time.Duration
	// First says that the whole deployment starts for the first time.
	First bool
}

// reads reports that the instance is to read the store itself.
func (s starting) reads() bool {
	patience, listed := listPatience, s.SinceDirectoryRead
	if s.First {
		// Until then it isn't known who goes before this one.
		patience = firstListPatience
		listed = min(listed, s.Running-firstListPatience)
	}
	switch {
	case s.Told >= 0:
		return s.Told >= tellPatience
	case s.SinceDirectoryRead < 0:
		return s.Running >= patience
	}
	return listed >= startDelay(s.Preceding)
}

// readsAtStart reports that this instance, while it knows no configuration or no targets,
// reads the store for them.
func (n *Node) readsAtStart() bool {
	return n.readsStore(&n.toldCatalogAt, func(told gossip.PeerKnowledge) bool { return told.Revision > 0 })
}

// readsStore decides whether what is missing is read from the store; since is when another
// instance was first known to have it.
func (n *Node) readsStore(since *toldAt, has func(gossip.PeerKnowledge) bool) bool {
	s := starting{StartupState: n.gossip.Started(), Told: -1, First: n.Settings.FirstStart}
	if at := since.note(len(n.gossip.AddressesWhere(has)) > 0, n.Clock.Now()); !at.IsZero() {
		s.Told = n.Clock.Now().Sub(at)
	}
	return s.reads()
}

// startUses is where a starting instance learns what customers have used: from another
// instance that knows it, or from the store.
type startUses struct {
	node *Node
	told toldAt
}

// SaveUsage saves to the store.
func (u *startUses) SaveUsage(ctx context.Context, uses shelfshelf.SavedUsages) error {
	return u.node.Platform.Uses.SaveUsage(ctx, uses)
}

// LoadUsage asks an instance that knows, and the store where this one is to read it.
func (u *startUses) LoadUsage(ctx context.Context) (shelfshelf.SavedUsages, error) {
	return recall(ctx, u.node, &u.told, u.node.relay.FetchUsage, u.node.Platform.Uses.LoadUsage)
}

// startCrashes is where a starting instance learns under which requests targets have ended.
type startCrashes struct {
	node *Node
	told toldAt
}

// SaveCrashes saves to the store.
func (c *startCrashes) SaveCrashes(ctx context.Context, crashes []shelfshelf.Crash) error {
	return c.node.Platform.Crashes.SaveCrashes(ctx, crashes)
}

// LoadCrashes asks an instance that knows, and the store where this one is to read it.
// Nothing has been kept where the whole deployment starts for the first time.
func (c *startCrashes) LoadCrashes(ctx context.Context) ([]shelfshelf.Crash, error) {
	if c.node.Settings.FirstStart {
		return nil, shelfshelf.ErrNotFound
	}
	return recall(ctx, c.node, &c.told, c.node.relay.FetchCrashes, c.node.Platform.Crashes.LoadCrashes)
}

// recall gets what was known before this instance started: from another instance, or from
// the store where this one is to read it. Told is since when another one is known to have it.
func recall[T any](
	ctx context.Context, n *Node, told *toldAt, fetch func(context.Context, string) (T, error), load func(context.Context) (T, error),
) (T, error) {
	has := func(told gossip.PeerKnowledge) bool { return told.Recalled }
	for {
		if addresses := n.gossip.AddressesWhere(has); len(addresses) > 0 {
			known, err := fetch(ctx, addresses[rand.IntN(len(addresses))])
			if err == nil || errors.Is(err, shelfshelf.ErrNotFound) {
				return known, err
			}
		}
		if n.readsStore(told, has) {
			return load(ctx)
		}
		select {
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		case <-n.Clock.After(askPause):
		}
	}
}

// storeReturned has what this instance wrote lately looked at again: the store has come back from
// an older copy, and nobody else writes it.
func (n *Node) storeReturned() {
	n.gossip.CheckAnnouncement()
	n.crashKeeper.StoreReset()
	n.origins.StoreReset()
}
