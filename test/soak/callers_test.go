package soak

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// call is one request with what its caller saw.
type call struct {
	id     string
	node   *process
	path   string
	key    string
	sent   time.Time
	status int
	body   string
	err    error
	signed string
	// leaving says that the answer told that its target leaves, and toldAt when it came.
	leaving bool
	toldAt  time.Time
	ended   time.Time
	// breakAfter is after how many events its caller breaks it off; 0 means never.
	breakAfter int
	// after is the last event that its caller has, and resumes the call that brought the first one, where it
	// takes a stream up.
	after   int
	resumes string
	// patience is how long its caller waits; 0 means the usual time.
	patience time.Duration
	// calm says that neither its instance nor the store was disturbed from some seconds
	// before it to its end.
	calm bool
}

// callers send requests to ready instances until they are told to end.
type callers struct {
	stage *stage
	next  atomic.Int64
	mu    sync.Mutex
	calls []call
	// chains are the streams, over all their calls.
	chains []*chain
}

// calmFor is how long ago the last fault at an instance must be for a call to it to
// count as calm.
const calmFor = 3 * time.Second

func (c *callers) run(ctx context.Context, node *process) {
	// Connections are kept as long as the process takes them.
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	paths := []string{"/once/", "/many/", "/s/"}
	for ctx.Err() == nil {
		number := c.next.Add(1)
		one := call{id: fmt.Sprint("r", number), node: node, path: paths[number%3], sent: time.Now()}
		one.key = c.key(number)
		if one.path == streamPath {
			c.stream(transport, one, number)
			time.Sleep(30 * time.Millisecond)
			continue
		}
		before := c.calm(node)
		c.send(transport, node, &one)
		// A fault that came meanwhile counts too.
		one.calm = before && c.calm(node)
		c.mu.Lock()
		c.calls = append(c.calls, one)
		c.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

// key is the one in use, or now and then the one before, as of a caller that has not
// heard that it was revoked.
func (c *callers) key(number int64) string {
	c.stage.mu.Lock()
	defer c.stage.mu.Unlock()
	current := c.stage.keys[0]
	if number%4 == 0 && c.stage.before != "" {
		return c.stage.before
	}
	return current
}

// calm reports that neither the instance nor the store was disturbed lately.
func (c *callers) calm(node *process) bool {
	node.mu.Lock()
	quiet := time.Since(node.disturbed) > calmFor
	node.mu.Unlock()
	return quiet && c.stage.storeCalm()
}

func (c *callers) send(transport *http.Transport, node *process, one *call) {
	patience := 5 * time.Second
	if one.patience > 0 {
		patience = one.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.callers+one.path, strings.NewReader(one.id))
	if err != nil {
		one.err = err
		return
	}
	// net/http must not send a request again by itself.
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("X-Shelfshelf-Request-Id", one.id)
	request.Header.Set("X-Shelfshelf-Request-Deadline", fmt.Sprint(patience.Milliseconds()))
	if one.after > 0 {
		request.Header.Set("Last-Event-Id", fmt.Sprint(one.after))
		request.Header.Set("Resumes", one.resumes)
	}
	request.Header.Set("Authorization", "Bearer "+one.key)
	for _, name := range fake.OrderHeaders {
		request.Header.Set(name, "forged")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		one.err = err
		one.ended = time.Now()
		return
	}
	defer func() { _ = response.Body.Close() }()
	one.status = response.StatusCode
	one.signed = response.Header.Get("X-Shelfshelf-Response-Signature")
	one.leaving, one.toldAt = response.Header.Get("Server-Leaving") != "", time.Now()
	most := one.breakAfter
	if most == 0 {
		most = math.MaxInt
	}
	one.body, one.err = readEvents(response.Body, most)
	one.ended = time.Now()
}
