package upstream

import (
	"context"
	"net/http"
	"time"
)

// underWay is how long an answer that a target has given may take to come.
const underWay = 20 * time.Millisecond

// giveUp ends an exchange without an answer, and returns why. Where nobody waits for the answer any
// more, it is still read if it is under way: its target may say with it that it leaves or wants
// rest.
func (c *Client) giveUp(ctx context.Context, connection *conn, request Request, cause error) error {
	if ctx.Err() == nil {
		_ = connection.Close()
		return cause
	}
	if connection.awaiting {
		go c.runLate(connection, request)
	} else {
		_ = connection.Close()
	}
	return ctx.Err()
}

// runLate reads the head of an answer that nobody waits for, if it comes within a moment.
func (c *Client) runLate(connection *conn, request Request) {
	ending := time.AfterFunc(underWay, func() { _ = connection.Close() })
	defer ending.Stop()
	defer func() { _ = connection.Close() }()
	if connection.SetDeadline(time.Time{}) != nil {
		return
	}
	//nolint:bodyclose // the connection is closed as a whole.
	answer, err := http.ReadResponse(connection.reader, &http.Request{Method: request.Method})
	if err == nil {
		c.meaning(connection, request, answer)
	}
}
