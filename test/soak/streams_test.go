package soak

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// streamPath is the route of streams.
	streamPath = "/s/"
	// streamTime is how long callers of streams wait over all their tries.
	streamTime = 12 * time.Second
	// mostTakeUps is how often a caller takes a stream up.
	mostTakeUps = 3
	// mostMixed is how many streams may hold events of two versions of the engines.
	mostMixed = 2
)

// errLeft is the end of an answer that its caller broke off.
var errLeft = errors.New("the caller has broken it off")

// chain is one stream over all tries of its caller.
type chain struct {
	// first is the call that brought the first event.
	first    string
	last     int
	began    time.Time
	versions map[string]bool
	takeUps  int
	goneOn   int
}

// take adds the whole events of an answer.
func (c *chain) take(one *call) {
	events := strings.SplitAfter(one.body, "\n\n")
	for _, event := range events[:len(events)-1] {
		number, version, ok := parseEvent(event)
		if !ok {
			continue
		}
		if c.first == "" {
			c.first = one.id
		}
		c.last, c.versions[version] = number, true
	}
}

// parseEvent returns the number of an event and the version of the engine that sent it.
func parseEvent(event string) (number int, version string, ok bool) {
	_, data, found := strings.Cut(event, "data: ")
	text, version, _ := strings.Cut(strings.TrimSpace(data), " ")
	number, err := strconv.Atoi(text[strings.LastIndex(text, "-")+1:])
	return number, version, found && err == nil
}

// withoutVersions returns an answer without what its events tell of versions.
func withoutVersions(body string) string {
	lines := strings.SplitAfter(body, "\n")
	for i, line := range lines {
		if event, rest, found := strings.Cut(strings.TrimPrefix(line, "data: "), " "); found && strings.HasPrefix(line, "data: ") {
			lines[i] = "data: " + event
			if strings.HasSuffix(rest, "\n") {
				lines[i] += "\n"
			}
		}
	}
	return strings.Join(lines, "")
}

// stream sends a call for a stream and takes the stream up at other instances where it breaks off, or where its
// caller breaks it off itself: at once, soon or some seconds later.
func (c *callers) stream(transport *http.Transport, one call, number int64) {
	s := &chain{began: time.Now(), versions: make(map[string]bool)}
	breaks := []int{0, 3, 0, 5}
	one.breakAfter = breaks[number/3%int64(len(breaks))]
	c.sendOne(transport, &one, s)
	pauses := []time.Duration{0, 300 * time.Millisecond, 0, 5 * time.Second}
	for s.last > 0 && s.last < eventCount && s.takeUps < mostTakeUps {
		time.Sleep(pauses[(number/12+int64(s.takeUps))%int64(len(pauses))])
		node := c.stage.nodes[(number+int64(s.takeUps)+1)%int64(len(c.stage.nodes))]
		next := call{id: fmt.Sprint("r", c.next.Add(1)), node: node, path: streamPath, key: c.key(number), sent: time.Now(), after: s.last, resumes: s.first}
		if s.takeUps == 0 && number%5 == 0 {
			next.breakAfter = 2
		}
		s.takeUps++
		before := s.last
		c.sendOne(transport, &next, s)
		if s.last > before {
			s.goneOn++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chains = append(c.chains, s)
}

// sendOne sends a call and adds it to those that are checked.
func (c *callers) sendOne(transport *http.Transport, one *call, s *chain) {
	before := c.calm(one.node)
	one.patience = streamTime - time.Since(s.began)
	c.send(transport, one.node, one)
	// A fault that came meanwhile counts too.
	one.calm = before && c.calm(one.node)
	s.take(one)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, *one)
}

// readEvents reads an answer, up to so many events.
func readEvents(body io.Reader, most int) (string, error) {
	var text strings.Builder
	buffer := make([]byte, 512)
	for {
		size, err := body.Read(buffer)
		text.Write(buffer[:size])
		if strings.Count(text.String(), "\n\n") >= most {
			return text.String(), errLeft
		}
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}

// checkChains checks that streams hold events of one version, over all tries of their callers.
func (c *callers) checkChains(t *testing.T) {
	t.Helper()
	mixed, takeUps, goneOn, several := 0, 0, 0, 0
	for _, s := range c.chains {
		takeUps += s.takeUps
		goneOn += s.goneOn
		if s.takeUps > 1 {
			several++
		}
		if len(s.versions) > 1 {
			mixed++
			t.Logf("the stream that began as %s holds events of %v", s.first, s.versions)
		}
	}
	t.Logf("%d streams, taken up %d times (%d of them more than once), %d went on, %d of two versions", len(c.chains), takeUps, several, goneOn, mixed)
	if mixed > mostMixed {
		t.Errorf("%d streams hold events of two versions", mixed)
	}
}
