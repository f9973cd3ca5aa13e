package forward

import (
	"time"

	"github.com/shelfshelf/shelfshelf/upstream"
)

// Encode returns a request as instances send it.
func Encode(request upstream.Request, timeout time.Duration) []byte {
	content, err := encodeRequest(request, timeout)
	if err != nil {
		panic(err)
	}
	return content
}
