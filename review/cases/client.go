package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reply is what a client got for one request.
type reply struct {
	id     string
	path   string
	node   *node
	sentAt time.Time
	// lastByteAt is when the last byte of the request was sent; zero if it wasn't all sent.
	lastByteAt time.Time
	status     int
	signature  string
	body       string
	// err is what ended the connection before the answer was complete; nil if the answer is complete.
	err     error
	endedAt time.Time
}

// events returns how many whole events the answer has.
func (r *reply) events() int { return strings.Count(r.body, "\n\n") }

// clients sends requests to the nodes at a steady rate until its context ends.
type clients struct {
	world     *world
	transport *http.Transport
	key       string
	// paths are used in turn, and every is the time between two requests.
	paths    []string
	deadline time.Duration
	every    time.Duration

	mu      sync.Mutex
	replies []*reply
	running sync.WaitGroup
}

// load sends requests until the context ends, and then waits for those that are under way.
func (c *clients) load(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		r := &reply{
			id: fmt.Sprintf("%016x", 0x5eed<<32+number), path: c.paths[number%len(c.paths)], node: c.world.nodes[number%len(c.world.nodes)],
		}
		c.running.Add(1)
		go c.send(r)
		select {
		case <-ctx.Done():
		case <-time.After(c.every):
		}
	}
	c.running.Wait()
}

// all returns the replies so far.
func (c *clients) all() []*reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*reply(nil), c.replies...)
}

// newRequest returns a request as the platform's pages describe it.
func newRequest(ctx context.Context, r *reply, key string, deadline time.Duration, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.node.callers+r.path, body)
	if err != nil {
		return nil, err
	}
	// The client must not send a request again by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Shelfshelf-Request-Id", r.id)
	request.Header.Set("X-Shelfshelf-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	if !strings.HasPrefix(r.path, "/candidature/") {
		request.Header.Set("X-Shelfshelf-Model", "m")
		request.Header.Set("X-Shelfshelf-Token-Count", "628,280")
		request.Header.Set("X-Shelfshelf-Prompt-Prefix", "5c1e07a2:60,"+r.id+":568")
	}
	return request, nil
}

// send sends one request and records what came.
func (c *clients) send(r *reply) {
	defer c.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := newRequest(ctx, r, c.key, c.deadline, strings.NewReader(r.id+strings.Repeat(" ", 814)))
	if err == nil {
		r.sentAt = time.Now()
		c.world.note("client sends %s to %s %s", r.id, r.node.name, r.path)
		r.receive(c.transport, request)
	}
	c.world.note("client got for %s from %s: status %d, %d events, signature %q, end of connection %v", r.id, r.node.name, r.status, r.events(), r.signature, r.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies = append(c.replies, r)
}

// receive does the exchange.
func (r *reply) receive(transport *http.Transport, request *http.Request) {
	defer func() { r.endedAt = time.Now() }()
	response, err := transport.RoundTrip(request)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.status, r.signature = response.StatusCode, response.Header.Get("X-Shelfshelf-Response-Signature")
	body, err := io.ReadAll(response.Body)
	r.body, r.err = string(body), err
}
