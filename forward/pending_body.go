package forward

import (
	"bytes"
	"io"
	"sync"
)

// pendingBody is a request body whose content becomes known after the exchange has begun. It is safe for
// concurrent use.
type pendingBody struct {
	mu       sync.Mutex
	content  *bytes.Reader
	closed   bool
	supplied chan struct{}
}

func newPendingBody() *pendingBody {
	return &pendingBody{supplied: make(chan struct{})}
}

// supply sets the content, unless the body is closed.
func (b *pendingBody) supply(content []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.content != nil {
		return
	}
	b.content = bytes.NewReader(content)
	close(b.supplied)
}

// Read waits for the content and reads it.
func (b *pendingBody) Read(buffer []byte) (int, error) {
	<-b.supplied
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.content == nil {
		return 0, io.ErrClosedPipe
	}
	return b.content.Read(buffer)
}

// close ends the body: reads fail from now on.
func (b *pendingBody) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	if b.content == nil {
		close(b.supplied)
	}
}

// Close ends the body; the transport calls it when it needs no more.
func (b *pendingBody) Close() error {
	b.close()
	return nil
}
