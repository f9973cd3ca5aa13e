package fake

import (
	"strings"
	"sync"
)

// Log is an output of log lines that keeps them for a test to look at. It is safe for
// concurrent use.
type Log struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write keeps what was written.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all lines.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Lines returns the lines that contain a text.
func (l *Log) Lines(with string) []string {
	var found []string
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, with) {
			found = append(found, strings.TrimSuffix(line, "\n"))
		}
	}
	return found
}
