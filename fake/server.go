package fake

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServerFaults is what a Server does wrong; the zero value does nothing wrong.
type ServerFaults struct {
	// Refuse answers 503 and says that the request did not run.
	Refuse bool
	// Fail answers 500 after the work.
	Fail bool
	// Hang does the work and never answers.
	Hang bool
	// CutAfter breaks a stream off after so many events, or a plain answer in its
	// middle; 0 means never. It holds for CutTimes answers.
	CutAfter int
	CutTimes int
	// Extra sends a second answer, of another request, after each.
	Extra bool
	// Unframed sends answers without a length.
	Unframed bool
	// Brittle is how many requests it may turn away in a second before it falls, said in all its answers; 0
	// means that it doesn't fall. Places is how many requests it takes at once; 0 means any number.
	Brittle int
	Places  int
	// Slow is the pause before the first byte and between events.
	Slow time.Duration
	// Deadly is the body of requests under which the process ends once it has run them
	// for so long; empty means that there are none.
	Deadly      string
	DeadlyAfter time.Duration
	// DeadlyPart is the part of prompts under which it ends likewise; empty means that there is none.
	DeadlyPart string
	// FailShare is the part of the answers that are 500 after the work, and Late the pause
	// before an answer and between events beside Slow.
	FailShare float64
	Late      time.Duration
	// OnlyPath restricts FailShare and Late to requests whose paths begin so, and
	// OnlyBeside to those that run beside so many others at least.
	OnlyPath   string
	OnlyBeside int
}

// bad reports that a request is one of those that the faults of a bad version meet.
func (f ServerFaults) bad(run *Run, beside int) bool {
	return strings.HasPrefix(run.Path, f.OnlyPath) && beside >= f.OnlyBeside
}

// deadly reports that the process ends under a request.
func (f ServerFaults) deadly(run *Run) bool {
	if f.DeadlyPart != "" && strings.Contains(","+run.Prompt, ","+f.DeadlyPart+":") {
		return true
	}
	return f.Deadly != "" && run.Body == f.Deadly
}

// Run is one request that a Server has begun to work on.
type Run struct {
	ID        string
	LastEvent string
	Customer  string
	Deadline  int
	Key       string
	Body      string
	// Prompt lists the parts of its prompt.
	Prompt string
	Path   string
	Method string
	// Orders names the headers that it came with which only this system may set: a caller
	// that sends them gives the target orders.
	Orders []string
	// From is the address that it came from.
	From string
	// At is when it began.
	At time.Time
	// Bad says that a fault of a bad version met it.
	Bad bool
	// Ended says how it ended: whole, cut, left by the caller, or died with the process;
	// empty while it runs.
	Ended string
}

// OrderHeaders are the headers by which a target is told to set memory or places aside,
// to copy memory, or which version of its weights to use.
var OrderHeaders = []string{
	"X-Shelfshelf-Hold", "X-Shelfshelf-Pin-Duration", "X-Shelfshelf-Kv-Backup", "X-Shelfshelf-Expect-Version", "Kv-From", "Kv-Fetch",
}

func ordersIn(header http.Header) []string {
	var orders []string
	for _, name := range OrderHeaders {
		if header.Get(name) != "" {
			orders = append(orders, name)
		}
	}
	return orders
}

// Server is a target of the users' platform over HTTP. It is safe for concurrent
// use.
type Server struct {
	// ID is the instance name that requests expect.
	ID string
	// Events is how many events a stream has; 0 makes it a plain service.
	Events int
	// Version is the version of its software, told in each event; empty if it tells none.
	Version string
	// Die ends the process, with all that it runs; needed where a body is deadly.
	Die func()

	mu       sync.Mutex
	faults   ServerFaults
	words    words
	runs     []*Run
	arrivals []Arrival
	// refusals are when it turned requests away for want of room, and falls how often it fell.
	refusals []time.Time
	falls    int
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the requests that it has begun to work on.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, len(s.runs))
	for i, run := range s.runs {
		runs[i] = *run
	}
	return runs
}

// Signature is the signature of an answer of this server.
func (s *Server) Signature(id string) string {
	return s.ID + "." + id
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Shelfshelf-Request-Id")
	w.Header().Set("X-Shelfshelf-Request-Id", id)
	if r.Header.Get("X-Shelfshelf-Expect-Instance") != s.ID {
		w.Header().Set("X-Shelfshelf-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	number, rests := s.speak(w.Header(), r)
	defer s.answered(number, r)
	if faults.Brittle > 0 {
		w.Header().Set("Server-Brittle", strconv.Itoa(faults.Brittle))
	}
	if faults.Refuse || rests || s.full(faults) {
		pause(r.Context(), faults.Late)
		w.Header().Set("X-Shelfshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run, err := s.begin(id, r)
	if err != nil {
		w.Header().Set("X-Shelfshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Shelfshelf-Response-Signature", s.Signature(id))
	w.Header().Set("X-Shelfshelf-Server-Load", "1,0,8")
	if faults.bad(run, s.running()-1) {
		faults = s.worsen(run, faults)
	}
	switch {
	case faults.deadly(run):
		time.Sleep(faults.DeadlyAfter)
		s.end(run, "died")
		s.Die()
		panic(http.ErrAbortHandler)
	case faults.Hang:
		<-r.Context().Done()
		s.end(run, "left")
	case faults.Fail:
		pause(r.Context(), faults.Late)
		w.WriteHeader(http.StatusInternalServerError)
		s.end(run, "whole")
	case s.Events > 0:
		s.stream(w, r, run, faults)
	default:
		s.plain(w, r, run, faults)
	}
}

// worsen has the faults of a bad version meet a request.
func (s *Server) worsen(run *Run, faults ServerFaults) ServerFaults {
	fails := rand.Float64() < faults.FailShare
	faults.Fail = faults.Fail || fails
	faults.Slow += faults.Late
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Bad = fails || faults.Late > 0
	return faults
}

func (s *Server) begin(id string, r *http.Request) (*Run, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	deadline, err := strconv.Atoi(r.Header.Get("X-Shelfshelf-Request-Deadline"))
	if err != nil {
		return nil, err
	}
	run := &Run{
		ID:        id,
		LastEvent: r.Header.Get("Last-Event-Id"),
		Customer:  r.Header.Get("X-Shelfshelf-Tenant"),
		Key:       r.Header.Get("Authorization"),
		Deadline:  deadline,
		Body:      string(body),
		Prompt:    r.Header.Get("X-Shelfshelf-Prompt-Prefix"),
		Path:      r.RequestURI,
		Method:    r.Method,
		Orders:    ordersIn(r.Header),
		From:      r.RemoteAddr,
		At:        time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return run, nil
}

// running returns how many requests it works on.
func (s *Server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, run := range s.runs {
		if run.Ended == "" {
			count++
		}
	}
	return count
}

func (s *Server) end(run *Run, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Ended = how
}

// cut reports that this answer is to be broken off.
func (s *Server) cut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CutTimes == 0 {
		return false
	}
	s.faults.CutTimes--
	return true
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, run *Run, faults ServerFaults) {
	first := 1
	if run.LastEvent != "" {
		last, err := strconv.Atoi(run.LastEvent)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	cut := faults.CutAfter > 0 && s.cut()
	control := http.NewResponseController(w)
	for event := first; event <= s.Events; event++ {
		if !pause(r.Context(), faults.Slow) {
			s.end(run, "left")
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d%s\n\n", event, run.ID, event, s.mark())
		_ = control.Flush()
		if cut && event-first+1 == faults.CutAfter {
			// Part of the next event shows that only whole ones may be passed on.
			_, _ = fmt.Fprintf(w, "id: %d\nda", event+1)
			_ = control.Flush()
			s.end(run, "cut")
			panic(http.ErrAbortHandler)
		}
	}
	s.end(run, "whole")
}

// mark is what the events of a server tell of its version.
func (s *Server) mark() string {
	if s.Version == "" {
		return ""
	}
	return " " + s.Version
}

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request, run *Run, faults ServerFaults) {
	switch {
	case faults.Places == 0:
		time.Sleep(faults.Slow)
	case !pause(r.Context(), faults.Slow):
		// A place is free again once its caller has gone.
		s.end(run, "left")
		return
	default:
		// The place is free before the answer is out.
		s.end(run, "whole")
	}
	body := "answer to " + run.ID
	switch {
	case faults.CutAfter > 0 && s.cut():
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		s.end(run, "cut")
		panic(http.ErrAbortHandler)
	case faults.Extra, faults.Unframed:
		s.raw(w, run, body, faults)
	default:
		_, _ = io.WriteString(w, body)
	}
	s.end(run, "whole")
}

// raw writes an answer by hand, with what net/http would not send.
func (s *Server) raw(w http.ResponseWriter, run *Run, body string, faults ServerFaults) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	head := "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: " + run.ID +
		"\r\nX-Shelfshelf-Response-Signature: " + s.Signature(run.ID) + "\r\n"
	if faults.Unframed {
		_, _ = io.WriteString(connection, head+"\r\n"+body)
		_ = connection.Close()
		return
	}
	_, _ = fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	other := "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
	_, _ = io.WriteString(connection, other)
	time.Sleep(100 * time.Millisecond)
	_ = connection.Close()
}
