package peer

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/shelfshelf/shelfshelf"
)

// remoteTicket is a decision of another instance; its stream stays open until
// the request is done.
type remoteTicket struct {
	stream   *quic.Stream
	decision shelfshelf.Decision
	mu       sync.Mutex
	closed   bool
}

// Decision returns the owner's decision.
func (t *remoteTicket) Decision() shelfshelf.Decision {
	return t.decision
}

// FirstToken tells the owner that the prompt has been read.
func (t *remoteTicket) FirstToken() {
	t.send(kindFirstToken, struct{}{}, false)
}

// Done tells the owner that the request has left its target.
func (t *remoteTicket) Done(completion shelfshelf.Completion) {
	t.send(kindDone, doneToWire(completion), true)
}

func (t *remoteTicket) send(kind messageKind, message any, last bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	_ = t.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writeFrame(t.stream, kind, message)
	if last {
		t.closed = true
		_ = t.stream.Close()
		t.stream.CancelRead(codeCancelled)
	}
}
