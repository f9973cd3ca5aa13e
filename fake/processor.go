package fake

import (
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// Processor does the work of one machine piece by piece, in the order in which it came. Each read, write,
// accepted or opened connection and datagram of the machine is a piece.
type Processor struct {
	Clock shelfshelf.Clock
	// Cost is how long a piece takes.
	Cost time.Duration

	mu   sync.Mutex
	free time.Time
	busy time.Duration
}

// Busy returns how long the processor has worked so far, with what waits for it.
func (p *Processor) Busy() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy
}

// Yield waits until all that has come so far is done.
func (p *Processor) Yield() { p.wait(p.reserve(0)) }

// work does a piece and waits until it is done.
func (p *Processor) work() { p.wait(p.reserve(p.Cost)) }

// reserve queues some work and returns when it will be done.
func (p *Processor) reserve(cost time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = maxTime(p.free, p.Clock.Now()).Add(cost)
	p.busy += cost
	return p.free
}

func (p *Processor) wait(until time.Time) {
	if wait := until.Sub(p.Clock.Now()); wait > leastWait {
		<-p.Clock.After(wait)
	}
}

// SetProcessor has a machine's processor take time; a machine without one takes none.
func (n *Network) SetProcessor(machine string, processor *Processor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processors[machine] = processor
}

// work has a machine's processor do a piece of work.
func (n *Network) work(machine string) {
	if processor := n.processorOf(machine); processor != nil {
		processor.work()
	}
}

// burden has a machine's processor do a piece of work for which nobody waits.
func (n *Network) burden(machine string) {
	if processor := n.processorOf(machine); processor != nil {
		processor.reserve(processor.Cost)
	}
}

func (n *Network) processorOf(machine string) *Processor {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processors[machine]
}
