package transport

import (
	"context"
	"net"
	"net/url"

	"github.com/rotisserie/eris"
)

// Reach opens a connection to the address of a base URL and closes it; the error says why
// there is none.
func Reach(ctx context.Context, base string) error {
	address, err := url.Parse(base)
	if err != nil {
		return eris.Wrap(err, "read a target's address")
	}
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.Host)
	if err != nil {
		return err
	}
	return connection.Close()
}
