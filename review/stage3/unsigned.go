package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The requests of the case. One server in four hands out wrong bytes, a share of 0.25 where the pages name 0.35, in one
// answer of spoiledOneIn, which is the 0.02 that they name; it does so for less than the 5.5 s that they name.
const (
	plainRequests  = 1200
	plainClients   = 6
	plainServers   = 4
	spoiledOneIn   = 50
	spoiledFor     = 5500 * time.Millisecond
	plainTime      = time.Second
	spoiledName    = "X-Shelfshelf-Response-Segnature"
	plainWork      = 15 * time.Millisecond
	plainBodyBytes = 800
)

// answerSpoiled has one byte of the head wrong in one answer of spoiledOneIn.
func (w *world) answerSpoiled(s *server, rw http.ResponseWriter, r *http.Request, id string) {
	if s.answers.Add(1)%spoiledOneIn != 0 || time.Since(w.traffic) > spoiledFor {
		answerPlain(s, rw, r, id)
		return
	}
	s.spoiled.Add(1)
	w.note("%s spoils a byte of its answer to %s: %s", s.id, id, spoiledName)
	answerNamed(s, rw, r, id, spoiledName)
}

// unsignedClients counts what the clients get.
type unsignedClients struct {
	world    *world
	next     atomic.Int64
	signed   atomic.Int64
	unsigned atomic.Int64
	failed   atomic.Int64
}

func (c *unsignedClients) run(n *node, wait *sync.WaitGroup) {
	defer wait.Done()
	client := &http.Client{Timeout: plainTime, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for number := c.next.Add(1); number <= plainRequests; number = c.next.Add(1) {
		c.send(client, n, fmt.Sprint("r", number))
	}
}

func (c *unsignedClients) send(client *http.Client, n *node, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.callers+"/vouchers/"+id, http.NoBody)
	if err != nil {
		c.failed.Add(1)
		return
	}
	request.Host = "h.example"
	request.Header.Set("X-Shelfshelf-Request-Id", id)
	request.Header.Set("X-Shelfshelf-Request-Deadline", strconv.FormatInt(plainTime.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key-of-a")
	response, err := client.Do(request)
	if err != nil {
		c.failed.Add(1)
		c.world.note("%s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil || response.StatusCode != http.StatusOK:
		c.failed.Add(1)
		c.world.note("%s: status %d, error %v", id, response.StatusCode, err)
	case response.Header.Get(signatureName) == "":
		c.unsigned.Add(1)
		c.world.note("%s: status 200 with %d bytes and without a signature", id, len(body))
	default:
		c.signed.Add(1)
		c.world.note("%s: status 200 with %d bytes and a signature", id, len(body))
	}
}

// playUnsigned has servers hand out wrong bytes. No success without a server's signature is to reach a client.
func playUnsigned(w *world) error {
	servers, err := w.setUpPlain()
	if err != nil {
		return err
	}
	c := &unsignedClients{world: w}
	w.traffic = time.Now()
	var wait sync.WaitGroup
	for i := range plainClients {
		wait.Add(1)
		go c.run(w.nodes[i%len(w.nodes)], &wait)
	}
	wait.Wait()
	spoiled := int64(0)
	for _, s := range servers {
		spoiled += s.spoiled.Load()
	}
	w.note("of the %d answers of the faulty server %d were spoiled; clients got %d successes with a signature, %d without one, %d failures",
		servers[0].answers.Load(), spoiled, c.signed.Load(), c.unsigned.Load(), c.failed.Load())
	switch {
	case c.unsigned.Load() > 0:
		return fmt.Errorf("%w: MIXED, %d successes lack a signature", errBroken, c.unsigned.Load())
	case c.signed.Load() < plainRequests/2:
		return fmt.Errorf("only %d of %d requests were served", c.signed.Load(), plainRequests)
	}
	return nil
}

func (w *world) setUpPlain() ([]*server, error) {
	err := w.put("op", "config", object{
		"Version": 1,
		"Routes": []object{{
			"Name": "vouchers", "Host": "h.example", "PathPrefix": "/vouchers/", "Kind": "idempotent", "TimeoutMs": 1000, "GoalMs": 100,
			"Priority": 2, "Service": "topup", "MaxAttempts": 2, "Public": false,
		}},
		"Services": []object{{"Name": "topup", "HealthPath": "/health"}},
		"Tenants":  []object{{"Name": "a", "ApiKeys": []string{"key-of-a"}}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return nil, err
	}
	var servers []*server
	for i := range plainServers {
		s := w.newServer(fmt.Sprint("i-", i), "topup", 6, 24, answerPlain)
		if i == 0 && w.trouble {
			s.work = w.answerSpoiled
		}
		address, err := serve(s)
		if err != nil {
			return nil, err
		}
		if err := w.put("servers", s.id, s.row(address)); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	zones := map[string]string{"north": "land"}
	for i := range 2 {
		if _, err := w.addNode(fmt.Sprint("edge-north-", i+1), "north", zones); err != nil {
			return nil, err
		}
	}
	return servers, w.awaitReady()
}
