package entry

import (
	"errors"
	"io"
	"net/http"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/transport"
)

// copyBytes is how much of an old address's answer is passed on at once.
const copyBytes = 32 << 10

var legacyTransport = transport.NewOnce()

// forward passes a request of a route or customer that has not been moved on to
// its old address, once and as it stands, and its answer back.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, c *call, address string, body []byte) {
	c.target = "legacy"
	header := r.Header.Clone()
	for _, name := range []string{"Connection", "Transfer-Encoding", HeaderTier, HeaderDeadline} {
		header.Del(name)
	}
	response, err := legacyTransport.RoundTrip(r.Context(), r.Method, address+r.URL.RequestURI(), header, body)
	if err != nil {
		p := unknownProblem("the old address gave no whole answer")
		if errors.Is(err, shelfshelf.ErrNotRun) {
			p = notRunProblem("legacy-unreachable", "the old address can't be reached", 0)
		}
		s.fail(w, c, p)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Add("Trailer", HeaderOutcome)
	w.WriteHeader(response.StatusCode)
	err = copyFlushed(w, response.Body)
	if err != nil {
		s.Metrics.count(c, ResultUnknown, "legacy-broken")
		// The answer is not whole, so the connection is cut.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderOutcome, shelfshelf.OutcomeDone.String())
	s.Metrics.count(c, s.result(c), "legacy")
}

// copyFlushed passes on what has come at once, for streams.
func copyFlushed(w http.ResponseWriter, from io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return err
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
