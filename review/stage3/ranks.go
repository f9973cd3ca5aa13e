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
// on the site is by 350 routes. The times are those of the site: refund-tag's aim, pause and TimeoutMs, dispute-letter's
// deadline, and voucher-issue's deadline and TimeoutMs.
const (
	rankedRoutes   = 40
	routeStep      = 17
	firstRanks     = 3
	rankClients    = 24
	rankPlay       = 15 * time.Second
	configBound    = 2 * time.Second
	answerSlack    = 500 * time.Millisecond
	rankPause      = 20 * time.Millisecond
	letterTimeout  = 3 * time.Second
	letterGoal     = 1500 * time.Millisecond
	letterGap      = 400 * time.Millisecond
	letterDeadline = 15 * time.Second
	voucherTime    = time.Second
	// A client gives a stream up after a gap of two seconds, four times the objective or eight times that pause,
	// whichever is longest: four times letterGoal.
	letterPatience = 4 * letterGoal
	// Eight requests or more, and over a quarter of those that last longer than TimeoutMs.
	leastUnheard = 8
	unheardShare = 4
	eventPause   = 20 * time.Millisecond
)

// answerStream answers with a short stream.
func answerStream(s *server, rw http.ResponseWriter, r *http.Request, id string) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	rw.Header().Set(signatureName, s.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= 5; event++ {
		if !rest(r, eventPause) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: x\n\n", event)
		_ = http.NewResponseController(rw).Flush()
	}
}

// rankedConfiguration is a configuration with so many routes for the models, each of its own rank, and one for the plain
// service.
func rankedConfiguration(version, routes int) object {
	list := []object{{
		"Name": "vouchers", "Host": "h.example", "PathPrefix": "/vouchers/", "Kind": "idempotent", "TimeoutMs": voucherTime.Milliseconds(),
		"GoalMs": 100, "Priority": 0, "Service": "topup", "MaxAttempts": 2, "Public": false,
	}}
	for rank := range routes {
		list = append(list, object{
			"Name": fmt.Sprint("letters-", rank), "Host": "h.example", "PathPrefix": fmt.Sprintf("/letters/%d/", rank), "Kind": "streaming",
			"TimeoutMs": letterTimeout.Milliseconds(), "GoalMs": letterGoal.Milliseconds(), "Priority": rank, "Service": "models", "MaxAttempts": 2,
			"Public": false, "Affinity": true, "CanResume": true, "GapGoalMs": letterGap.Milliseconds(),
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
		s := w.newServer(fmt.Sprint("i-", i), "models", 10, 60, answerStream)
		s.engine = true
		if i%2 == 1 {
			s = w.newServer(s.id, "topup", 6, 24, answerPlain)
		}
		address, err := serve(s)
		if err != nil {
			return err
		}
		if err := w.put("servers", s.id, s.row(address)); err != nil {
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
	mu sync.Mutex
	// letters are the requests for streams, and late those of them that lasted longer than their route's TimeoutMs. To
	// unheard of the late ones there was no final answer answerSlack after it.
	letters int
	late    int
	unheard int
	// vouchers are the requests to the plain service, and lost those that the client left at its deadline.
	vouchers int
	lost     int
	statuses map[string]int
}

func (c *rankCounts) add(plain bool, took time.Duration, status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := strconv.Itoa(status)
	if err != nil {
		result = "no answer"
	}
	if plain {
		c.vouchers++
		if err != nil {
			c.lost++
		}
		c.statuses["voucher "+result]++
		return
	}
	c.letters++
	c.statuses["letter "+result]++
	if took > letterTimeout {
		c.late++
	}
	if took > letterTimeout+answerSlack {
		c.unheard++
	}
}

// broken is the rule: "Some requests last longer than their route's TimeoutMs. Eight or more of them, and over a quarter,
// have no final answer from machines in touch 0.5 s after it."
func (c *rankCounts) broken() bool {
	return c.unheard >= leastUnheard && c.unheard*unheardShare > c.late
}

// runClient sends requests of all routes, in another order than that of their ranks, each tenth one to the plain service.
func (w *world) runClient(number int, routes int, end time.Time, counts *rankCounts, wait *sync.WaitGroup) {
	defer wait.Done()
	n := w.nodes[number%len(w.nodes)]
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; time.Now().Before(end); i++ {
		path := fmt.Sprintf("/letters/%d/x", (number+i*routeStep)%routes)
		plain := (number+i)%10 == 9
		if plain {
			path = "/vouchers/x"
		}
		id := fmt.Sprintf("r%d-%d", number, i)
		began := time.Now()
		status, err := sendRanked(transport, n, path, id, plain)
		took := time.Since(began)
		counts.add(plain, took, status, err)
		w.note("%s to %s at %s: status %d after %v, error %v", id, path, n.name, status, took.Round(time.Millisecond), err)
		time.Sleep(rankPause)
	}
}

// patience cancels a request when no byte has come for too long.
type patience struct {
	reader io.Reader
	timer  *time.Timer
}

func (p *patience) Read(content []byte) (int, error) {
	count, err := p.reader.Read(content)
	p.timer.Reset(letterPatience)
	return count, err
}

func sendRanked(transport *http.Transport, n *node, path, id string, plain bool) (int, error) {
	deadline := letterDeadline
	if plain {
		deadline = voucherTime
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	timer := time.AfterFunc(letterPatience, cancel)
	defer timer.Stop()
	method, body := http.MethodPost, io.Reader(strings.NewReader(id))
	if plain {
		method, body = http.MethodGet, http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, body)
	if err != nil {
		return 0, err
	}
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("X-Shelfshelf-Request-Id", id)
	request.Header.Set("X-Shelfshelf-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key-of-a")
	if !plain {
		request.Header.Set("X-Shelfshelf-Model", "m")
		request.Header.Set("X-Shelfshelf-Token-Count", "100,20")
		request.Header.Set("X-Shelfshelf-Prompt-Prefix", "aa:60,b"+id[1:2]+":40")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, &patience{reader: response.Body, timer: timer})
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
	w.note("%d letters: %d lasted longer than TimeoutMs, %d of them had no final answer %v after it; %d vouchers, %d without an answer; %v",
		counts.letters, counts.late, counts.unheard, answerSlack, counts.vouchers, counts.lost, counts.statuses)
	switch {
	case counts.broken():
		return fmt.Errorf("%w: CONFIG, %d of the %d letters that lasted longer than TimeoutMs have no final answer %v after it",
			errBroken, counts.unheard, counts.late, answerSlack)
	case counts.statuses["letter 200"] == 0:
		return errors.New("no letter was answered")
	}
	return nil
}
