package shelfshelf

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names what a request asks for: each try of the same request has the same
// one, whatever its id, its caller and the instance that it comes to.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request by its method, its host, its path
// with the query, and its body.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{method, host, target} {
		// The length keeps two requests apart whose parts are cut at another place.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}

// String returns the fingerprint as logs show it, in 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
