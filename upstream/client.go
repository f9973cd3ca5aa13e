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
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// DialTimeout bounds a new connection; the way to a target takes about 1 ms and
	// its handshake another. A target that is dark or full says nothing for seconds.
	DialTimeout = 150 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// maxIdle is how long an unused connection is kept where the target doesn't say;
	// servers close or forget them without a word after some time.
	maxIdle = 4 * time.Second
	// sweepPeriod is how often connections that are kept for too long are closed.
	sweepPeriod = 2 * time.Second
	// keepMargin is how much sooner than the target says a connection is dropped.
	keepMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the unused connections to one target.
	maxIdlePerTarget = 16
	// maxForeignAnswers bounds how many answers of other requests are skipped.
	maxForeignAnswers = 3
	// maxForeignBytes bounds how much of them is read, in bytes.
	maxForeignBytes = 1 << 20
	bufferBytes     = 4 << 10
	// tcpUserTimeout is the socket option's number on Linux; package syscall lacks it.
	tcpUserTimeout = 0x12
)

// Request is one request as it goes to a target.
type Request struct {
	ID shelfshelf.RequestID
	// To is the target that the request is meant for.
	To     shelfshelf.Target
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection, as after a failure on a kept one.
	Fresh bool
}

// Response is the head of an answer with its body still to be read.
type Response struct {
	Status int
	Header http.Header
	Answer shelfshelf.Answer
	// Length is the body's length in bytes, -1 if it is not told beforehand.
	Length int64

	client *Client
	conn   *conn
	target string
	http   *http.Response
	stop   func() bool
	whole  bool
	failed bool
}

// Client sends requests to targets. Fields are set before use.
type Client struct {
	Clock shelfshelf.Clock
	Codec shelfshelf.CallCodec
	// Dial opens a connection; nil means the operating system's way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Answered is told of the head of every answer that is read, with when its request was
	// sent, also of late ones of other requests; nil means nobody.
	Answered func(target shelfshelf.Target, answer shelfshelf.Answer, sent time.Time)

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts new connections.
	opened uint64
}

// Opened returns how many connections have been opened.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Send sends a request to an address and returns when the head of its answer is
// there. An error is ErrNotRun if not a byte was sent, else ErrBroken.
func (c *Client) Send(ctx context.Context, address string, request Request) (*Response, error) {
	connection, err := c.connect(ctx, address, request.Fresh)
	if err != nil {
		return nil, eris.Wrap(shelfshelf.ErrNotRun, err.Error())
	}
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends reads and writes that wait.
		_ = connection.SetDeadline(time.Unix(1, 0))
	})
	response, err := c.exchange(connection, request)
	if err != nil {
		stop()
		return nil, &brokenError{cause: c.giveUp(ctx, connection, request, err)}
	}
	response.target = address
	response.stop = stop
	return response, nil
}

// Reach opens a connection to an address and keeps it for the next request; the error says
// why there is none.
func (c *Client) Reach(ctx context.Context, address string) error {
	connection, err := c.connect(ctx, address, true)
	if err != nil {
		return err
	}
	connection.idleSince = c.Clock.Now()
	c.keep(address, connection)
	return nil
}

// connect takes a kept connection or opens one.
func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if kept := c.takeIdle(address); kept != nil {
			return kept, nil
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
	return &conn{Conn: dialed, reader: bufio.NewReaderSize(dialed, bufferBytes)}, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
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
		kept := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		limit := maxIdle
		if kept.keep > 0 {
			limit = min(limit, kept.keep-keepMargin)
		}
		if now.Sub(kept.idleSince) < limit && kept.quiet() {
			kept.used = true
			return kept
		}
		_ = kept.Close()
	}
}

// exchange writes the request and reads heads until the one of this request.
func (c *Client) exchange(connection *conn, request Request) (*Response, error) {
	wire, err := encodeRequest(request)
	if err != nil {
		return nil, err
	}
	connection.sentAt = c.Clock.Now()
	if _, err := connection.Write(wire); err != nil {
		return nil, err
	}
	for range maxForeignAnswers {
		if err := connection.await(); err != nil {
			return nil, err
		}
		//nolint:bodyclose // the connection is closed or kept as a whole by Response.Close.
		answer, err := http.ReadResponse(connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		meaning := c.meaning(connection, request, answer)
		if meaning.ID == request.ID {
			return &Response{
				Status: answer.StatusCode,
				Header: answer.Header,
				Answer: meaning,
				Length: answer.ContentLength,
				client: c,
				conn:   connection,
				http:   answer,
			}, nil
		}
		if err := skip(answer); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers of other requests came")
}

// meaning reads what a target says with an answer, and tells it on.
func (c *Client) meaning(connection *conn, request Request, answer *http.Response) shelfshelf.Answer {
	meaning := c.Codec.Answer(answer.StatusCode, answer.Header)
	if c.Answered != nil && (meaning.ID == request.ID || meaning.Announces()) {
		c.Answered(request.To, meaning, connection.sentAt)
	}
	return meaning
}

// skip reads over the answer of another request.
func skip(answer *http.Response) error {
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return errors.New("an answer of another request has no end")
	}
	read, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBytes))
	if err != nil {
		return err
	}
	if read == maxForeignBytes {
		return errors.New("an answer of another request is too long")
	}
	return nil
}

// encodeRequest writes the request as it goes on the wire, with a length.
func encodeRequest(request Request) ([]byte, error) {
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return nil, err
	}
	outgoing := &http.Request{
		Method: request.Method,
		URL:    &url.URL{Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery, ForceQuery: target.ForceQuery},
		Host:   request.Host,
		Header: request.Header,
	}
	outgoing.URL.Opaque = opaque(request.Target)
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
		outgoing.ContentLength = int64(len(request.Body))
	}
	if _, set := request.Header["User-Agent"]; !set {
		// An empty value keeps net/http from adding its own.
		request.Header["User-Agent"] = []string{""}
	}
	var wire bytes.Buffer
	wire.Grow(len(request.Body) + 1<<10)
	if err := outgoing.Write(&wire); err != nil {
		return nil, err
	}
	return wire.Bytes(), nil
}

// opaque makes net/http send a path byte for byte; it would read one that begins
// with two slashes as a host.
func opaque(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "//") {
		return ""
	}
	return path
}

// Read reads the body. The end is io.EOF only if the answer is whole.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.http.Body.Read(buffer)
	switch {
	case err == io.EOF:
		r.whole = true
	case err != nil:
		r.failed = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = context.Canceled
		}
	}
	return n, err
}

// Framed reports that the answer tells where it ends; one that doesn't ends with
// its connection.
func (r *Response) Framed() bool {
	return r.Length >= 0 || len(r.http.TransferEncoding) > 0
}

// Close ends the exchange. A connection whose answer was read to its end is kept
// for the next request if nothing speaks against it; else it is closed, which
// makes most targets stop their work.
func (r *Response) Close() {
	undisturbed := r.stop()
	reusable := undisturbed && r.whole && !r.failed && r.Framed() && !r.http.Close && r.conn.reader.Buffered() == 0
	if !reusable {
		_ = r.conn.Close()
		return
	}
	r.conn.idleSince = r.client.Clock.Now()
	r.conn.keep = keepAlive(r.Header)
	r.client.keep(r.target, r.conn)
}

func (c *Client) keep(address string, connection *conn) {
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

// Run closes kept connections that nobody has used for long, also those to targets
// that are gone, until the context ends; then it closes all.
func (c *Client) Run(ctx context.Context) error {
	return c.loop(ctx)
}

func (c *Client) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			c.sweep(0)
			return nil
		case <-c.Clock.After(sweepPeriod):
			c.sweep(maxIdle)
		}
	}
}

// sweep closes what has been idle for so long.
func (c *Client) sweep(limit time.Duration) {
	now := c.Clock.Now()
	c.mu.Lock()
	var old []*conn
	for address, list := range c.idle {
		var kept []*conn
		for _, connection := range list {
			if now.Sub(connection.idleSince) >= limit {
				old = append(old, connection)
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
	for _, connection := range old {
		_ = connection.Close()
	}
}
