package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one client attempt and what came of it.
type call struct {
	id      string
	path    string
	machine string
	sent    time.Time
	ended   time.Time
	status  int
	signed  string
	body    string
	failure string
}

// clients send requests to machines for as long as they run.
type clients struct {
	key string

	mu    sync.Mutex
	calls []call
}

// run sends requests of one kind to one machine, one after the other, on a kept connection.
func (c *clients) run(ctx context.Context, m *machine, method, path string, pause, deadline time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: deadline + time.Second}
	for ctx.Err() == nil {
		c.send(client, m, method, path, deadline)
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(2 * pause)):
		}
	}
}

func (c *clients) send(client *http.Client, m *machine, method, path string, deadline time.Duration) {
	one := call{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, machine: m.name}
	request, err := http.NewRequest(method, "http://"+m.callers+path, strings.NewReader(one.id))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Shelfshelf-Request-Id", one.id)
	request.Header.Set("X-Shelfshelf-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+c.key)
	one.sent = time.Now()
	response, err := client.Do(request)
	if err == nil {
		one.status, one.signed = response.StatusCode, response.Header.Get("X-Shelfshelf-Response-Signature")
		var body []byte
		body, err = io.ReadAll(response.Body)
		one.body = string(body)
		_ = response.Body.Close()
	}
	if err != nil {
		one.failure = err.Error()
	}
	one.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, one)
}

func (c *clients) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}
