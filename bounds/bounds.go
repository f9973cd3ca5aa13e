package bounds

import (
	"fmt"
	"strings"
)

// Kind is what a bound limits.
type Kind string

const (
	// HeadBytes limits the heads of all responses that are read for one request: status lines and header
	// lines, also of interim responses and of responses to other requests.
	HeadBytes Kind = "head bytes"
	// HeadTime limits the time that reading these heads takes.
	HeadTime Kind = "head time"
	// FramingBytes limits what surrounds the content of a chunked body: chunk sizes, their extensions and trailers.
	FramingBytes Kind = "framing bytes"
	// BodyBytes limits one body that is read completely before it is used.
	BodyBytes Kind = "body bytes"
	// EventBytes limits one event of a stream, and what comes between two events that carry data.
	EventBytes Kind = "event bytes"
	// BufferedBytes limits all bodies and events that an instance buffers at a time.
	BufferedBytes Kind = "buffered bytes"
	// Rate is the least mean rate at which a long body has to arrive.
	Rate Kind = "rate"
)

// Exceeded is the error for a peer that sent more, or took longer, than a bound allows.
type Exceeded struct {
	Bound Kind
	// Bytes is how many bytes were read of what the bound limits.
	Bytes int64
}

// Error names the bound and the bytes read.
func (e *Exceeded) Error() string {
	return fmt.Sprintf("over the bound on %s after %d bytes", e.Bound, e.Bytes)
}

// HeaderExceeded returns the bound that a round trip failed by if its response header exceeded the transport's limit,
// which net/http tells in words only; nil otherwise.
func HeaderExceeded(err error, limit int64) *Exceeded {
	if err == nil || !strings.Contains(err.Error(), "server response headers exceeded") {
		return nil
	}
	return &Exceeded{Bound: HeadBytes, Bytes: limit}
}
