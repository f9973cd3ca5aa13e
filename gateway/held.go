package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// heldRetryAfter is what callers are told while this instance holds as much as it may; others have
	// room.
	heldRetryAfter = 200 * time.Millisecond
	// readGrace is how long after a request's deadline its caller may still read what has been
	// written.
	readGrace = 2 * time.Second
)

// errTooMuchHeld means that an instance holds as much for its callers as it may.
var errTooMuchHeld = errors.New("too much is held for callers")

// held is how many bytes an instance holds for its callers and targets, over all requests.
type held struct {
	bytes atomic.Int64
}

// take holds more if that is within a limit, 0 meaning none.
func (h *held) take(bytes, limit int64) bool {
	if sum := h.bytes.Add(bytes); limit > 0 && sum > limit {
		h.bytes.Add(-bytes)
		return false
	}
	return true
}

// heldBody reads a body and holds what it has read.
type heldBody struct {
	request *request
	body    io.Reader
}

// Read reads as much as may be held.
func (b heldBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 && !b.request.hold(int64(n)) {
		return 0, errTooMuchHeld
	}
	return n, err
}

// hold holds more for the request until it ends, and reports whether there was room.
func (c *request) hold(bytes int64) bool {
	if !c.server.held.take(bytes, c.server.MaxHeld) {
		return false
	}
	c.held += bytes
	return true
}

// holdAnswer holds an answer that is there already: room is made for it by the bodies that come next.
func (c *request) holdAnswer(bytes int64) {
	c.server.held.take(bytes, 0)
	c.held += bytes
}

// letGo gives back what was held for the request.
func (c *request) letGo() {
	c.server.held.bytes.Add(-c.held)
	c.held = 0
}

// boundWriting ends writes to a caller that doesn't read: until then what it is sent stays in memory.
func (c *request) boundWriting(patience time.Duration) {
	// Writers that know no deadline, as in tests, have none to set.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Now().Add(patience + readGrace))
}

// Held returns how many bytes are held for callers and targets.
func (s *Server) Held() int64 { return s.held.bytes.Load() }
