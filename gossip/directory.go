package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxAnnounceDelay is the time over which instances announce themselves where all start
	// for the first time: the platform writes some 200 rows of one table a second, one
	// after the other, and turns away whoever would wait for over a second.
	maxAnnounceDelay = 2 * time.Second
	// directoryReadInterval is how often the directory is read though nothing is missing. Who is
	// missing there announces itself to the others and is heard by them.
	directoryReadInterval = 10 * time.Minute
	// minRetryDelay and lastRetry bound the pause after a call to the directory that failed;
	// it doubles, since the platform counts the calls that it turns away too.
	minRetryDelay = 300 * time.Millisecond
	// announcementLossWindow is how long ago an instance may have announced itself for that to be lost
	// with a store that comes back from a copy some seconds old.
	announcementLossWindow = time.Minute
	maxRetryDelay          = 2400 * time.Millisecond
)

// directoryLoop learns of the other instances and announces this one if it is not listed
// yet. Who is listed already, as after a restart, costs the platform one call.
func (n *Node) directoryLoop(ctx context.Context) error {
	announced := n.FirstStart && n.announceOnFirstStart(ctx)
	retry := minRetryDelay
	for ctx.Err() == nil {
		listed, err := n.readDirectory(ctx, n.Self.DataCentre)
		written := err == nil && !announced && !listed && (n.announce(ctx) || n.retryAnnounce(ctx))
		announced = announced || listed || written
		if written {
			// Who announced itself meanwhile didn't see this instance.
			continue
		}
		if err == nil {
			err = n.discoverRemotes(ctx)
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
		case <-n.announcementLost:
			announced = false
			n.sleepAnnounceDelay(ctx)
		}
	}
	return nil
}

// Lost says that the directory may lack what was written lately, as of a store that comes back
// from an older copy: whoever has announced itself lately looks whether it is still listed.
func (n *Node) Lost() {
	n.mu.Lock()
	recent := !n.announcedAt.IsZero() && n.Clock.Now().Sub(n.announcedAt) < announcementLossWindow
	n.mu.Unlock()
	if !recent {
		return
	}
	select {
	case n.announcementLost <- struct{}{}:
	default:
	}
}

// sleepAnnounceDelay waits for any part of announceSpread, so that not all instances write at once.
func (n *Node) sleepAnnounceDelay(ctx context.Context) {
	n.sleep(ctx, time.Duration(rand.Float64()*float64(maxAnnounceDelay)))
}

// sleep waits for a time, if it isn't over.
func (n *Node) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-n.Clock.After(duration):
	}
}

// announceOnFirstStart announces this instance where all start for the first time; nobody is
// listed before, and there is no hurry.
func (n *Node) announceOnFirstStart(ctx context.Context) bool {
	n.sleepAnnounceDelay(ctx)
	if ctx.Err() != nil {
		return false
	}
	if n.announce(ctx) {
		return true
	}
	// Those that are listed hear of this instance by itself.
	if _, err := n.readDirectory(ctx, n.Self.DataCentre); err != nil {
		return false
	}
	return n.retryAnnounce(ctx)
}

// retryAnnounce announces this instance after a try that failed, until one succeeds: the directory
// need not be read again for that.
func (n *Node) retryAnnounce(ctx context.Context) bool {
	for retry := minRetryDelay; ctx.Err() == nil; retry = min(2*retry, maxRetryDelay) {
		n.sleep(ctx, jitter(retry))
		if ctx.Err() == nil && n.announce(ctx) {
			return true
		}
	}
	return false
}

func (n *Node) announce(ctx context.Context) bool {
	err := n.Directory.Announce(ctx, n.directoryPartition(n.Self.DataCentre), n.Self)
	n.mu.Lock()
	n.announcedAt = n.Clock.Now()
	n.mu.Unlock()
	if err != nil {
		n.Log.Warn("This instance could not be announced.", "error", err)
		return false
	}
	n.Log.Info("This instance is announced.", "instance", n.Self.ID, "address", n.Self.Address)
	return true
}

// readDirectory learns of the instances that are listed in a data centre, and reports whether this one
// is, as it is today.
func (n *Node) readDirectory(ctx context.Context, centre shelfshelf.DataCentre) (listed bool, err error) {
	instances, err := n.Directory.InstancesIn(ctx, n.directoryPartition(centre))
	if err != nil {
		n.Log.Warn("The directory of instances can't be read.", "dataCentre", centre, "error", err)
		return false, err
	}
	n.addPeers(instances)
	listed = slices.Contains(instances, n.Self)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.directoryReadAt.IsZero() {
		n.directoryReadAt = n.Clock.Now()
	}
	n.Log.Info("The directory of instances was read.", "dataCentre", centre, "instances", len(instances), "listed", listed)
	return listed, nil
}
