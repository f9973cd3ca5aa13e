package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
)

// body is the body of a response that is read from the target's connection.
type body struct {
	client          *Client
	conn            *conn
	target          string
	httpResponse    *http.Response
	stopCancelWatch func() bool
	complete        bool
	failed          bool
}

// Read reads the body. It returns io.EOF only at the end of a complete response.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.httpResponse.Body.Read(buffer)
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		b.failed = true
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
	b.client.putIdle(b.target, b.conn)
	return nil
}

// framed reports whether the response has a length or is chunked. Otherwise it ends when the connection is
// closed.
func (b *body) framed() bool {
	return b.httpResponse.ContentLength >= 0 || len(b.httpResponse.TransferEncoding) > 0
}
