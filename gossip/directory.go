package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxRegistrationDelay is the time over which instances spread their registrations when the whole
	// deployment starts for the first time. The platform writes about 200 rows of a table a second, one
	// after the other, and rejects writes that would wait for more than a second.
	maxRegistrationDelay = 2 * time.Second
	// directoryReadInterval is how often the directory is read when nothing is missing. An instance that
	// is missing from this one's list sends its own messages, which reveal it.
	directoryReadInterval = 10 * time.Minute
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the directory. The delay
	// doubles with each failure, since the platform also counts the calls that it rejects.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 2400 * time.Millisecond
	// registrationLossWindow is the age up to which a registration may be lost when the store is
	// restored from a copy that is some seconds old.
	registrationLossWindow = time.Minute
)

// directoryLoop discovers the other instances, and registers this one if it is not listed yet. An
// instance that is already listed, as after a restart, costs the platform one call.
func (n *Node) directoryLoop(ctx context.Context) error {
	registered := n.FirstStart && n.registerOnFirstStart(ctx)
	retry := minRetryDelay
	for ctx.Err() == nil {
		listed, err := n.readDirectory(ctx, n.Self.DataCentre)
		written := err == nil && !registered && !listed && (n.register(ctx) || n.retryRegister(ctx))
		registered = registered || listed || written
		if written {
			// Reads again: instances that registered meanwhile did not see this one listed.
			continue
		}
		if err == nil {
			err = n.discoverRemotes(ctx)
		} else {
			n.discoverThroughOthers(ctx)
		}
		pause := jitter(directoryReadInterval)
		if err != nil {
			pause = jitter(retry)
			retry = min(2*retry, maxRetryDelay)
		} else {
			retry = minRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-n.Clock.After(pause):
		case <-n.registrationLost:
			registered = false
			n.sleepRegistrationDelay(ctx)
		}
	}
	return nil
}

// CheckAnnouncement signals that recent writes may be missing from the directory, for example because the store was
// restored from an older copy. An instance that registered recently then checks whether it is still
// listed.
func (n *Node) CheckAnnouncement() {
	n.mu.Lock()
	recent := !n.registeredAt.IsZero() && n.Clock.Now().Sub(n.registeredAt) < registrationLossWindow
	n.mu.Unlock()
	if !recent {
		return
	}
	select {
	case n.registrationLost <- struct{}{}:
	default:
	}
}

// sleepRegistrationDelay sleeps for a random part of maxRegistrationDelay, so that instances don't all
// write at once.
func (n *Node) sleepRegistrationDelay(ctx context.Context) {
	n.sleep(ctx, time.Duration(rand.Float64()*float64(maxRegistrationDelay)))
}

// sleep waits for a duration or until the context ends; it returns at once if the duration is not
// positive.
func (n *Node) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-n.Clock.After(duration):
	}
}

// registerOnFirstStart registers this instance when the whole deployment starts for the first time. The
// directory is empty then, so it is not read first, and the registration can be delayed.
func (n *Node) registerOnFirstStart(ctx context.Context) bool {
	n.sleepRegistrationDelay(ctx)
	if ctx.Err() != nil {
		return false
	}
	if n.register(ctx) {
		return true
	}
	// Reads the directory before retrying: the instances listed there learn of this one from its
	// messages.
	if _, err := n.readDirectory(ctx, n.Self.DataCentre); err != nil {
		return false
	}
	return n.retryRegister(ctx)
}

// retryRegister retries a failed registration until it succeeds or the context ends, without reading the
// directory again.
func (n *Node) retryRegister(ctx context.Context) bool {
	for retry := minRetryDelay; ctx.Err() == nil; retry = min(2*retry, maxRetryDelay) {
		n.sleep(ctx, jitter(retry))
		if ctx.Err() == nil && n.register(ctx) {
			return true
		}
	}
	return false
}

func (n *Node) register(ctx context.Context) bool {
	err := n.Directory.Announce(ctx, n.directoryPartition(n.Self.DataCentre), n.Self)
	n.mu.Lock()
	n.registeredAt = n.Clock.Now()
	n.mu.Unlock()
	if err != nil {
		n.Log.Warn("Registering this instance in the directory failed.", "error", err)
		return false
	}
	n.Log.Info("This instance was registered in the directory.", "instance", n.Self.ID, "address", n.Self.Address)
	return true
}

// setLocalsKnown records that the listed instances of this data centre are known.
func (n *Node) setLocalsKnown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.directoryReadAt.IsZero() {
		n.directoryReadAt = n.Clock.Now()
	}
}

// readDirectory adds the instances listed in a data centre as peers, and reports whether this instance
// is listed with its current details.
func (n *Node) readDirectory(ctx context.Context, centre shelfshelf.DataCentre) (listed bool, err error) {
	instances, err := n.Directory.InstancesIn(ctx, n.directoryPartition(centre))
	if err != nil {
		n.Log.Warn("Reading the instance directory failed.", "dataCentre", centre, "error", err)
		return false, err
	}
	n.addPeers(instances)
	listed = slices.Contains(instances, n.Self)
	if n.directoryPartition(centre) == n.directoryPartition(n.Self.DataCentre) {
		n.setLocalsKnown()
	}
	n.Log.Info("The instance directory was read.", "dataCentre", centre, "instances", len(instances), "listed", listed)
	return listed, nil
}
