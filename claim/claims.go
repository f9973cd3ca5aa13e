package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// retryPause is between tries while the store does not answer.
	retryPause = 50 * time.Millisecond
	// waitPause is between looks at another attempt's claim.
	waitPause = 100 * time.Millisecond
	// cleanUpTries bounds how often an abandoned or released claim is written.
	cleanUpTries = 200
	// cleanUpPause is between such tries.
	cleanUpPause = 500 * time.Millisecond
	// cleanUpAtEnd is how long a stopping instance goes on with it.
	cleanUpAtEnd = 3 * time.Second
)

// Guards switches protections off, to show that tests notice; the zero value
// has them all on. Only tests set it.
type Guards struct {
	// SkipConfirm dispatches although the claim's write was ambiguous.
	SkipConfirm bool
	// Lapse takes a claim over from its holder after a while.
	Lapse time.Duration
}

// Claims inserts, finishes and releases claims. It is safe for concurrent use.
type Claims struct {
	Clock    shelfshelf.Clock
	Log      *log.Logger
	Table    shelfshelf.TableService
	Instance shelfshelf.InstanceID
	// Nonce returns a new unguessable name for a claim.
	Nonce func() string
	// WaitFor bounds how long a retry waits for another attempt to finish.
	WaitFor time.Duration
	Guards  Guards

	once    sync.Once
	writer  *writer
	cleanUp sync.WaitGroup
	// ended is closed when claims are cleaned up no longer.
	ended chan struct{}
}

// Claim is a confirmed right to dispatch a call once.
type Claim struct {
	key     string
	version uint64
	row     row
}

func (c *Claims) start() *writer {
	c.once.Do(func() {
		c.writer = newWriter(c.Table, c.Clock)
		c.ended = make(chan struct{})
	})
	return c.writer
}

// Run writes claims in groups until the context ends, and then lets claims be
// cleaned up a little longer.
func (c *Claims) Run(ctx context.Context) error {
	err := c.start().Run(ctx)
	cleaned := make(chan struct{})
	go c.runWait(cleaned)
	select {
	case <-cleaned:
	case <-c.Clock.After(cleanUpAtEnd):
	}
	close(c.ended)
	<-cleaned
	return err
}

// runWait waits for the claims that are being cleaned up.
func (c *Claims) runWait(cleaned chan<- struct{}) {
	c.cleanUp.Wait()
	close(cleaned)
}

// Writes returns how many transactions the claims took and how many rows they
// wrote.
func (c *Claims) Writes() (transactions, rows uint64) {
	return c.start().counts()
}

// Begin claims a call. It returns a claim, or the stored answer of an earlier
// attempt. Errors: ErrOtherBody, ErrUnknown, ErrNotConfirmed, ErrStopped.
func (c *Claims) Begin(ctx context.Context, customer shelfshelf.CustomerName, key, digest string) (*Claim, *shelfshelf.ServiceAnswer, error) {
	claim := &Claim{
		key: rowKey(customer, key),
		row: row{state: stateHeld, nonce: c.Nonce(), holder: c.Instance, digest: digest, at: c.Clock.Now()},
	}
	attempt := &attempt{claims: c, claim: claim, waitUntil: c.Clock.Now().Add(c.WaitFor)}
	for {
		answer, verdict, err := attempt.step(ctx)
		switch verdict {
		case verdictClaimed:
			return claim, nil, nil
		case verdictAnswered:
			return nil, answer, nil
		case verdictFailed:
			attempt.giveUp()
			return nil, nil, err
		case verdictAgain:
		}
		pause := retryPause
		if attempt.waiting {
			pause = waitPause
		}
		select {
		case <-ctx.Done():
			attempt.giveUp()
			if attempt.waiting {
				return nil, nil, ErrUnknown
			}
			return nil, nil, ErrNotConfirmed
		case <-c.Clock.After(pause):
		}
	}
}

// verdict is what one step of an attempt came to.
type verdict uint8

const (
	verdictAgain verdict = iota
	verdictClaimed
	verdictAnswered
	verdictFailed
)

// attempt is one try to claim a call.
type attempt struct {
	claims *Claims
	claim  *Claim
	// version is the row's version that the insert expects.
	version uint64
	// unsure is set once a write of ours may have taken effect.
	unsure bool
	// waiting is set while another attempt holds the claim.
	waiting   bool
	waitUntil time.Time
}

// step writes the claim once and reads back what came of it.
func (a *attempt) step(ctx context.Context) (*shelfshelf.ServiceAnswer, verdict, error) {
	if !a.waiting {
		version, err := a.write(ctx)
		switch {
		case err == nil:
			a.claim.version = version
			return nil, verdictClaimed, nil
		case errors.Is(err, ErrStopped):
			return nil, verdictFailed, err
		case errors.Is(err, shelfshelf.ErrAmbiguous):
			a.unsure = true
			if a.claims.Guards.SkipConfirm {
				return nil, verdictClaimed, nil
			}
		case errors.Is(err, shelfshelf.ErrConflict):
		default:
			return nil, verdictAgain, nil
		}
	}
	return a.readBack(ctx)
}

func (a *attempt) write(ctx context.Context) (uint64, error) {
	return a.claims.start().put(ctx, shelfshelf.Put{
		Key:       a.claim.key,
		Value:     a.claim.row.encode(),
		IfVersion: a.version,
	})
}

// readBack finds out who holds the claim.
func (a *attempt) readBack(ctx context.Context) (*shelfshelf.ServiceAnswer, verdict, error) {
	stored, err := a.claims.Table.Get(ctx, a.claim.key)
	if err != nil {
		return nil, verdictAgain, nil
	}
	if stored.Version == 0 {
		// Nothing there yet: our write may still come, so the same is sent again.
		a.version = 0
		a.waiting = false
		return nil, verdictAgain, nil
	}
	found, err := decodeRow(stored.Value)
	if err != nil {
		return nil, verdictFailed, eris.Wrap(ErrUnknown, err.Error())
	}
	if found.nonce == a.claim.row.nonce && found.state == stateHeld {
		a.claim.version = stored.Version
		return nil, verdictClaimed, nil
	}
	return a.judge(found, stored.Version)
}

// judge decides by another attempt's row.
func (a *attempt) judge(found *row, version uint64) (*shelfshelf.ServiceAnswer, verdict, error) {
	if found.digest != a.claim.row.digest {
		return nil, verdictFailed, ErrOtherBody
	}
	now := a.claims.Clock.Now()
	lapse := a.claims.Guards.Lapse
	switch {
	case found.state == stateFinished:
		return &found.answer, verdictAnswered, nil
	case found.state == stateReleased, lapse > 0 && now.Sub(found.at) > lapse:
		a.version = version
		a.waiting = false
		return nil, verdictAgain, nil
	case now.Before(a.waitUntil):
		a.waiting = true
		return nil, verdictAgain, nil
	}
	return nil, verdictFailed, ErrUnknown
}

// giveUp makes sure that a write of ours that is still under way can't become a
// claim that nobody works on. The caller has been told that the call was not
// run, and it won't be: this only lets a later attempt through.
func (a *attempt) giveUp() {
	if !a.unsure {
		return
	}
	released := a.claim.row
	released.state = stateReleased
	select {
	case <-a.claims.ended:
		return
	default:
	}
	a.claims.cleanUp.Add(1)
	go a.claims.runRelease(a.claim.key, a.version, released)
}

// runRelease writes a released row over an absent one or over our own claim.
func (c *Claims) runRelease(key string, version uint64, released row) {
	defer c.cleanUp.Done()
	ctx := context.Background()
	for range cleanUpTries {
		_, err := c.Table.Transact(ctx, []shelfshelf.Put{{Key: key, Value: released.encode(), IfVersion: version}})
		if err == nil {
			return
		}
		if stored, err := c.Table.Get(ctx, key); err == nil && stored.Version > 0 {
			found, err := decodeRow(stored.Value)
			if err != nil || found.nonce != released.nonce || found.state != stateHeld {
				return
			}
			version = stored.Version
			continue
		}
		select {
		case <-c.ended:
			return
		case <-c.Clock.After(cleanUpPause):
		}
	}
	c.Log.Warn("A claim that was not used could not be released.", "key", key)
}

// Finish stores the answer of a claimed call, so that a retry gets the same.
// An error means that retries will hear that the call may have run.
func (c *Claims) Finish(ctx context.Context, claim *Claim, answer shelfshelf.ServiceAnswer) error {
	finished := claim.row
	finished.state = stateFinished
	finished.answer = answer
	return c.settle(ctx, claim, finished)
}

// Release gives up a claim whose call was provably not run.
func (c *Claims) Release(ctx context.Context, claim *Claim) error {
	released := claim.row
	released.state = stateReleased
	return c.settle(ctx, claim, released)
}

// settle writes a claim's last state. Only we may write over our claim, so a
// conflict means that an earlier try has taken effect.
func (c *Claims) settle(ctx context.Context, claim *Claim, last row) error {
	put := shelfshelf.Put{Key: claim.key, Value: last.encode(), IfVersion: claim.version}
	for {
		_, err := c.start().put(ctx, put)
		if err == nil || errors.Is(err, shelfshelf.ErrConflict) {
			return nil
		}
		if errors.Is(err, ErrStopped) {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, "claim left unsettled")
		case <-c.Clock.After(retryPause):
		}
	}
}
