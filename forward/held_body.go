package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// readSilence is how long nothing of a request may come while it is read.
	readSilence = time.Second
	// maxHeaderBytes is how much larger than its body an encoded request may be.
	maxHeaderBytes = 128 << 10
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
)

// heldBody is the body of a request of another instance. It has room in memory by the size that was announced, so
// that one without room is refused before it is asked for: it has then certainly not run.
type heldBody struct {
	server  *Server
	source  io.Reader
	control *http.ResponseController
	// held is the room that it has, and read how much of it has come.
	held int64
	read int64
}

// holdBody takes room for a request; false if there is none. Release gives it back.
func (s *Server) holdBody(w http.ResponseWriter, r *http.Request) (*heldBody, bool) {
	size, err := strconv.ParseInt(r.Header.Get(headerSize), 10, 64)
	if err != nil || size < 0 || size > maxBodyBytes || !s.hold(size) {
		return nil, false
	}
	source := http.MaxBytesReader(w, r.Body, size+maxHeaderBytes)
	return &heldBody{server: s, source: source, control: http.NewResponseController(w), held: size}, true
}

// hold takes room for some bytes if there is any.
func (s *Server) hold(bytes int64) bool {
	for {
		held := s.heldBytes.Load()
		if s.MaxHeldBytes > 0 && held+bytes > s.MaxHeldBytes {
			return false
		}
		if s.heldBytes.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// release gives the room back.
func (b *heldBody) release() { b.server.heldBytes.Add(-b.held) }

// decode asks for the request and reads it. Nothing of it may be silent for long.
func (b *heldBody) decode() (request upstream.Request, timeout time.Duration, err error) {
	content, err := io.ReadAll(b)
	if err == nil {
		err = b.control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return request, 0, err
	}
	return decodeRequest(content)
}

// Read reads the next piece.
func (b *heldBody) Read(buffer []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(readSilence)); err != nil {
		return 0, err
	}
	n, err := b.source.Read(buffer)
	b.read += int64(n)
	return n, err
}
