package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// announceSpread is the time over which instances announce themselves where all start
	// for the first time: the platform writes some 200 rows of one table a second, one
	// after the other, and turns away whoever would wait for over a second.
	announceSpread = 2 * time.Second
	// directoryPeriod is how often the directory is read though nothing is missing. Who is
	// missing there announces itself to the others and is heard by them.
	directoryPeriod = 10 * time.Minute
	// firstRetry and lastRetry bound the pause after a call to the directory that failed;
	// it doubles, since the platform counts the calls that it turns away too.
	firstRetry = 300 * time.Millisecond
	// announcedLately is how long ago an instance may have announced itself for that to be lost
	// with a store that comes back from a copy some seconds old.
	announcedLately = time.Minute
	lastRetry       = 2400 * time.Millisecond
)

// loopDirectory learns of the other instances and announces this one if it is not listed
// yet. Who is listed already, as after a restart, costs the platform one call.
func (n *Node) loopDirectory(ctx context.Context) error {
	announced := n.FirstStart && n.announceFirst(ctx)
	retry := firstRetry
	for ctx.Err() == nil {
		listed, err := n.readDirectory(ctx, n.Self.DataCentre)
		written := err == nil && !announced && !listed && (n.announce(ctx) || n.announceAgain(ctx))
		announced = announced || listed || written
		if written {
			// Who announced itself meanwhile didn't see this instance.
			continue
		}
		if err == nil {
			err = n.learnOthers(ctx)
		}
		pause := jitter(directoryPeriod)
		if err != nil {
			pause = jitter(retry)
			retry = min(2*retry, lastRetry)
		} else {
			retry = firstRetry
		}
		select {
		case <-ctx.Done():
		case <-n.Clock.After(pause):
		case <-n.lost:
			announced = false
			n.spread(ctx)
		}
	}
	return nil
}

// Lost says that the directory may lack what was written lately, as of a store that comes back
// from an older copy: whoever has announced itself lately looks whether it is still listed.
func (n *Node) Lost() {
	n.mu.Lock()
	lately := !n.announcedAt.IsZero() && n.Clock.Now().Sub(n.announcedAt) < announcedLately
	n.mu.Unlock()
	if !lately {
		return
	}
	select {
	case n.lost <- struct{}{}:
	default:
	}
}

// spread waits for any part of announceSpread, so that not all instances write at once.
func (n *Node) spread(ctx context.Context) {
	n.sleep(ctx, time.Duration(rand.Float64()*float64(announceSpread)))
}

// sleep waits for a time, if it isn't over.
func (n *Node) sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-n.Clock.After(span):
	}
}

// announceFirst announces this instance where all start for the first time; nobody is
// listed before, and there is no hurry.
func (n *Node) announceFirst(ctx context.Context) bool {
	n.spread(ctx)
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
	return n.announceAgain(ctx)
}

// announceAgain announces this instance after a try that failed, until one succeeds: the directory
// need not be read again for that.
func (n *Node) announceAgain(ctx context.Context) bool {
	for retry := firstRetry; ctx.Err() == nil; retry = min(2*retry, lastRetry) {
		n.sleep(ctx, jitter(retry))
		if ctx.Err() == nil && n.announce(ctx) {
			return true
		}
	}
	return false
}

func (n *Node) announce(ctx context.Context) bool {
	err := n.Directory.Announce(ctx, n.part(n.Self.DataCentre), n.Self)
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
	instances, err := n.Directory.InstancesIn(ctx, n.part(centre))
	if err != nil {
		n.Log.Warn("The directory of instances can't be read.", "dataCentre", centre, "error", err)
		return false, err
	}
	n.learnAll(instances)
	listed = slices.Contains(instances, n.Self)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listedAt.IsZero() {
		n.listedAt = n.Clock.Now()
	}
	n.Log.Info("The directory of instances was read.", "dataCentre", centre, "instances", len(instances), "listed", listed)
	return listed, nil
}
