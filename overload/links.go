package overload

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// maxRoundTrip is how long it may take to open a connection to another instance; one to the furthest region
	// takes 25 ms.
	maxRoundTrip = 60 * time.Millisecond
	// peersAtOnce is how many instances are tried at once. The first that answers counts, since others may be cut
	// off or late themselves.
	peersAtOnce = 3
	// maxProbeTime bounds one round trip. Over links that are full one took half a second.
	maxProbeTime = time.Second
	// linkProbeInterval is the pause between two round trips while they take too long.
	linkProbeInterval = 20 * time.Millisecond
)

// Dialed records how long it took to open a connection to a target. If that is long, it may be the target's fault or
// that of this instance's links; connections to other instances tell which.
func (m *Meter) Dialed(took time.Duration) {
	if took <= maxRoundTrip {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usedAt = m.Clock.Now()
	if !m.trips.running {
		m.trips.bound = maxRoundTrip
		m.trips.start(m.usedAt)
		go m.runRoundTrips()
	}
}

// runRoundTrips measures one round trip, and more while they take too long.
func (m *Meter) runRoundTrips() {
	for m.measureRoundTrip() {
		<-m.Clock.After(linkProbeInterval)
		m.restart(&m.trips)
	}
}

// measureRoundTrip measures one round trip, and reports whether to go on.
func (m *Meter) measureRoundTrip() bool {
	answered := m.roundTrip()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if !answered {
		m.trips.reset()
		m.logChange(&m.trips, "links", now)
		return false
	}
	return m.end(&m.trips, "links", now)
}

// roundTrip opens connections to some other instances and returns once one of them is open. It reports false if none
// is, which says nothing: there may be no others, or this instance is cut off from them.
func (m *Meter) roundTrip() bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxProbeTime)
	defer cancel()
	peers := m.Peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	peers = peers[:min(len(peers), peersAtOnce)]
	results := make(chan error, len(peers))
	for _, address := range peers {
		go func() { results <- m.connect(ctx, address) }()
	}
	for range peers {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}

// connect opens a connection and closes it.
func (m *Meter) connect(ctx context.Context, address string) error {
	dial := m.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
