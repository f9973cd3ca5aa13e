package shelfshelf

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request. All attempts of the same request have the same
// fingerprint, independent of the request ID, the caller and the instance that receives them.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request, computed from its method, its host, its path with
// the query, and its body.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{method, host, target} {
		// The length prefix prevents collisions of requests whose parts are divided differently.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}

// ParseFingerprint parses the format that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("fingerprint %q: %w", text, err)
	}
	return Fingerprint(value), nil
}

// String returns the fingerprint as 16 hexadecimal digits, the format used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
