package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/engine"
	"github.com/shelfshelf/shelfshelf/entry"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/load"
	"github.com/shelfshelf/shelfshelf/transport"
)

// Record is what a caller saw of one attempt.
type Record struct {
	Route shelfshelf.RouteName
	Tier  shelfshelf.Tier
	// ID is the request's name at the entry; empty if no answer came.
	ID  shelfshelf.RequestID
	Key string
	// Outcome is what the caller was told; Reason says why it was not run.
	Outcome shelfshelf.Outcome
	Reason  string
	Status  int
	Sent    time.Time
	Ended   time.Time
	// FirstToken is the time to the first token; zero if none came.
	FirstToken time.Duration
	InTime     bool
	// Whole says that the answer is, byte for byte, the one its target made.
	Whole bool
}

// Callers send requests to the instances as the balancer would spread them.
type Callers struct {
	Clock shelfshelf.Clock
	HTTP  *http.Client
	// Addresses returns the base URLs that the balancer would use now.
	Addresses func() []string
	Routes    map[shelfshelf.RouteName]shelfshelf.Route
	// RetryKeyed repeats calls with a key at another instance until they are done.
	RetryKeyed int

	mu      sync.Mutex
	next    int
	records []Record
	sending sync.WaitGroup
}

// Drive sends the items at their time and waits for all answers.
func (c *Callers) Drive(ctx context.Context, items []load.Item) {
	start := c.Clock.Now()
	for index := range items {
		item := &items[index]
		wait := item.At - c.Clock.Now().Sub(start)
		if wait > 0 {
			select {
			case <-ctx.Done():
				c.sending.Wait()
				return
			case <-c.Clock.After(wait):
			}
		}
		c.sending.Add(1)
		go c.runItem(ctx, item, index)
	}
	c.sending.Wait()
}

// Records returns what the callers have seen.
func (c *Callers) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

// address returns where the balancer sends the next request.
func (c *Callers) address() string {
	addresses := c.Addresses()
	if len(addresses) == 0 {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return addresses[c.next%len(addresses)]
}

func (c *Callers) runItem(ctx context.Context, item *load.Item, index int) {
	defer c.sending.Done()
	route := c.Routes[item.Route]
	if route.Kind == shelfshelf.RouteCompletion {
		c.record(c.completion(ctx, item, &route, index%2 == 0))
		return
	}
	tries := 1
	key := ""
	if !route.Repeatable {
		key = fmt.Sprintf("key-%d", index)
		tries += c.RetryKeyed
	}
	for range tries {
		record := c.service(ctx, item, &route, index, key)
		c.record(record)
		if record.Outcome == shelfshelf.OutcomeDone {
			return
		}
	}
}

func (c *Callers) record(record Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, record)
}

// send sends one request; the record has what its headers tell.
func (c *Callers) send(ctx context.Context, item *load.Item, route *shelfshelf.Route, request *http.Request) (*http.Response, Record) {
	record := Record{Route: route.Name, Tier: route.Tier, Sent: c.Clock.Now(), Key: request.Header.Get(entry.HeaderKey)}
	request.Header.Set("Authorization", "Bearer "+TokenOf(item.Customer))
	response, err := c.HTTP.Do(request.WithContext(ctx))
	if err != nil {
		record.Reason = err.Error()
		record.Ended = c.Clock.Now()
		return nil, record
	}
	record.Status = response.StatusCode
	record.ID = shelfshelf.RequestID(response.Header.Get(transport.HeaderRequestID))
	record.Outcome = outcomeNamed(response.Header.Get(entry.HeaderOutcome))
	record.Reason = response.Header.Get(entry.HeaderReason)
	return response, record
}

func outcomeNamed(name string) shelfshelf.Outcome {
	for _, outcome := range []shelfshelf.Outcome{shelfshelf.OutcomeDone, shelfshelf.OutcomeNotRun} {
		if outcome.String() == name {
			return outcome
		}
	}
	return shelfshelf.OutcomeUnknown
}

func (c *Callers) finish(record *Record, route *shelfshelf.Route) {
	record.Ended = c.Clock.Now()
	// Of a whole answer the caller can't see when its first token came.
	firstInTime := route.FirstTokenGoal == 0 || record.FirstToken <= route.FirstTokenGoal
	record.InTime = record.Ended.Sub(record.Sent) <= route.Deadline && firstInTime
}

func (c *Callers) completion(ctx context.Context, item *load.Item, route *shelfshelf.Route, stream bool) Record {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{Model: string(route.Name), Prompt: item.Text(), MaxTokens: item.OutputTokens, Stream: stream})
	if err != nil {
		return Record{Route: route.Name, Reason: err.Error()}
	}
	request, err := http.NewRequest(http.MethodPost, c.address()+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Record{Route: route.Name, Reason: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	response, record := c.send(ctx, item, route, request)
	if response == nil {
		return record
	}
	defer func() { _ = response.Body.Close() }()
	var text string
	if stream && record.Status == http.StatusOK {
		text, err = c.readStream(response, &record)
	} else {
		text, err = readWhole(response.Body)
	}
	c.finish(&record, route)
	if err != nil && record.Status == http.StatusOK {
		record.Outcome = shelfshelf.OutcomeUnknown
		record.Reason = err.Error()
	}
	record.Whole = text == fake.Answer(record.ID, item.OutputTokens)
	return record
}

type wireAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func readWhole(body io.Reader) (string, error) {
	var answer wireAnswer
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return "", eris.Wrap(err, "read answer")
	}
	if len(answer.Choices) == 0 {
		return "", nil
	}
	return answer.Choices[0].Text, nil
}

// readStream reads a streamed answer to its end mark; the outcome is in the
// trailer.
func (c *Callers) readStream(response *http.Response, record *Record) (string, error) {
	reader := engine.NewEventReader(response.Body)
	var text strings.Builder
	for {
		event, err := reader.Next()
		if err != nil {
			return text.String(), eris.Wrap(err, "stream broke off")
		}
		if record.FirstToken == 0 {
			record.FirstToken = c.Clock.Now().Sub(record.Sent)
		}
		if string(event.Data) == engine.FinalData {
			break
		}
		var chunk wireAnswer
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return text.String(), eris.Wrap(err, "read chunk")
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	record.Outcome = outcomeNamed(response.Trailer.Get(entry.HeaderOutcome))
	return text.String(), nil
}

func (c *Callers) service(ctx context.Context, item *load.Item, route *shelfshelf.Route, index int, key string) Record {
	path := route.Path
	if open := strings.Index(path, "{"); open >= 0 {
		end := strings.Index(path, "}")
		path = path[:open] + fmt.Sprintf("n%d", index) + path[end+1:]
	}
	var body io.Reader
	if route.Method != http.MethodGet {
		body = strings.NewReader(fmt.Sprintf(`{"amount":%d}`, index))
	}
	request, err := http.NewRequest(route.Method, c.address()+path, body)
	if err != nil {
		return Record{Route: route.Name, Reason: err.Error()}
	}
	if key != "" {
		request.Header.Set(entry.HeaderKey, key)
	}
	response, record := c.send(ctx, item, route, request)
	if response == nil {
		return record
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	c.finish(&record, route)
	if err != nil {
		record.Outcome = shelfshelf.OutcomeUnknown
		record.Reason = err.Error()
	}
	var answer struct {
		Path string `json:"path"`
	}
	record.Whole = json.Unmarshal(content, &answer) == nil && answer.Path == path
	return record
}
