package upstream

import (
	"context"
	"time"
)

// lateResponseTimeout bounds the wait for a response that the target may already have sent.
const lateResponseTimeout = 20 * time.Millisecond

// abandon ends a round trip that failed, and returns the error. If the caller's context has ended, a
// response that is already in transit is still read, because with it the target may announce that it is
// leaving or asks for a pause.
func (c *Client) abandon(ctx context.Context, connection *conn, request Request, cause error) error {
	if ctx.Err() == nil {
		_ = connection.Close()
		return cause
	}
	if connection.awaitingResponse {
		go c.readLateResponse(connection, request)
	} else {
		_ = connection.Close()
	}
	return ctx.Err()
}

// readLateResponse reads and reports the head of a response whose caller has left, if it arrives within
// lateResponseTimeout and the bounds on the request's heads. Then it closes the connection.
func (c *Client) readLateResponse(connection *conn, request Request) {
	closeTimer := time.AfterFunc(lateResponseTimeout, func() { _ = connection.Close() })
	defer closeTimer.Stop()
	defer func() { _ = connection.Close() }()
	if connection.SetDeadline(time.Time{}) != nil {
		return
	}
	//nolint:bodyclose // The whole connection is closed.
	response, err := c.readHead(connection, request)
	if err == nil {
		c.reportAnswer(connection, request, response)
	}
}
