package fake

import (
	"io"
	"net/http"
)

// EndlessHeader answers a request with header lines until the connection is closed.
func EndlessHeader(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	for line := "HTTP/1.1 200 OK\r\n"; ; line = "Header: some value\r\n" {
		if _, err := io.WriteString(connection, line); err != nil {
			return
		}
	}
}
