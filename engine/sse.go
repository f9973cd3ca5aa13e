package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	// Index is the event's id; -1 if it has none.
	Index int
	Data  []byte
}

// EventReader reads server-sent events.
type EventReader struct {
	scanner *bufio.Scanner
}

// NewEventReader reads events from a stream.
func NewEventReader(stream io.Reader) *EventReader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, maxEventBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next event that has data, io.EOF at the end of the stream,
// or io.ErrUnexpectedEOF if the stream ends inside an event.
func (r *EventReader) Next() (Event, error) {
	event := Event{Index: -1}
	hasData := false
	for r.scanner.Scan() {
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte{'\r'})
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(field) {
		case "id":
			index, err := strconv.Atoi(string(value))
			if err != nil || index < 0 {
				return Event{}, eris.Errorf("event id %q is not a count", value)
			}
			event.Index = index
		case "data":
			if hasData {
				event.Data = append(event.Data, '\n')
			}
			event.Data = append(event.Data, value...)
			hasData = true
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	if hasData {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}
