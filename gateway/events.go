package gateway

import (
	"bytes"
	"io"

	"github.com/shelfshelf/shelfshelf/bounds"
)

const (
	// readChunkBytes is the size of one read from a stream.
	readChunkBytes = 4 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
	// unreservedBytes is how much of a stream is buffered without a reservation. Events have some hundred bytes, so
	// that only unusual ones have to be counted against the buffer of the instance.
	unreservedBytes = 16 << 10
)

// eventReader splits a stream of server-sent events into complete events. If reserve is set, it reserves the
// space of long events, and release releases it.
type eventReader struct {
	source  io.Reader
	reserve func(bytes int64) bool
	release func(bytes int64)
	buffer  []byte
	readErr error
	chunk   [readChunkBytes]byte
	// searched is how much of the buffer is known to contain no end of an event, and reserved how much of it is
	// reserved.
	searched int
	reserved int64
	// sinceData counts the bytes of events without data since the last one with data.
	sinceData int
}

// event is one complete event as received, including the empty line that ends it.
type event struct {
	raw []byte
	id  string
}

// next returns the next complete event, or io.EOF at the end of the stream. A stream that ends within
// an event gives io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	for {
		if size := r.firstEventSize(); size > 0 {
			return r.take(size)
		}
		if r.readErr == io.EOF && len(bytes.TrimSpace(r.buffer)) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if r.readErr != nil {
			return event{}, r.readErr
		}
		if len(r.buffer) > maxEventBytes {
			return event{}, &bounds.Exceeded{Bound: bounds.EventBytes, Bytes: int64(len(r.buffer))}
		}
		n, err := r.source.Read(r.chunk[:])
		r.buffer = append(r.buffer, r.chunk[:n]...)
		r.readErr = err
		if !r.reserveBuffer() {
			return event{}, &bounds.Exceeded{Bound: bounds.BufferedBytes, Bytes: int64(len(r.buffer))}
		}
	}
}

// firstEventSize returns the length of the first complete event, or 0 if there is none. It searches only what has
// come since the last call: with events of 1 MB in chunks of a byte, searching all would take minutes.
func (r *eventReader) firstEventSize() int {
	from := max(0, r.searched-len("\r\n\r\n")+1)
	if size := firstEventSize(r.buffer[from:]); size > 0 {
		return from + size
	}
	r.searched = len(r.buffer)
	return 0
}

// take removes the first event from the buffer and returns it. The event stays valid until the next call of next.
func (r *eventReader) take(size int) (event, error) {
	raw := r.buffer[:size:size]
	r.buffer, r.searched = r.buffer[size:], 0
	if hasData(raw) {
		r.sinceData = 0
	} else if r.sinceData += size; r.sinceData > maxEventBytes {
		return event{}, &bounds.Exceeded{Bound: bounds.EventBytes, Bytes: int64(r.sinceData)}
	}
	return event{raw: raw, id: eventID(raw)}, nil
}

// reserveBuffer reserves the space of the buffer beyond unreservedBytes, and reports whether there was room.
func (r *eventReader) reserveBuffer() bool {
	if r.reserve == nil {
		return true
	}
	more := max(0, int64(len(r.buffer))-unreservedBytes) - r.reserved
	if more < 0 {
		r.release(-more)
	} else if more > 0 && !r.reserve(more) {
		return false
	}
	r.reserved += more
	return true
}

// close releases what is reserved.
func (r *eventReader) close() {
	if r.release != nil {
		r.release(r.reserved)
	}
	r.reserved = 0
}

// firstEventSize returns the length of the first complete event, or 0 if there is none.
func firstEventSize(buffer []byte) int {
	size := 0
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.Index(buffer, terminator); at >= 0 && (size == 0 || at+len(terminator) < size) {
			size = at + len(terminator)
		}
	}
	return size
}

// hasData reports whether an event has a data field.
func hasData(raw []byte) bool {
	return bytes.HasPrefix(raw, []byte("data")) || bytes.Contains(raw, []byte("\ndata"))
}

// eventID returns the value of the event's id field, or an empty string if it has none.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
