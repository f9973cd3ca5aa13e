package shelfshelf_test

import (
	"testing"

	"github.com/shelfshelf/shelfshelf"
)

func TestFingerprintDistinguishesRequests(t *testing.T) {
	t.Parallel()
	of := shelfshelf.FingerprintOf
	first := of("POST", "h", "/a?b", []byte("body"))
	if first != of("POST", "h", "/a?b", []byte("body")) {
		t.Error("two attempts of the same request have different fingerprints")
	}
	for _, other := range []shelfshelf.Fingerprint{
		of("GET", "h", "/a?b", []byte("body")),
		of("POST", "g", "/a?b", []byte("body")),
		of("POST", "h", "/a?c", []byte("body")),
		of("POST", "h", "/a?b", []byte("bodies")),
		of("POST", "h", "/a?", []byte("bbody")),
		of("POST", "h/", "a?b", []byte("body")),
	} {
		if other == first {
			t.Error("two requests have the same fingerprint")
		}
	}
}
