package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bounds"
)

// body is the body of a response that is read from the target's connection.
type body struct {
	client  *Client
	conn    *conn
	address string
	target  shelfshelf.Target
	// read is how many bytes of the body have been read.
	read            int64
	httpResponse    *http.Response
	stopCancelWatch func() bool
	complete        bool
	failed          bool
}

// Read reads the body. It returns io.EOF only at the end of a complete response.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.httpResponse.Body.Read(buffer)
	b.read += int64(n)
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		b.failed = true
		if isFramingExceeded(err) {
			exceeded := &bounds.Exceeded{Bound: bounds.FramingBytes, Bytes: b.read}
			b.client.reportExceeded(b.target, exceeded)
			return n, exceeded
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = context.Canceled
		}
	}
	return n, err
}

// Close ends the round trip. The connection is kept for the next request if the response was read
// completely and the connection is reusable. Otherwise it is closed.
func (b *body) Close() error {
	notCancelled := b.stopCancelWatch()
	reusable := notCancelled && b.complete && !b.failed && b.framed() && !b.httpResponse.Close && b.conn.reader.Buffered() == 0
	if !reusable {
		return b.conn.Close()
	}
	b.conn.idleSince = b.client.Clock.Now()
	b.conn.keepAlive = parseKeepAlive(b.httpResponse.Header)
	b.client.putIdle(b.address, b.conn)
	return nil
}

// isFramingExceeded reports whether the chunked reader of net/http gave up on a body whose chunk sizes, chunk
// extensions or trailers are too long. It bounds a chunk's line to 4 KiB, the trailers to the read buffer, and all
// lines together to 16 KiB more than the content justifies.
func isFramingExceeded(err error) bool {
	if errors.Is(err, http.ErrLineTooLong) {
		return true
	}
	switch err.Error() {
	case "http: suspiciously long trailer after chunked body", "chunked encoding contains too much non-data":
		return true
	}
	return false
}

// framed reports whether the response has a length or is chunked. Otherwise it ends when the connection is
// closed.
func (b *body) framed() bool {
	return b.httpResponse.ContentLength >= 0 || len(b.httpResponse.TransferEncoding) > 0
}
