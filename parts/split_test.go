package parts_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf/parts"
)

func join(list []parts.Part) []byte {
	var text []byte
	for _, p := range list {
		text = append(text, p.Content...)
	}
	return text
}

func TestPartsMakeUpTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "text"), rapid.IntRange(0, 300).Draw(t, "times"))
		list := parts.Split(text)
		if !bytes.Equal(join(list), text) {
			t.Error("the parts are another text")
		}
		for _, p := range list {
			packed, err := parts.Pack(p.Content)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := parts.Unpack(packed); err != nil || !bytes.Equal(got, p.Content) {
				t.Errorf("a part came back as another: %v", err)
			}
			if p.ID != parts.IDOf(p.Content) || len(p.Content) == 0 || len(p.Content) > 16<<10 {
				t.Errorf("a part of %d bytes, %x", len(p.Content), p.ID)
			}
		}
	})
}

// One entry more, one less or one changed leaves nearly all parts as they are, wherever
// it stands: a list of 20,000 entries has some 600 parts.
func TestSmallChangesKeepMostParts(t *testing.T) {
	entries := func(from, to int) []byte {
		var text bytes.Buffer
		for i := from; i < to; i++ {
			fmt.Fprintf(&text, `{"Name":"route %d","PathPrefix":"/%x/","TimeoutMs":1000,"Service":"plain"},`, i, i*7919)
		}
		return text.Bytes()
	}
	const count = 20000
	known := make(map[parts.ID]bool)
	for _, p := range parts.Split(entries(0, count)) {
		known[p.ID] = true
	}
	for name, text := range map[string][]byte{
		"first gone":   entries(1, count),
		"one at start": append([]byte("something new "), entries(0, count)...),
		"one within":   append(append(entries(0, count/2), "something new "...), entries(count/2, count)...),
		"one more":     entries(0, count+1),
	} {
		list := parts.Split(text)
		fresh := 0
		for _, p := range list {
			if !known[p.ID] {
				fresh += len(p.Content)
			}
		}
		if fresh > 40<<10 || len(list) < 100 {
			t.Errorf("%s: %d of %d bytes, in %d parts, are new", name, fresh, len(text), len(list))
		}
	}
}

// What another instance sends is bounded, and what is no part is an error.
func TestBadPartsAreErrors(t *testing.T) {
	large, err := parts.Pack(make([]byte, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{"too large": large, "nothing": nil, "cut off": large[:len(large)/2], "no such form": {0xff, 0xff}} {
		if got, err := parts.Unpack(packed); err == nil {
			t.Errorf("%s: %d bytes", name, len(got))
		}
	}
}
