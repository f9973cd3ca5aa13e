package shelfshelf

import (
	"encoding/binary"
	"fmt"
	"strconv"

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
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}

// ParseFingerprint reads a fingerprint as String writes it.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("fingerprint %q: %w", text, err)
	}
	return Fingerprint(value), nil
}

// String returns the fingerprint as logs show it, in 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
