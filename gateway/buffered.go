package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/bounds"
)

const (
	// bufferFullRetryAfter is the Retry-After sent while this instance's buffers are full. It is short
	// because other instances have room.
	bufferFullRetryAfter = 200 * time.Millisecond
	// writeGrace is how long after the request's deadline the caller may still read the response.
	writeGrace = 2 * time.Second
	// responseRoom times the limit for request bodies is the limit for all bodies. Responses still have room where
	// requests are refused, since the work behind a response has been done.
	responseRoom = 1.25
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

// reserveResponse reserves space for bytes of a response until the request ends, and reports whether there was
// room.
func (c *request) reserveResponse(bytes int64) bool {
	if !c.server.buffered.reserve(bytes, int64(responseRoom*float64(c.server.MaxBufferedBytes))) {
		return false
	}
	c.bufferedBytes += bytes
	return true
}

// releaseResponse releases space that reserveResponse reserved.
func (c *request) releaseResponse(bytes int64) {
	c.server.buffered.bytes.Add(-bytes)
	c.bufferedBytes -= bytes
}

// responseReader reads a response that is buffered completely, within the bounds on one body and on all.
type responseReader struct {
	request *request
	body    io.Reader
	read    int64
}

func (r *responseReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.read+int64(n) > maxResponseBytes {
		return 0, &bounds.Exceeded{Bound: bounds.BodyBytes, Bytes: r.read + int64(n)}
	}
	if n > 0 && !r.request.reserveResponse(int64(n)) {
		return 0, &bounds.Exceeded{Bound: bounds.BufferedBytes, Bytes: r.read + int64(n)}
	}
	r.read += int64(n)
	return n, err
}

// reportExceeded passes a bound that a response exceeded here to OnExceeded.
func (c *request) reportExceeded(lease *balance.Lease, err error) {
	var exceeded *bounds.Exceeded
	if c.server.OnExceeded == nil || !errors.As(err, &exceeded) {
		return
	}
	switch exceeded.Bound {
	case bounds.BodyBytes, bounds.EventBytes, bounds.BufferedBytes:
		c.server.OnExceeded(lease.Target, exceeded)
	default:
		// The client of targets has reported it.
	}
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
