package fake

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// firstPort and lastPort lie below the ports that systems give to outgoing
	// connections, so that none of these takes an address before its listener does.
	firstPort = 20000
	lastPort  = 32000
	// portsPerBlock is how many ports a test program takes for itself at a time; the first
	// of them is not given out: a listener on it keeps the block from other programs.
	portsPerBlock = 512
)

// blocks hands out ports in blocks that only this program uses. A port on which nobody
// listens at the moment may be that of a process which another test program is about to
// start again, so that it is not enough to look whether a port is free.
var blocks blockList

// blockList is what this program has taken of the ports.
type blockList struct {
	mu sync.Mutex
	// next and end bound what is left of the block in use.
	next int
	end  int
	// guards keep the blocks until the program ends.
	guards []net.Listener
}

// Address returns an address of this machine that nobody listens on, over TCP and
// UDP, each only once and none that another test program is given.
func Address() string {
	return blocks.address()
}

func (b *blockList) address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if b.next == b.end {
			b.takeBlock()
		}
		address := loopback(b.next)
		b.next++
		if free(address) {
			return address
		}
	}
}

// takeBlock takes the first block from this program's own place on that no other program
// has; the lock is held.
func (b *blockList) takeBlock() {
	count := (lastPort - firstPort) / portsPerBlock
	for i := range count {
		first := firstPort + (os.Getpid()+i)%count*portsPerBlock
		guard, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		b.guards = append(b.guards, guard)
		b.next, b.end = first+1, first+portsPerBlock
		return
	}
	panic(fmt.Sprintf("fake: all %d blocks of ports from %d on are taken", count, firstPort))
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func free(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}
