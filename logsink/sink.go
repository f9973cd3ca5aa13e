package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// depth is how many lines wait for the output; at about 400 bytes a line this
	// bounds the memory to under half a megabyte.
	depth = 1024
	// batchBytes is how much is written at once.
	batchBytes = 16 << 10
)

// Sink is an io.Writer of whole lines. Fields are set before Run.
type Sink struct {
	Out io.Writer

	once  sync.Once
	lines chan []byte
	// leftOut counts lines since the last report of them.
	leftOut atomic.Uint64
	ended   chan struct{}
}

func (s *Sink) init() {
	s.lines = make(chan []byte, depth)
	s.ended = make(chan struct{})
}

// Write takes one line, or leaves it out if too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	s.once.Do(s.init)
	kept := make([]byte, len(line))
	copy(kept, line)
	select {
	case s.lines <- kept:
	default:
		s.leftOut.Add(1)
	}
	return len(line), nil
}

// Run writes lines out until Close.
func (s *Sink) Run() error {
	s.once.Do(s.init)
	return s.loop()
}

func (s *Sink) loop() error {
	defer close(s.ended)
	for line := range s.lines {
		batch := line
		for len(s.lines) > 0 && len(batch) < batchBytes {
			batch = append(batch, <-s.lines...)
		}
		if missed := s.leftOut.Swap(0); missed > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"Log lines were left out.\",\"count\":%d}\n", missed)
		}
		if _, err := s.Out.Write(batch); err != nil {
			return err
		}
	}
	return nil
}

// Close writes out what waits and ends Run; nothing may be written after it.
func (s *Sink) Close() {
	s.once.Do(s.init)
	close(s.lines)
	<-s.ended
}
