package overload

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// checkInterval is how often it is checked whether the address may be opened again.
const checkInterval = 20 * time.Millisecond

const (
	// maxPending and maxPendingTime bound how many connections are taken as the address closes, and for how long, so
	// that a crowd without a pause doesn't keep it open. Closing resets those that are left, although their callers
	// have mostly sent their requests. More than 16 are too many at once for a small instance that becomes late: of
	// 7,490 connections at one that serves 80 per second, 742 were answered within a second with 16, 441 with 64 and
	// 5 with 160.
	maxPending     = 16
	maxPendingTime = 25 * time.Millisecond
	// pendingTime is for how long a connection is awaited while the address closes, where the listener doesn't tell
	// whether there is one.
	pendingTime = time.Millisecond
)

// deadliner is a listener that can stop waiting, as those of the operating system can.
type deadliner interface {
	SetDeadline(end time.Time) error
}

// Listener takes connections as a gate allows. While it takes none, its address is closed, so that callers are refused
// at once by the operating system and may try another instance with any request; a connection that is accepted and
// closed unread would have cost the processor's time, and the link the whole request. Its fields are set before use.
type Listener struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	Gate  *Gate
	// Address is where connections come to, and Listen opens it.
	Address string
	Listen  func(address string) (net.Listener, error)

	mu sync.Mutex
	// open is the open address; nil while it is closed.
	open net.Listener
	// pending are the connections that were taken as the address closed. Accept alone uses it.
	pending []net.Conn
	// failing says that the address couldn't be opened again when that was last tried.
	failing atomic.Bool
	ended   chan struct{}
	once    sync.Once
}

// Open opens the address for the first time.
func (l *Listener) Open() error {
	l.ended = make(chan struct{})
	_, err := l.reopen()
	return err
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.hasEnded() {
		if len(l.pending) > 0 {
			conn := l.pending[0]
			l.pending = l.pending[1:]
			return conn, nil
		}
		wait, holds := l.Gate.Next()
		if wait > 0 {
			// All are taken before the first is returned, so that the address closes before more arrive.
			l.pending = l.acceptPending()
			l.suspend()
			if len(l.pending) == 0 {
				l.pause(min(wait, checkInterval))
			}
			continue
		}
		open, err := l.reopen()
		if l.recordReopened(err); err != nil {
			l.pause(checkInterval)
			continue
		}
		conn, err := l.acceptWithin(open, holds)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return conn, err
	}
	for _, conn := range l.pending {
		_ = conn.Close()
	}
	l.pending = nil
	return nil, net.ErrClosed
}

// acceptPending returns the connections that have arrived, within the bounds on their number and the time.
func (l *Listener) acceptPending() []net.Conn {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	if open == nil {
		return nil
	}
	var pending []net.Conn
	for began := l.Clock.Now(); len(pending) < maxPending && l.Clock.Now().Sub(began) < maxPendingTime; {
		if waiting, known := isConnectionWaiting(open); known && !waiting {
			break
		}
		conn, err := l.acceptWithin(open, pendingTime)
		if err != nil {
			break
		}
		pending = append(pending, conn)
	}
	return pending
}

// acceptWithin returns the next connection that comes within a time; 0 means without an end.
func (l *Listener) acceptWithin(open net.Listener, within time.Duration) (net.Conn, error) {
	var end time.Time
	if within > 0 {
		end = l.Clock.Now().Add(within)
	}
	if limited, ok := open.(deadliner); ok {
		if err := limited.SetDeadline(end); err != nil {
			return nil, err
		}
	}
	conn, err := open.Accept()
	if err == nil {
		l.Gate.Taken()
	}
	return conn, err
}

// reopen opens the address if it is closed. The error is net.ErrClosed if the listener has ended.
func (l *Listener) reopen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasEnded() {
		return nil, net.ErrClosed
	}
	if l.open != nil {
		return l.open, nil
	}
	open, err := l.Listen(l.Address)
	if err != nil {
		return nil, err
	}
	// A port that the system has chosen stays.
	l.Address = open.Addr().String()
	l.open = open
	return open, nil
}

// recordReopened records whether the address could be opened, and logs a change of that.
func (l *Listener) recordReopened(err error) {
	failing := err != nil && !l.hasEnded()
	if l.failing.Swap(failing) == failing {
		return
	}
	if failing {
		l.Log.Error("The address for callers can't be opened again; this is tried on.", "error", err)
		return
	}
	l.Log.Info("The address for callers is open again.")
}

// Failing reports whether the address ought to be open and can't be.
func (l *Listener) Failing() bool { return l.failing.Load() }

// suspend closes the address.
func (l *Listener) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		return
	}
	if err := l.open.Close(); err != nil {
		l.Log.Error("The address for callers could not be closed.", "error", err)
	}
	l.open = nil
}

// pause waits unless the listener ends.
func (l *Listener) pause(wait time.Duration) {
	select {
	case <-l.Clock.After(wait):
	case <-l.ended:
	}
}

func (l *Listener) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// Close ends the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.ended) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		return nil
	}
	open := l.open
	l.open = nil
	return open.Close()
}

// Addr returns the address, or nil while it is closed.
func (l *Listener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		return nil
	}
	return l.open.Addr()
}
