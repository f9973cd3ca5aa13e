package peer

import (
	"context"
	"errors"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// runConn serves the streams of one connection.
func (n *Node) runConn(ctx context.Context, conn *quic.Conn, streams *sync.WaitGroup) {
	defer streams.Done()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		streams.Add(1)
		go n.runStream(ctx, stream, streams)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed.add(conn)
	delete(n.accepted, conn)
}

// runStream serves one exchange.
func (n *Node) runStream(ctx context.Context, stream *quic.Stream, streams *sync.WaitGroup) {
	defer streams.Done()
	err := n.serve(ctx, stream)
	if errors.Is(err, ErrFrame) {
		n.Log.Warn("A peer sent a bad frame.", "error", err)
		stream.CancelRead(codeBadFrame)
		stream.CancelWrite(codeBadFrame)
		return
	}
	stream.CancelRead(codeCancelled)
	_ = stream.Close()
}

func (n *Node) serve(ctx context.Context, stream *quic.Stream) error {
	kind, payload, err := readFrame(stream)
	if err != nil {
		return err
	}
	switch kind {
	case kindHeartbeat:
		var wire wireHeartbeat
		if err := decode(payload, &wire); err != nil {
			return err
		}
		return writeFrame(stream, kindHeartbeat, heartbeatToWire(n.Handler.Heard(wire.domain())))
	case kindGetObject:
		var wire wireDigest
		if err := decode(payload, &wire); err != nil {
			return err
		}
		content, ok := n.Handler.Object(wire.Digest)
		if !ok {
			return writeFrame(stream, kindMissing, wire)
		}
		return writeFrame(stream, kindObject, content)
	case kindAsk, kindHold:
		var wire wireAsk
		if err := decode(payload, &wire); err != nil {
			return err
		}
		return n.serveAsk(ctx, stream, kind, &wire)
	case kindDecision, kindFirstToken, kindDone, kindObject, kindMissing, kindWait:
	}
	return eris.Wrapf(ErrFrame, "message of kind %d begins a stream", kind)
}

// serveAsk decides on an entry's request and follows it until it is done.
func (n *Node) serveAsk(ctx context.Context, stream *quic.Stream, kind messageKind, wire *wireAsk) error {
	ask := wire.domain(n.Clock.Now())
	follower := &follower{stream: stream, messages: make(chan followed, 1)}
	target := shelfshelf.TargetName(wire.Target)
	if kind == kindHold {
		n.Handler.HoldOwner(ask, target)
	} else {
		asking, cancel := context.WithCancel(ctx)
		defer cancel()
		follower.lost = cancel
		go follower.run()
		waiting := &waitNotice{clock: n.Clock, stream: stream, done: make(chan struct{}), ended: make(chan struct{})}
		go waiting.run()
		decision, err := n.Handler.AskOwner(asking, ask)
		waiting.end()
		if err != nil {
			return err
		}
		if err := writeFrame(stream, kindDecision, decisionToWire(decision, n.Clock.Now())); err != nil && decision.Granted {
			// The entry can't know of the grant, so it hasn't used it.
			n.Handler.DoneOwner(ask.Pool, shelfshelf.Completion{ID: ask.ID, Target: decision.Target, Outcome: shelfshelf.OutcomeNotRun})
			return err
		}
		if !decision.Granted {
			return nil
		}
		target = decision.Target
	}
	if follower.lost == nil {
		go follower.run()
	}
	return n.follow(ctx, follower, ask, target)
}

// waitNotice tells an entry, once, that its ask is in line, so that it can tell a
// long line from a dead owner.
type waitNotice struct {
	clock  shelfshelf.Clock
	stream *quic.Stream
	done   chan struct{}
	ended  chan struct{}
}

func (w *waitNotice) run() {
	defer close(w.ended)
	select {
	case <-w.done:
	case <-w.clock.After(waitNoticeAfter):
		_ = writeFrame(w.stream, kindWait, struct{}{})
	}
}

// end waits until the notice is either written or will never be.
func (w *waitNotice) end() {
	close(w.done)
	<-w.ended
}

// follow takes a granted request's messages. If the entry is lost, the request
// stays counted for a bounded time.
func (n *Node) follow(ctx context.Context, follower *follower, ask shelfshelf.Ask, target shelfshelf.TargetName) error {
	for message := range follower.messages {
		switch message.kind {
		case kindFirstToken:
			n.Handler.FirstTokenOwner(ask.Pool, ask.ID)
		case kindDone:
			n.Handler.DoneOwner(ask.Pool, message.done.domain(ask.ID, target))
			return nil
		default:
		}
	}
	select {
	case <-ctx.Done():
	case <-n.Clock.After(releaseAfter):
	}
	n.Handler.DoneOwner(ask.Pool, shelfshelf.Completion{ID: ask.ID, Target: target, Outcome: shelfshelf.OutcomeUnknown})
	return nil
}

// followed is one message about a granted request.
type followed struct {
	kind messageKind
	done wireDone
}

// follower reads the messages of one ask's stream.
type follower struct {
	stream   *quic.Stream
	messages chan followed
	// lost, if set, is called when the stream ends.
	lost context.CancelFunc
}

// run reads until the request is done or the stream ends.
func (f *follower) run() {
	defer close(f.messages)
	if f.lost != nil {
		defer f.lost()
	}
	for {
		kind, payload, err := readFrame(f.stream)
		if err != nil {
			return
		}
		message := followed{kind: kind}
		if kind == kindDone && decode(payload, &message.done) != nil {
			return
		}
		f.messages <- message
		if kind == kindDone {
			return
		}
	}
}
