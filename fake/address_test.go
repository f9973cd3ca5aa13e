package fake

import (
	"net"
	"testing"
)

// A program that comes to a block which another one has goes on to the next, though the
// other's ports are free at the moment: its processes may be about to start again.
func TestAddressesOfProgramsDiffer(t *testing.T) {
	var one, other blockList
	t.Cleanup(func() {
		for _, guard := range append(one.guards, other.guards...) {
			_ = guard.Close()
		}
	})
	taken := make(map[string]bool)
	for range portsPerBlock + 10 {
		address := one.address()
		if taken[address] {
			t.Fatalf("%s was given out twice", address)
		}
		taken[address] = true
	}
	for range 2 * portsPerBlock {
		if address := other.address(); taken[address] {
			t.Fatalf("%s was given to two programs", address)
		}
	}
}

func TestAddressIsFree(t *testing.T) {
	listener, err := net.Listen("tcp", Address())
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}
