package upstream

import (
	"context"
	"time"
)

// Reservation is an open connection to a target on which nothing has been sent yet. Either Send or Cancel
// must be called once.
type Reservation struct {
	client  *Client
	address string
	conn    *conn
}

// Reserve takes an idle connection to an address, unless fresh is set, or opens one. The error is ErrNotRun.
func (c *Client) Reserve(ctx context.Context, address string, fresh bool) (*Reservation, error) {
	connection, err := c.acquire(ctx, address, fresh)
	if err != nil {
		return nil, &unsentError{cause: err}
	}
	return &Reservation{client: c, address: address, conn: connection}, nil
}

// Send sends a request on the connection and returns once the head of the response has been read. The error
// is ErrNotRun if the request's Prepare failed, so that nothing was sent, and ErrIncompleteResponse otherwise.
func (r *Reservation) Send(ctx context.Context, request Request) (*Response, error) {
	if request.Prepare != nil {
		if err := request.Prepare(&request); err != nil {
			r.Cancel()
			return nil, NotPrepared(err)
		}
	}
	connection := r.conn
	stopCancelWatch := context.AfterFunc(ctx, func() {
		// A deadline in the past unblocks pending reads and writes.
		_ = connection.SetDeadline(time.Unix(1, 0))
	})
	response, err := r.client.roundTrip(connection, request)
	if err != nil {
		stopCancelWatch()
		return nil, &brokenError{cause: r.client.abandon(ctx, connection, request, err)}
	}
	read := response.Body.(*body)
	read.address = r.address
	read.stopCancelWatch = stopCancelWatch
	return response, nil
}

// Cancel keeps the connection for another request.
func (r *Reservation) Cancel() {
	r.conn.idleSince = r.client.Clock.Now()
	r.client.putIdle(r.address, r.conn)
}
