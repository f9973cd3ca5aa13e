package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf/logsink"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	gate chan struct{}

	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

// Whoever writes a line never waits for the output; what is left out is counted, and
// the lines that are kept come whole and in order.
func TestWritersNeverWait(t *testing.T) {
	out := &stuck{gate: make(chan struct{})}
	sink := &logsink.Sink{Out: out}
	ended := make(chan error, 1)
	go func() { ended <- sink.Run() }()
	const lines = 5000
	began := time.Now()
	for i := range lines {
		if _, err := fmt.Fprintf(sink, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	close(out.gate)
	sink.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	kept, missed, last := 0, 0, -1
	for line := range strings.Lines(out.buffer.String()) {
		var number, count int
		if _, err := fmt.Sscanf(line, "line %d\n", &number); err == nil {
			if number <= last {
				t.Fatalf("line %d after %d", number, last)
			}
			last = number
			kept++
			continue
		}
		if _, err := fmt.Sscanf(line[strings.Index(line, `"count"`):], `"count":%d}`, &count); err != nil {
			t.Fatalf("%q", line)
		}
		missed += count
	}
	if kept+missed != lines || missed == 0 {
		t.Errorf("%d lines kept, %d counted as left out, of %d", kept, missed, lines)
	}
}

// A request's line costs this much processor time, with as many fields as it has.
func BenchmarkRequestLine(b *testing.B) {
	sink := &logsink.Sink{Out: io.Discard}
	ended := make(chan error, 1)
	go func() { ended <- sink.Run() }()
	logger := log.NewWithOptions(sink, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("A request has ended.",
			"request", "9c41d07be2a35f68", "status", 200, "result", "answered", "took", 412*time.Millisecond,
			"revision", 7, "configAge", 180*time.Millisecond, "route", "r-gf9nusy", "customer", "bogo870",
			"tokens", 3225, "prompt", 345, "target", "i-82ff7ad882", "sent", 1, "waited", 21*time.Millisecond,
			"expected", 96*time.Millisecond, "inFlight", 5, "cached", 0, "asked", 2, "alone", false,
			"targetRunning", 6, "targetWaiting", 0, "first", 131*time.Millisecond,
			"events", 13, "resumed", 0, "longestPause", 40*time.Millisecond)
	}
	sink.Close()
	if err := <-ended; err != nil {
		b.Fatal(err)
	}
}
