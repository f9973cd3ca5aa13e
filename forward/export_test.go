package forward

import "github.com/shelfshelf/shelfshelf/upstream"

// Encode returns a request as instances send it.
func Encode(request upstream.Request) []byte {
	content, err := encodeRequest(request)
	if err != nil {
		panic(err)
	}
	return content
}
