package parts

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastSize and mostSize bound a part, in bytes.
	leastSize = 1 << 10
	mostSize  = 16 << 10
	// boundaryMask has twelve bits set: beyond leastSize, one place in 4,096 is a boundary.
	// A change costs one or two parts of 5 KB and the list of them, 16 bytes each: for
	// 0.8 MB, 2.5 KB.
	boundaryMask uint64 = 0xfff << 52
)

// ID names a part by its content.
type ID [16]byte

// Part is a piece of a text.
type Part struct {
	ID      ID
	Content []byte
}

// gear has a number for each value of a byte; all instances have to cut alike.
var gear = newGear()

func newGear() [256]uint64 {
	var table [256]uint64
	for i := range table {
		table[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return table
}

// Split cuts a text into parts, which share its memory.
func Split(text []byte) []Part {
	var list []Part
	for len(text) > 0 {
		size := boundary(text)
		list = append(list, Part{ID: IDOf(text[:size]), Content: text[:size]})
		text = text[size:]
	}
	return list
}

// IDOf returns the name of a part.
func IDOf(content []byte) ID {
	sum := sha256.Sum256(content)
	return ID(sum[:16])
}

// boundary returns the size of the first part of a text. The sum over the last 64 bytes
// decides, older ones have been shifted out of it.
func boundary(text []byte) int {
	var sum uint64
	for i, b := range text[:min(len(text), mostSize)] {
		sum = sum<<1 + gear[b]
		if i >= leastSize && sum&boundaryMask == 0 {
			return i + 1
		}
	}
	return min(len(text), mostSize)
}
