package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bounds"
)

const (
	// DialTimeout bounds the time to open a connection. Reaching a target takes about 1 ms and the
	// handshake another; a target that is unreachable or overloaded does not respond for seconds.
	DialTimeout = 150 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may remain unacknowledged. It also decides when
	// keep-alive probes give up, so it has to outlast a target that is silent for up to 2 s and the next probe;
	// and data that is lost is sent again only 0.2, 0.6, 1.4 and 3 s later.
	userTimeout = 3500 * time.Millisecond
	// maxIdleTime bounds how long an idle connection is kept, since servers close or silently drop idle
	// connections after some time. A target can shorten it with a Keep-Alive header.
	maxIdleTime = 4 * time.Second
	// idleCheckInterval is how often expired idle connections are closed.
	idleCheckInterval = 2 * time.Second
	// keepAliveMargin is subtracted from the Keep-Alive timeout that the target announced.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections per target.
	maxIdlePerTarget = 16
	// maxUnmatchedResponses bounds how many response heads are read for a request. The responses read
	// may be informational (1xx) or belong to other requests.
	maxUnmatchedResponses = 3
	// maxUnmatchedBytes bounds the body of a response to another request that is skipped.
	maxUnmatchedBytes = 1 << 20
	readBufferBytes   = 4 << 10
	// tcpUserTimeoutOption is TCP_USER_TIMEOUT on Linux, which package syscall does not define.
	tcpUserTimeoutOption = 0x12
)

// Request is a request to a target.
type Request struct {
	ID shelfshelf.RequestID
	// Target is the target that receives the request.
	Target shelfshelf.Target
	Method string
	// RequestURI is the request target: path and query exactly as received from the caller.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// NewConnection requires a new connection, for example after a failure on a reused one.
	NewConnection bool
	// Prepare, if set, is called right before the request is sent and may replace Header. After an error
	// the request is not sent.
	Prepare func(*Request) error
}

// Response is a response whose head has been read and whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	Answer shelfshelf.ResponseMetadata
	// Length is the length of the body in bytes, or -1 if the head does not contain it. Framed is set if the
	// body has a length or is chunked; otherwise it ends when the target closes the connection.
	Length int64
	Framed bool
	// Via is the instance that the response came through; empty if it came directly.
	Via string
	// Body is the body. Its Read returns io.EOF only at the end of a complete response. Close ends the
	// round trip; before the end of the body, it makes most targets stop processing the request.
	Body io.ReadCloser
}

// Client sends requests to targets. The exported fields must be set before use.
type Client struct {
	Clock shelfshelf.Clock
	Codec shelfshelf.CallCodec
	// Dial opens a connection. If nil, the operating system's dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnAnswer, if set, is called with the decoded head of each response and the time at which the latest
	// request on its connection was sent. It is also called for late responses to other requests, if they
	// contain an announcement of the target.
	OnAnswer func(target shelfshelf.Target, answer shelfshelf.ResponseMetadata, sent time.Time)
	// OnDial, if set, is called after each attempt to open a connection, with the time that it took and the
	// error if it failed. It is not called if the caller ended the attempt.
	OnDial func(address string, took time.Duration, err error)
	// OnExceeded, if set, is called when a target exceeds a bound on what is read from it. The attempt has failed.
	OnExceeded func(target shelfshelf.Target, exceeded *bounds.Exceeded)
	// Allowance returns how much longer a connection may take because this instance is late itself; nil means no
	// longer.
	Allowance func() time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts the connections opened so far.
	opened uint64
}

// ConnectionsOpened returns how many connections have been opened.
func (c *Client) ConnectionsOpened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Send sends a request to an address and returns once the head of the response has been read. The error
// is ErrNotRun if no connection could be opened, so that nothing was sent, and ErrIncompleteResponse otherwise.
func (c *Client) Send(ctx context.Context, address string, request Request) (*Response, error) {
	reserved, err := c.Reserve(ctx, address, request.NewConnection)
	if err != nil {
		return nil, err
	}
	return reserved.Send(ctx, request)
}

// Preconnect opens a connection to an address and adds it to the idle connections for the next request.
func (c *Client) Preconnect(ctx context.Context, address string) error {
	connection, err := c.acquire(ctx, address, true)
	if err != nil {
		return err
	}
	connection.idleSince = c.Clock.Now()
	c.putIdle(address, connection)
	return nil
}

// acquire returns an idle connection, unless fresh is set, or opens a new one.
func (c *Client) acquire(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if idle := c.takeIdle(address); idle != nil {
			return idle, nil
		}
	}
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(dialed, userTimeout); err != nil {
		_ = dialed.Close()
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	connection := &conn{Conn: dialed}
	connection.reader = bufio.NewReaderSize(connection, readBufferBytes)
	return connection, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, DialTimeout+c.allowance())
	defer cancel()
	began := c.Clock.Now()
	connection, err := c.dialLimited(limited, address)
	if c.OnDial != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.OnDial(address, c.Clock.Now().Sub(began), err)
	}
	return connection, err
}

func (c *Client) allowance() time.Duration {
	if c.Allowance == nil {
		return 0
	}
	return c.Allowance()
}

func (c *Client) dialLimited(ctx context.Context, address string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, "tcp", address)
	}
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	return dialer.DialContext(ctx, "tcp", address)
}

func (c *Client) takeIdle(address string) *conn {
	now := c.Clock.Now()
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		idle := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		limit := maxIdleTime
		if idle.keepAlive > 0 {
			limit = min(limit, idle.keepAlive-keepAliveMargin)
		}
		if now.Sub(idle.idleSince) < limit && idle.openAndDrained() {
			idle.reused = true
			return idle
		}
		_ = idle.Close()
	}
}

// roundTrip writes the request and reads response heads until the one with this request's ID. It skips
// informational responses and responses to other requests.
func (c *Client) roundTrip(connection *conn, request Request) (*Response, error) {
	wire, err := encodeRequest(request)
	if err != nil {
		return nil, err
	}
	connection.sentAt = c.Clock.Now()
	connection.head = headLimit{}
	if _, err := connection.Write(wire); err != nil {
		return nil, err
	}
	for range maxUnmatchedResponses {
		if err := connection.awaitResponse(); err != nil {
			return nil, err
		}
		//nolint:bodyclose // Response.Close closes or keeps the whole connection.
		response, err := c.readHead(connection, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		answer := c.reportAnswer(connection, request, response)
		if answer.ID == request.ID {
			return &Response{
				Status: response.StatusCode,
				Header: response.Header,
				Answer: answer,
				Length: response.ContentLength,
				Framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
				Body:   &body{client: c, conn: connection, target: request.Target, httpResponse: response},
			}, nil
		}
		if err := discardResponse(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers of other requests came")
}

// readHead reads the head of a response and reports a bound that it exceeds.
func (c *Client) readHead(connection *conn, request Request) (*http.Response, error) {
	response, err := connection.readHead(request.Method, c.allowance())
	var exceeded *bounds.Exceeded
	if errors.As(err, &exceeded) {
		c.reportExceeded(request.Target, exceeded)
	}
	return response, err
}

func (c *Client) reportExceeded(target shelfshelf.Target, exceeded *bounds.Exceeded) {
	if c.OnExceeded != nil {
		c.OnExceeded(target, exceeded)
	}
}

// reportAnswer decodes the head of a response and passes it to OnAnswer.
func (c *Client) reportAnswer(connection *conn, request Request, response *http.Response) shelfshelf.ResponseMetadata {
	answer := c.Codec.Answer(response.StatusCode, response.Header)
	if c.OnAnswer != nil && (answer.ID == request.ID || answer.HasAnnouncement()) {
		c.OnAnswer(request.Target, answer, connection.sentAt)
	}
	return answer
}

// discardResponse reads and discards the body of a response to another request.
func discardResponse(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("an answer of another request has no end")
	}
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBytes))
	if err != nil {
		return err
	}
	if read == maxUnmatchedBytes {
		return errors.New("an answer of another request is too long")
	}
	return nil
}

// encodeRequest encodes the request for the wire, with a Content-Length if it has a body.
func encodeRequest(request Request) ([]byte, error) {
	target, err := url.ParseRequestURI(request.RequestURI)
	if err != nil {
		return nil, err
	}
	outgoing := &http.Request{
		Method: request.Method,
		URL:    &url.URL{Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery, ForceQuery: target.ForceQuery},
		Host:   request.Host,
		Header: request.Header,
	}
	outgoing.URL.Opaque = opaquePath(request.RequestURI)
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
		outgoing.ContentLength = int64(len(request.Body))
	}
	if _, set := request.Header["User-Agent"]; !set {
		// An empty value prevents net/http from adding its own User-Agent.
		request.Header["User-Agent"] = []string{""}
	}
	var wire bytes.Buffer
	wire.Grow(len(request.Body) + 1<<10)
	if err := outgoing.Write(&wire); err != nil {
		return nil, err
	}
	return wire.Bytes(), nil
}

// opaquePath returns the path for URL.Opaque, which makes net/http send it unchanged. It returns an empty
// string for a path that begins with two slashes, which net/http would interpret as a host.
func opaquePath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "//") {
		return ""
	}
	return path
}

func (c *Client) putIdle(address string, connection *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*conn)
	}
	if len(c.idle[address]) >= maxIdlePerTarget {
		_ = connection.Close()
		return
	}
	c.idle[address] = append(c.idle[address], connection)
}

// Run closes expired idle connections, including those to removed targets, until the context is cancelled.
// Then it closes all idle connections.
func (c *Client) Run(ctx context.Context) error {
	return c.loop(ctx)
}

func (c *Client) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			c.closeIdle(0)
			return nil
		case <-c.Clock.After(idleCheckInterval):
			c.closeIdle(maxIdleTime)
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, connection := range list {
		_ = connection.Close()
	}
}

// closeIdle closes the connections that have been idle for at least limit.
func (c *Client) closeIdle(limit time.Duration) {
	now := c.Clock.Now()
	c.mu.Lock()
	var expired []*conn
	for address, list := range c.idle {
		var kept []*conn
		for _, connection := range list {
			if now.Sub(connection.idleSince) >= limit {
				expired = append(expired, connection)
				continue
			}
			kept = append(kept, connection)
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, connection := range expired {
		_ = connection.Close()
	}
}
