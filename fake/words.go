package fake

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// words is what a Server says of itself in its answers.
type words struct {
	// limit is how many requests a second it takes, empty if it names none.
	limit   string
	leaving bool
	// restShare is the part of the requests that it turns away, for each of which it asks for
	// rest, a header's text.
	restShare float64
	rest      string
}

// Arrival is one request as it reached a Server, run or not.
type Arrival struct {
	ID string
	// From is the machine that it came from.
	From string
	At   time.Time
	// Answered is when its answer was complete, zero if its connection was closed before.
	Answered time.Time
	// Leaving says that its answer told that the server leaves, and Rest how long a rest its
	// answer asked for, empty if it didn't.
	Leaving bool
	Rest    string
}

// SetLimit has it name how many requests a second it takes from all together, a header's text;
// empty means that it names none.
func (s *Server) SetLimit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words.limit = text
}

// SetLeaving has it say in all its answers whether it leaves.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words.leaving = leaving
}

// SetRest has it turn a part of the requests away and ask for rest each time, a header's text.
func (s *Server) SetRest(share float64, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words.restShare, s.words.rest = share, text
}

// Arrivals returns the requests that have reached it, in order.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// speak notes a request and writes what the server says of itself. It returns the request's
// number and whether the server turns it away to rest.
func (s *Server) speak(header http.Header, r *http.Request) (number int, rests bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		from = r.RemoteAddr
	}
	arrival := Arrival{
		ID: r.Header.Get("X-Shelfshelf-Request-Id"), From: from, At: time.Now(), Leaving: s.words.leaving,
	}
	if s.words.limit != "" {
		header.Set("Server-Limit", s.words.limit)
	}
	if s.words.leaving {
		header.Set("Server-Leaving", "1")
	}
	rests = s.words.restShare > 0 && rand.Float64() < s.words.restShare
	if rests {
		arrival.Rest = s.words.rest
		header.Set("Retry-After", s.words.rest)
	}
	s.arrivals = append(s.arrivals, arrival)
	return len(s.arrivals) - 1, rests
}

// answered notes that a request's answer is complete, if its sender is still there.
func (s *Server) answered(number int, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Context().Err() == nil {
		s.arrivals[number].Answered = time.Now()
	}
}
