package gateway

import (
	"bytes"
	"errors"
	"io"
)

const (
	// readChunkBytes is the size of one read from a stream.
	readChunkBytes = 4 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

var errEventTooLong = errors.New("an event is too long")

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	source  io.Reader
	buffer  []byte
	readErr error
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
		if size := firstEventSize(r.buffer); size > 0 {
			raw := r.buffer[:size:size]
			r.buffer = r.buffer[size:]
			return event{raw: raw, id: eventID(raw)}, nil
		}
		if r.readErr == io.EOF && len(bytes.TrimSpace(r.buffer)) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if r.readErr != nil {
			return event{}, r.readErr
		}
		if len(r.buffer) > maxEventBytes {
			return event{}, errEventTooLong
		}
		chunk := make([]byte, readChunkBytes)
		n, err := r.source.Read(chunk)
		r.buffer = append(r.buffer, chunk[:n]...)
		r.readErr = err
	}
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

// eventID returns the value of the event's id field, or an empty string if it has none.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
