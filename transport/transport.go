package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// HeaderRequestID names a request to targets, which echo it, and to callers.
const HeaderRequestID = "X-Request-Id"

const (
	dialTimeout = time.Second
	// idleTimeout is below what servers usually keep, so that a connection that
	// the other side has closed is rarely used.
	idleTimeout    = 20 * time.Second
	idlePerAddress = 256
	bufferBytes    = 16 << 10
)

// Once sends requests to targets, each at most once.
type Once struct {
	transport *http.Transport
}

// NewOnce returns a transport with its own connections.
func NewOnce() *Once {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Once{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     bufferBytes,
	}}
}

// Close closes the connections that are not in use.
func (o *Once) Close() {
	o.transport.CloseIdleConnections()
}

// RoundTrip sends the request once. An error is ErrNotRun if not a byte of it
// was written to the target, else ErrIncompleteResponse.
func (o *Once) RoundTrip(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, eris.Wrap(shelfshelf.ErrNotRun, err.Error())
	}
	if header != nil {
		request.Header = header
	}
	// A body of a type that net/http can't rewind keeps it from sending again.
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.ContentLength = 0
	}
	var used *countingConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			used = conn
			before = conn.written.Load()
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := o.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if used == nil || used.written.Load() == before {
		return nil, eris.Wrap(shelfshelf.ErrNotRun, err.Error())
	}
	return nil, eris.Wrap(shelfshelf.ErrIncompleteResponse, err.Error())
}

// countingConn counts the bytes handed to the kernel, whether or not all of a
// write succeeded.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes, so that a cut in between counts as sent.
func (c *countingConn) Write(content []byte) (int, error) {
	c.written.Add(int64(len(content)))
	return c.Conn.Write(content)
}

// IsNotRun reports that the target provably did not run the request.
func IsNotRun(err error) bool {
	return errors.Is(err, shelfshelf.ErrNotRun)
}

// RefusedStatus reports that a status is a target's own word that it did not
// run the request: it is over its load or about to stop.
func RefusedStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
