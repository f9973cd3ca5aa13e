package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// crowd keeps the number of callers' connections below a limit by closing those that rest,
// the longest first: where 2,000 resting ones filled the limit, an instance that called itself
// ready took no new connection until one of them was closed for its age, after 30 s. Fields
// are set before use. It is safe for concurrent use.
type crowd struct {
	// Limit is the most connections.
	Limit int

	mu sync.Mutex
	// resting are idle connections, the longest first, and places where each stands.
	resting list.List
	places  map[net.Conn]*list.Element
	open    map[net.Conn]bool
	full    atomic.Bool
}

// changed follows a connection's state; it is the server's ConnState.
func (c *crowd) changed(conn net.Conn, state http.ConnState) {
	if surplus := c.note(conn, state); surplus != nil {
		_ = surplus.Close()
	}
}

// note notes a state and returns a resting connection that is to make room, if any.
func (c *crowd) note(conn net.Conn, state http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places == nil {
		c.places = make(map[net.Conn]*list.Element)
		c.open = make(map[net.Conn]bool)
	}
	if at := c.places[conn]; at != nil {
		c.resting.Remove(at)
		delete(c.places, conn)
	}
	switch state {
	case http.StateNew, http.StateActive:
		c.open[conn] = true
	case http.StateIdle:
		c.open[conn] = true
		c.places[conn] = c.resting.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
	var surplus net.Conn
	if longest := c.resting.Front(); longest != nil && len(c.open) >= c.Limit {
		surplus = longest.Value.(net.Conn)
		c.resting.Remove(longest)
		delete(c.places, surplus)
	}
	c.full.Store(len(c.open) >= c.Limit && surplus == nil)
	return surplus
}

// Full reports that all connections are at work, so that a new one would wait.
func (c *crowd) Full() bool { return c.full.Load() }
