package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The configuration of the case grows to rankedRoutes routes for one service, each of its own rank. The largest growth
// on the site is by 350 routes.
const (
	rankedRoutes  = 40
	routeStep     = 17
	firstRanks    = 3
	rankClients   = 24
	rankPlay      = 15 * time.Second
	configBound   = 2 * time.Second
	routeTimeout  = 3 * time.Second
	answerSlack   = 500 * time.Millisecond
	clientTimeout = 8 * time.Second
	rankPause     = 20 * time.Millisecond
	leastUnheard  = 8
	unheardShare  = 4
)

// rankServer answers each request with a short stream, or with a body if it is a plain one.
type rankServer struct {
	id    string
	plain bool
}

func (s *rankServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Shelfshelf-Request-Id")
	rw.Header().Set("X-Shelfshelf-Request-Id", id)
	if r.Header.Get("X-Shelfshelf-Expect-Instance") != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set(signatureName, s.id+"."+id)
	if s.plain {
		time.Sleep(plainWork)
		_, _ = io.WriteString(rw, "done")
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		time.Sleep(plainWork)
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: x\n\n", event)
		_ = http.NewResponseController(rw).Flush()
	}
}

// rankedConfiguration is a configuration with so many routes for the models, each of its own rank, and one for the plain
// service.
func rankedConfiguration(version, routes int) object {
	list := []object{{
		"Name": "vouchers", "Host": "h.example", "PathPrefix": "/vouchers/", "Kind": "idempotent", "TimeoutMs": routeTimeout.Milliseconds(),
		"GoalMs": 100, "Priority": 0, "Service": "topup", "MaxAttempts": 2, "Public": false,
	}}
	for rank := range routes {
		list = append(list, object{
			"Name": fmt.Sprint("letters-", rank), "Host": "h.example", "PathPrefix": fmt.Sprintf("/letters/%d/", rank), "Kind": "streaming",
			"TimeoutMs": routeTimeout.Milliseconds(), "GoalMs": 800, "Priority": rank, "Service": "models", "MaxAttempts": 2,
			"Public": false, "Affinity": true, "CanResume": true, "GapGoalMs": 400,
		})
	}
	return object{
		"Version": version, "Routes": list,
		"Services": []object{{"Name": "models", "HealthPath": "/health", "Engine": object{"Slots": 10, "Stride": 5}}, {"Name": "topup", "HealthPath": "/health"}},
		"Tenants":  []object{{"Name": "a", "ApiKeys": []string{"key-of-a"}}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func (w *world) setUpRanks() error {
	if err := w.put("op", "config", rankedConfiguration(1, firstRanks)); err != nil {
		return err
	}
	for i := range 6 {
		s := &rankServer{id: fmt.Sprint("i-", i), plain: i%2 == 1}
		address, err := serve(s)
		if err != nil {
			return err
		}
		service := "models"
		if s.plain {
			service = "topup"
		}
		entry := object{"Service": service, "Address": address, "Zone": "north", "Version": "v1", "Slots": 10, "State": "ready", "Sequence": 1}
		if err := w.put("servers", s.id, entry); err != nil {
			return err
		}
	}
	zones := map[string]string{"north": "land"}
	for i := range 2 {
		if _, err := w.addNode(fmt.Sprint("edge-north-", i+1), "north", zones); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// rankCounts is what clients saw of requests that were sent after the configuration had to be in force.
type rankCounts struct {
	mu       sync.Mutex
	sent     int
	answered int
	unheard  int
	statuses map[string]int
}

func (c *rankCounts) add(took time.Duration, status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	result := strconv.Itoa(status)
	if err != nil {
		result = "no answer"
		if errors.Is(err, context.DeadlineExceeded) {
			result = fmt.Sprintf("no answer in %v", clientTimeout)
		}
	}
	c.statuses[result]++
	if took > routeTimeout+answerSlack {
		c.unheard++
		return
	}
	c.answered++
}

// runClient sends requests of all routes, in another order than that of their ranks, each tenth one to the plain service.
func (w *world) runClient(number int, routes int, end time.Time, counts *rankCounts, wait *sync.WaitGroup) {
	defer wait.Done()
	n := w.nodes[number%len(w.nodes)]
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; time.Now().Before(end); i++ {
		path := fmt.Sprintf("/letters/%d/x", (number+i*routeStep)%routes)
		if i%10 == 9 {
			path = "/vouchers/x"
		}
		id := fmt.Sprintf("r%d-%d", number, i)
		began := time.Now()
		status, err := sendRanked(transport, n, path, id)
		took := time.Since(began)
		counts.add(took, status, err)
		if took > routeTimeout+answerSlack {
			w.note("%s to %s at %s: status %d after %v, error %v", id, path, n.name, status, took.Round(time.Millisecond), err)
		}
		time.Sleep(rankPause)
	}
}

func sendRanked(transport *http.Transport, n *node, path, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+path, strings.NewReader(id))
	if err != nil {
		return 0, err
	}
	request.GetBody = nil
	request.Host = "h.example"
	for name, value := range map[string]string{
		"X-Shelfshelf-Request-Id": id, "X-Shelfshelf-Request-Deadline": strconv.FormatInt(clientTimeout.Milliseconds(), 10),
		"X-Shelfshelf-Model": "m", "X-Shelfshelf-Token-Count": "100,20", "X-Shelfshelf-Prompt-Prefix": "aa:60,b" + id[1:2] + ":40",
		"Authorization": "Bearer key-of-a",
	} {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// playRanks has the configuration grow by routes that have a rank each. Requests are to be answered by the time of their
// route.
func playRanks(w *world) error {
	if err := w.setUpRanks(); err != nil {
		return err
	}
	routes := firstRanks
	if w.trouble {
		routes = rankedRoutes
		if err := w.put("op", "config", rankedConfiguration(2, routes)); err != nil {
			return err
		}
		w.note("the configuration has %d routes, each of its own rank", routes)
	}
	time.Sleep(configBound)
	counts := &rankCounts{statuses: make(map[string]int)}
	var wait sync.WaitGroup
	end := time.Now().Add(rankPlay)
	for i := range rankClients {
		wait.Add(1)
		go w.runClient(i, routes, end, counts, &wait)
	}
	wait.Wait()
	client := &http.Client{Timeout: time.Second}
	for _, n := range w.nodes {
		w.note("%s calls itself ready: %v", n.name, isReady(client, n))
	}
	w.note("%d requests, %d answered within the time of their route and %v, %d not; by status %v",
		counts.sent, counts.answered, answerSlack, counts.unheard, counts.statuses)
	switch {
	case counts.unheard >= leastUnheard && counts.unheard*unheardShare > counts.sent:
		return fmt.Errorf("%w: CONFIG, %d of %d requests have no answer %v after the time of their route", errBroken, counts.unheard, counts.sent, answerSlack)
	case counts.answered == 0:
		return errors.New("nothing was answered")
	}
	return nil
}
