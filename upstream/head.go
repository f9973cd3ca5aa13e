package upstream

import (
	"net/http"
	"time"

	"github.com/shelfshelf/shelfshelf/bounds"
)

const (
	// maxHeadBytes bounds the heads of all responses that are read for one request. A head of a target has
	// less than 1 KiB, and net/http sets no bound: one connection could fill the memory of an instance.
	maxHeadBytes = 64 << 10
	// headTimeout bounds the time from the first to the last byte of these heads, not counting the time
	// between two heads. It outlasts a target that is silent for up to 2 s amid a head and then goes on.
	headTimeout = 3500 * time.Millisecond
)

// headLimit is what has been used of the bounds on response heads for the current request of a connection.
type headLimit struct {
	// reading is true while a head is read, so that reads from the socket count.
	reading bool
	bytes   int
	time    time.Duration
	// exceeded is set once a read failed because of the bound on bytes.
	exceeded *bounds.Exceeded
}

// Read reads from the socket. While a head is read, it fails once the heads exceed their bound.
func (c *conn) Read(buffer []byte) (int, error) {
	if !c.head.reading {
		return c.Conn.Read(buffer)
	}
	left := maxHeadBytes - c.head.bytes
	if left <= 0 {
		c.head.exceeded = &bounds.Exceeded{Bound: bounds.HeadBytes, Bytes: int64(c.head.bytes)}
		return 0, c.head.exceeded
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), left)])
	c.head.bytes += n
	return n, err
}

// readHead reads the head of a response within the bounds on the request's heads. The time bound is extended
// by allowance.
func (c *conn) readHead(method string, allowance time.Duration) (*http.Response, error) {
	c.head.bytes += c.reader.Buffered()
	c.head.reading = true
	began := time.Now()
	expiry := time.AfterFunc(headTimeout+allowance-c.head.time, func() {
		// A deadline in the past unblocks the pending read.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	})
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	inTime := expiry.Stop()
	c.head.time += time.Since(began)
	c.head.reading = false
	if c.head.exceeded != nil {
		// The parser reports a line that ends at the bound as malformed.
		return nil, c.head.exceeded
	}
	if !inTime {
		return nil, &bounds.Exceeded{Bound: bounds.HeadTime, Bytes: int64(c.head.bytes)}
	}
	c.head.bytes -= c.reader.Buffered()
	return response, err
}
