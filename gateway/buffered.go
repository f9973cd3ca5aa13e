package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// bufferFullRetryAfter is the Retry-After sent while this instance's buffers are full. It is short
	// because other instances have room.
	bufferFullRetryAfter = 200 * time.Millisecond
	// writeGrace is how long after the request's deadline the caller may still read the response.
	writeGrace = 2 * time.Second
)

// errBufferFull means that this instance buffers as many bytes as it may.
var errBufferFull = errors.New("too much is held for callers")

// bufferUsage counts the bytes that this instance buffers for callers and targets, over all requests.
type bufferUsage struct {
	bytes atomic.Int64
}

// reserve adds bytes unless that would exceed the limit. A limit of 0 means unlimited.
func (u *bufferUsage) reserve(bytes, limit int64) bool {
	if total := u.bytes.Add(bytes); limit > 0 && total > limit {
		u.bytes.Add(-bytes)
		return false
	}
	return true
}

// bufferedBody reads a request body and counts what it has read against the buffer limit.
type bufferedBody struct {
	request *request
	body    io.Reader
}

func (b bufferedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 && !b.request.reserveBuffer(int64(n)) {
		return 0, errBufferFull
	}
	return n, err
}

// reserveBuffer reserves buffer space until the request ends, and reports whether there was room.
func (c *request) reserveBuffer(bytes int64) bool {
	if !c.server.buffered.reserve(bytes, c.server.MaxBufferedBytes) {
		return false
	}
	c.bufferedBytes += bytes
	return true
}

// addToBuffer counts a response that is already in memory, even beyond the limit. Request bodies that
// arrive later are refused until there is room again.
func (c *request) addToBuffer(bytes int64) {
	c.server.buffered.reserve(bytes, 0)
	c.bufferedBytes += bytes
}

// releaseBuffer releases the buffer space of the request.
func (c *request) releaseBuffer() {
	c.server.buffered.bytes.Add(-c.bufferedBytes)
	c.bufferedBytes = 0
}

// setWriteDeadline limits writes to a caller that doesn't read, because the response stays in memory
// until it is written.
func (c *request) setWriteDeadline(timeout time.Duration) {
	// Writers without deadline support, as in tests, are left as they are.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}

// BufferedBytes returns the number of bytes buffered for callers and targets.
func (s *Server) BufferedBytes() int64 { return s.buffered.bytes.Load() }
