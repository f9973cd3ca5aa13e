package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// defaultPollTimeout is how long one read waits for changes of the configuration if
	// PollTimeout is not set.
	defaultPollTimeout = time.Second
	// targetsPollTimeout is how long one read waits for changes of the targets. It may be longer
	// because no lease depends on the age of the targets. If the source stops answering one reader
	// in the middle of a read, other readers still get its changes.
	targetsPollTimeout = 3 * time.Second
	// targetsAgeSlack is added to the maximum age of the targets because of the longer
	// targetsPollTimeout.
	targetsAgeSlack = 2 * (targetsPollTimeout - defaultPollTimeout)
	// readCheckInterval is how often a fallback read, which replaces the data of silent readers,
	// checks whether it is still needed. startCheckInterval is how often an instance that has no
	// data yet, and so can't serve requests, checks whether it has to read.
	readCheckInterval  = 50 * time.Millisecond
	startCheckInterval = 10 * time.Millisecond
	// takeoverCheckInterval is the longest time between the checks of a non-reading instance whether
	// it has become a reader. A takeover is delayed by up to this long.
	takeoverCheckInterval = 250 * time.Millisecond
	// retryDelayBase and retryDelayMax set the exponential delay between failed reads, before jitter.
	// The first delay is twice the base.
	retryDelayBase = 40 * time.Millisecond
	retryDelayMax  = 400 * time.Millisecond
	// missingTargetGrace is how long a target that is missing from the list after an outage of the
	// source is still used: it may only have been unable to renew its entry.
	missingTargetGrace = 2 * time.Second
)

// FromSource is given as the sender of data that was read from the source itself.
const FromSource = "source"

// errReadNotNeeded cancels a read whose data has already come from another instance.
var errReadNotNeeded = errors.New("another instance has already sent the data")

// Catalog holds the current configuration and targets. Its exported fields must be set before Run is
// called. It is safe for concurrent use.
type Catalog struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Source shelfshelf.CatalogSource
	// ReadAge returns the age that the data must reach before this instance reads the source itself. 0
	// means that it always reads (a regular reader); the other instances get changes from it. Nil means
	// 0.
	ReadAge func() time.Duration
	// MayReadAtStart reports whether this instance, while it has no data yet, reads the source instead of
	// waiting for data from another instance. Nil means that it always does.
	MayReadAtStart func() bool
	// OutageReadInterval returns the mean interval between reads by this instance while reads fail for the first few
	// instances of its data centre; 0 while they succeed. Nil means 0.
	OutageReadInterval func() time.Duration
	// PollTimeout returns how long one read waits for changes of the configuration. The data is
	// confirmed that often, so that its age stays below twice this period. Nil means one second.
	PollTimeout func() time.Duration
	// OnChange is called, without mu held, after the configuration or the targets have changed, with
	// the address of the instance that sent them, or FromSource. May be nil.
	OnChange func(from string)
	// OnRestore is called, without mu held, when the source is found to have been restored from an
	// older copy. May be nil.
	OnRestore func()
	// OnRollouts is called with the rollouts that a read of the source returned. asOf is the position of
	// the source up to which they are complete. May be nil.
	OnRollouts func(rollouts []shelfshelf.Rollout, asOf uint64)
	// OnEvacuations is called with the evacuation update that a read of the source returned. May be nil.
	OnEvacuations func(update shelfshelf.EvacuationUpdate)

	mu      sync.Mutex
	index   *Index
	targets map[shelfshelf.TargetName]shelfshelf.Target
	// retainedUntil holds the targets that are missing from the source's list but still used, with the
	// time until which they are.
	retainedUntil map[shelfshelf.TargetName]time.Time
	// unreadable holds the entries of the list that don't decode to a usable target, with the decoding
	// error.
	unreadable map[shelfshelf.TargetName]string
	// expiryWake wakes runExpiry when there is a new retained target or suspect.
	expiryWake chan struct{}
	// configurationValidAt and targetsValidAt are the latest times at which the data is known to have
	// been current.
	configurationValidAt time.Time
	targetsValidAt       time.Time
	targetsVersion       uint64
	// changes are the recent changes of the target list, oldest first.
	changes []listChange
	// newestRevision is the highest configuration revision that any instance has reported.
	newestRevision shelfshelf.Revision
	// restoredAt is when the source was found to have been restored from an older copy. suspects are the
	// targets that it may wrongly list as ready since then. departures are the targets that were removed
	// recently.
	restoredAt time.Time
	suspects   map[shelfshelf.TargetName]shelfshelf.Target
	departures map[shelfshelf.TargetName]departure
	// leavingSince holds moments after which targets that are leaving have said so.
	leavingSince map[shelfshelf.TargetName]time.Time
	// outageEnded is when the last outage of the source ended.
	outageEnded time.Time
	sourceLost  bool
	// takenOverUntil is until when this instance reads like a regular reader because those were silent.
	takenOverUntil time.Time
}

// Index returns the current configuration, or nil, and the latest time at which it is known to have
// been current.
func (c *Catalog) Index() (*Index, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index, c.configurationValidAt
}

// Run keeps the catalog up to date until the context ends.
func (c *Catalog) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return c.pollConfiguration(ctx) }, func(error) { cancel() })
	group.Add(func() error { return c.pollTargets(ctx) }, func(error) { cancel() })
	group.Add(func() error { return c.runExpiry(ctx) }, func(error) { cancel() })
	return group.Run()
}

func (c *Catalog) pollConfiguration(ctx context.Context) error {
	backoff := &readBackoff{catalog: c, name: "configuration"}
	var cursor uint64
	for c.waitUntilDue(ctx, c.configurationDue) {
		if cursor > 0 && c.readsAsFallback() {
			// The data is old already: confirm it at once, before a read that waits for changes.
			cursor = c.pollConfigurationOnce(ctx, backoff, cursor, 0)
		}
		cursor = c.pollConfigurationOnce(ctx, backoff, cursor, c.pollTimeout())
	}
	return nil
}

// pollConfigurationOnce reads the source once and returns the cursor of the next read; 0, for a full
// read, after a failure.
func (c *Catalog) pollConfigurationOnce(ctx context.Context, backoff *readBackoff, cursor uint64, wait time.Duration) uint64 {
	start := c.Clock.Now()
	_, validAt := c.Index()
	takesOver := c.readsAsFallback() && !validAt.IsZero()
	var update shelfshelf.ConfigurationUpdate
	err := c.readWhileNeeded(ctx, cursor, c.configurationDue, func(ctx context.Context) (err error) {
		update, err = c.readConfiguration(ctx, cursor, wait)
		return err
	})
	if errors.Is(err, errReadNotNeeded) {
		return cursor
	}
	if !backoff.handleResult(ctx, err) {
		return 0
	}
	for _, entry := range update.InvalidRollouts {
		c.Log.Warn("A rollout entry can't be decoded. It is ignored.", "entry", entry.Name, "error", entry.Reason)
	}
	if c.OnEvacuations != nil {
		c.OnEvacuations(update.Evacuations)
	}
	if c.OnRollouts != nil {
		c.OnRollouts(update.Rollouts, update.Cursor)
	}
	c.applyConfiguration(update.Configuration, start, FromSource)
	if takesOver {
		c.takeOver(start.Sub(validAt))
	}
	return update.Cursor
}

func (c *Catalog) pollTimeout() time.Duration {
	if c.PollTimeout == nil {
		return defaultPollTimeout
	}
	return c.PollTimeout()
}

// waitUntilDue waits until this instance has to read the source, either as a regular reader or as a
// fallback because the data from other instances is too old. It returns false when the context ends.
func (c *Catalog) waitUntilDue(ctx context.Context, due dueTime) bool {
	for ctx.Err() == nil {
		if c.readNeeded(due) && c.mayReadAtStart(due) && c.waitForTurn(ctx, due) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(c.nextCheckDelay(due)):
		}
	}
	return false
}

// nextCheckDelay returns how long a non-reading instance may sleep until its next check. When the
// configuration and the targets were both checked every 50 ms, 295 instances woke up 11,800 times a
// second in vain.
func (c *Catalog) nextCheckDelay(due dueTime) time.Duration {
	at := due(c.readAge())
	if at.IsZero() {
		return startCheckInterval
	}
	return min(max(at.Sub(c.Clock.Now()), startCheckInterval), takeoverCheckInterval)
}

// waitForTurn waits for a random delay while reads of the source fail for other instances, and then
// reports whether a read is still needed. When all of 295 instances retried three times a second, a
// store that was down for 8 s got 10,000 calls. The first instance whose read succeeds sends the data to
// the others.
func (c *Catalog) waitForTurn(ctx context.Context, due dueTime) bool {
	if c.OutageReadInterval == nil {
		return true
	}
	interval := c.OutageReadInterval()
	if interval == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.Clock.After(time.Duration(2 * rand.Float64() * float64(interval))):
	}
	return c.readNeeded(due)
}

// mayReadAtStart reports whether a read may start. While this instance has no data yet, another
// instance may be about to send it.
func (c *Catalog) mayReadAtStart(due dueTime) bool {
	return c.MayReadAtStart == nil || !due(0).IsZero() || c.MayReadAtStart()
}

// readNeeded reports whether this instance has to read the source now.
func (c *Catalog) readNeeded(due dueTime) bool {
	maxAge := c.readAge()
	return maxAge == 0 || !c.Clock.Now().Before(due(maxAge))
}

// readWhileNeeded calls read, and cancels it with errReadNotNeeded as soon as another instance has sent
// the data: on a slow link a full read takes seconds and delays all other traffic on it. The reads of a
// regular reader are not cancelled once it has a cursor, because no other instance sends it the changes.
func (c *Catalog) readWhileNeeded(ctx context.Context, cursor uint64, due dueTime, read func(context.Context) error) error {
	if cursor > 0 && !c.readsAsFallback() {
		return read(ctx)
	}
	readCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.cancelWhenNotNeeded(readCtx, cancel, due)
	err := read(readCtx)
	if err != nil && errors.Is(context.Cause(readCtx), errReadNotNeeded) {
		return errReadNotNeeded
	}
	return err
}

func (c *Catalog) cancelWhenNotNeeded(ctx context.Context, cancel context.CancelCauseFunc, due dueTime) {
	for c.readNeeded(due) {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(readCheckInterval):
		}
	}
	cancel(errReadNotNeeded)
}

// ConfirmTargets records that, according to another instance, this version of the target list was the
// newest at that time.
func (c *Catalog) ConfirmTargets(version uint64, validAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targetsVersion == version && validAt.After(c.targetsValidAt) {
		c.targetsValidAt = validAt
	}
}

// readConfiguration reads the full configuration if there is no cursor; otherwise it waits for a change.
func (c *Catalog) readConfiguration(ctx context.Context, cursor uint64, wait time.Duration) (shelfshelf.ConfigurationUpdate, error) {
	if cursor > 0 {
		return c.Source.AwaitConfiguration(ctx, cursor, wait)
	}
	return c.Source.ReadConfiguration(ctx)
}

// applyConfiguration makes a newer configuration the current one, or else confirms the current one.
// A nil configuration means that the source has none newer.
func (c *Catalog) applyConfiguration(configuration *shelfshelf.Configuration, validAt time.Time, from string) {
	if configuration == nil || !c.IsNewer(configuration.Revision) {
		c.confirmIfCurrent(configuration, validAt)
		return
	}
	// The index is built without holding c.mu: every request needs that mutex, and building an index of
	// many routes takes milliseconds.
	index := NewIndex(configuration)
	c.mu.Lock()
	if c.index != nil && c.index.Revision >= index.Revision {
		// Another configuration as new as this one was applied in the meantime.
		c.mu.Unlock()
		c.confirmIfCurrent(configuration, validAt)
		return
	}
	c.index = index
	c.configurationValidAt = validAt
	c.mu.Unlock()
	for _, invalid := range configuration.InvalidFields {
		c.Log.Error("A configuration field can't be decoded.", "revision", configuration.Revision, "place", invalid.Field, "error", invalid.Reason, "effect", invalid.Effect)
	}
	c.Log.Info("Applied a configuration.", "revision", configuration.Revision, "from", from,
		"age", c.Clock.Now().Sub(validAt), "bytes", len(configuration.Encoded), "routes", len(configuration.Bundle.Routes), "customers", len(configuration.Bundle.Customers))
	c.notify(from)
}

// IsNewer reports whether a revision is newer than the current one.
func (c *Catalog) IsNewer(revision shelfshelf.Revision) bool {
	index, _ := c.Index()
	return index == nil || revision > index.Revision
}

// confirmIfCurrent records that a configuration was the newest at that time, if it is the current one.
// Nil stands for the current one.
func (c *Catalog) confirmIfCurrent(configuration *shelfshelf.Configuration, validAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.index != nil && (configuration == nil || configuration.Revision == c.index.Revision)
	if current && validAt.After(c.configurationValidAt) {
		c.configurationValidAt = validAt
	}
}

// OfferConfiguration applies a configuration from another instance that was current at validAt.
func (c *Catalog) OfferConfiguration(encoded []byte, validAt time.Time, from string) error {
	configuration, err := c.Source.DecodeConfiguration(encoded)
	if err != nil {
		return err
	}
	c.applyConfiguration(configuration, validAt, from)
	return nil
}

// ConfirmConfiguration records that, according to another instance, this revision was the newest at that time.
func (c *Catalog) ConfirmConfiguration(revision shelfshelf.Revision, validAt time.Time) {
	c.confirmIfCurrent(&shelfshelf.Configuration{Revision: revision}, validAt)
}

// RecordRevision records the current revision of another instance. It reports whether the revision is higher
// than all reported before and newer than the current one here.
func (c *Catalog) RecordRevision(revision shelfshelf.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := revision > c.newestRevision
	c.newestRevision = max(c.newestRevision, revision)
	return isNew && (c.index == nil || revision > c.index.Revision)
}

// HasNewerRevision reports whether another instance has reported a newer configuration than the current one.
func (c *Catalog) HasNewerRevision() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index != nil && c.newestRevision > c.index.Revision
}

// SourceLost reports whether reads of the source are failing.
func (c *Catalog) SourceLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sourceLost
}

func (c *Catalog) notify(from string) {
	if c.OnChange != nil {
		c.OnChange(from)
	}
}
