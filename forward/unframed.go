package forward

import (
	"context"
	"io"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// directConnection is a connection to a target of this instance's own.
type directConnection struct {
	*upstream.Reservation
	client *Client
}

// Send sends the request. The end of a response without a length is verified.
func (d directConnection) Send(ctx context.Context, request upstream.Request) (*upstream.Response, error) {
	response, err := d.Reservation.Send(ctx, request)
	if err == nil && !response.Framed {
		response.Body = &unframedBody{ReadCloser: response.Body, client: d.client, target: request.Target}
	}
	return response, err
}

// unframedBody is the body of a response that has neither a length nor chunks, so that it ends when the target
// closes the connection, as it also does when its process crashes.
type unframedBody struct {
	io.ReadCloser
	client *Client
	target shelfshelf.Target
}

// Read reads the body. The end is an error if the target has ended with it.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && b.client.hasEnded(b.target) {
		b.client.Log.Warn("A target has ended with the connection of a response without a length.", "target", b.target.Name)
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// hasEnded reports whether nothing listens at a target's address any more. The connection that it opens is kept in
// place of the one that the response has used up.
func (c *Client) hasEnded(target shelfshelf.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	err := c.Direct.Preconnect(ctx, target.Address)
	return isRefused(err) && c.Refused(ctx, target, true)
}
