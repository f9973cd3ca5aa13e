package forward

import (
	"context"

	"github.com/shelfshelf/shelfshelf/upstream"
)

// attempt is the result of one of two ways to a target.
type attempt struct {
	connection connection
	err        error
	direct     bool
}

// race opens a new connection to a target and asks another instance at the same time, and takes the first way
// that is there: it isn't known whether the link is up, and a link that is down may take the whole of a
// connection's time to show.
func (c *Client) race(ctx context.Context, address string, request upstream.Request) (connection, error) {
	ways, cancel := context.WithTimeout(context.WithoutCancel(ctx), openTimeout)
	results := make(chan attempt, 2)
	go func() {
		opened, err := c.openDirectly(ways, address, true)
		results <- attempt{connection: opened, err: err, direct: true}
	}()
	go func() {
		opened, err := c.handOver(ways, request, openTimeout)
		results <- attempt{connection: opened, err: err}
	}()
	var failed error
	for left := 2; left > 0; left-- {
		select {
		case got := <-results:
			if got.err == nil {
				go dropRest(results, left-1, cancel)
				return got.connection, nil
			}
			if failed == nil || !got.direct {
				failed = got.err
			}
		case <-ctx.Done():
			go dropRest(results, left, cancel)
			return nil, &unsentError{cause: ctx.Err()}
		}
	}
	cancel()
	return nil, failed
}

// dropRest waits for the ways that were not taken and gives them up. They are given their time, so that it
// becomes known whether the link is up.
func dropRest(results <-chan attempt, count int, cancel context.CancelFunc) {
	defer cancel()
	for range count {
		if got := <-results; got.err == nil {
			got.connection.Cancel()
		}
	}
}
