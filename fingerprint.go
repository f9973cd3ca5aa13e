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

// partMark marks fingerprints of parts of prompts: their first 16 bits are set. One of 65,536 requests has such
// a fingerprint by chance, and is then blamed like a part.
const partMark = Fingerprint(0xffff << 48)

// FingerprintOfPart returns the fingerprint of a part of a prompt, which is the same in all requests that
// have the part.
func FingerprintOfPart(id string) Fingerprint {
	return Fingerprint(xxhash.Sum64String("part:"+id)) | partMark
}

// FingerprintsOfParts returns the fingerprints of the parts that a prompt may share with others: all but the
// last, which is the request's own.
func FingerprintsOfParts(prompt []PromptPart) []Fingerprint {
	var parts []Fingerprint
	for i := range len(prompt) - 1 {
		parts = append(parts, FingerprintOfPart(prompt[i].ID))
	}
	return parts
}

// IsPart reports whether f is the fingerprint of a part of a prompt.
func (f Fingerprint) IsPart() bool { return f&partMark == partMark }

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
