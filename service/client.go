package service

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/transport"
)

// maxAnswerBytes bounds a service's answer.
const maxAnswerBytes = 8 << 20

// Client talks to plain services.
type Client struct {
	Once *transport.Once
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{Once: transport.NewOnce()}
}

// Call runs a call once. The answer must name the request it belongs to and be
// whole, else the error is ErrIncompleteResponse.
func (c *Client) Call(ctx context.Context, target shelfshelf.Target, call shelfshelf.ServiceCall) (shelfshelf.ServiceAnswer, error) {
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(transport.HeaderRequestID, string(call.ID))
	response, err := c.Once.RoundTrip(ctx, call.Method, target.Address+call.Path, header, call.Body)
	if err != nil {
		return shelfshelf.ServiceAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if refused(call, response) {
		return shelfshelf.ServiceAnswer{}, eris.Wrapf(shelfshelf.ErrNotRun, "service answered %d", response.StatusCode)
	}
	if err != nil {
		return shelfshelf.ServiceAnswer{}, eris.Wrapf(shelfshelf.ErrIncompleteResponse, "answer broke off: %v", err)
	}
	if len(body) > maxAnswerBytes {
		return shelfshelf.ServiceAnswer{}, eris.Wrapf(shelfshelf.ErrIncompleteResponse, "answer is longer than %d bytes", maxAnswerBytes)
	}
	if echoed := response.Header.Get(transport.HeaderRequestID); echoed != string(call.ID) {
		return shelfshelf.ServiceAnswer{}, eris.Wrapf(shelfshelf.ErrIncompleteResponse, "answer belongs to %q, not to %q", echoed, call.ID)
	}
	return shelfshelf.ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// HeaderNotRun is a service's own word that it did not run a call.
const HeaderNotRun = "X-Not-Run"

// refused reports that the service did not run the call. A call that may not be
// repeated needs the service's explicit word; for others its status will do.
func refused(call shelfshelf.ServiceCall, response *http.Response) bool {
	if !transport.RefusedStatus(response.StatusCode) {
		return false
	}
	return call.Repeatable || response.Header.Get(HeaderNotRun) == "true"
}
