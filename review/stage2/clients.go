package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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
		told := c.send(client, m, method, path, deadline)
		// Clients honour Retry-After for no more than a third of the time that they have left.
		rest := max(rand.N(2*pause), min(told, deadline/3))
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
}

// send sends one request and returns the Retry-After of its answer.
func (c *clients) send(client *http.Client, m *machine, method, path string, deadline time.Duration) (told time.Duration) {
	one := call{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, machine: m.name}
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader(one.id)
	}
	request, err := http.NewRequest(method, "http://"+m.callers+path, body)
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
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			told = time.Duration(seconds * float64(time.Second))
		}
		var content []byte
		content, err = io.ReadAll(response.Body)
		one.body = string(content)
		_ = response.Body.Close()
	}
	if err != nil {
		one.failure = err.Error()
	}
	one.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, one)
	return told
}

func (c *clients) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}
