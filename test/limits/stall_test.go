package limits

import (
	"net"
	"sync"
)

// stall is a socket whose process can be made to stand still. Meanwhile it neither sends nor reads, and
// datagrams that arrive stay in the queue.
type stall struct {
	net.PacketConn

	mu      sync.Mutex
	stalled chan struct{}
}

func (s *stall) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled == nil {
		s.stalled = make(chan struct{})
	}
}

func (s *stall) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled != nil {
		close(s.stalled)
		s.stalled = nil
	}
}

// active reports whether the process stands still.
func (s *stall) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled != nil
}

// wait waits until the process goes on.
func (s *stall) wait() {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
}

// ReadFrom waits for a datagram and until the process goes on.
func (s *stall) ReadFrom(buffer []byte) (int, net.Addr, error) {
	size, from, err := s.PacketConn.ReadFrom(buffer)
	s.wait()
	return size, from, err
}

// WriteTo sends a datagram once the process goes on.
func (s *stall) WriteTo(content []byte, to net.Addr) (int, error) {
	s.wait()
	return s.PacketConn.WriteTo(content, to)
}
