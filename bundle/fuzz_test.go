package bundle

import (
	"testing"

	"github.com/shelfshelf/shelfshelf/deploy"
)

func FuzzParse(f *testing.F) {
	for _, name := range deploy.Names {
		content, err := deploy.Bundle(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte(`{"format":1`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse("fuzz", content)
		if err == nil && (len(parsed.Tiers) == 0 || len(parsed.Pools) == 0) {
			t.Error("a bundle without tiers or pools was accepted")
		}
		if signed, err := DecodeSigned(content); err == nil && len(signed.Content) == 0 {
			t.Error("an empty signed bundle was accepted")
		}
	})
}
