package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// linkKey names the end of a link.
type linkKey struct {
	id      shelfshelf.InstanceID
	address string
}

// link is the connection to one address; ready is closed when it is made.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// connect returns the connection to an instance, made if need be.
func (n *Node) connect(ctx context.Context, to shelfshelf.Instance) (*quic.Conn, error) {
	transport := n.start()
	n.mu.Lock()
	if n.stopped {
		n.mu.Unlock()
		return nil, eris.New("peer: stopped")
	}
	key := linkKey{id: to.ID, address: to.Address}
	l := n.links[key]
	if l == nil || (l.conn != nil && l.conn.Context().Err() != nil) || l.err != nil {
		if l != nil && l.conn != nil {
			n.closed.add(l.conn)
		}
		l = &link{ready: make(chan struct{})}
		n.links[key] = l
		go n.runDial(transport, l, to)
	}
	n.mu.Unlock()
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return l.conn, l.err
}

// runDial makes a connection for all who wait for it.
func (n *Node) runDial(transport *quic.Transport, l *link, to shelfshelf.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := n.dial(ctx, transport, to)
	n.mu.Lock()
	l.conn, l.err = conn, err
	if n.stopped && conn != nil {
		_ = conn.CloseWithError(codeClosed, "stopped")
	}
	n.mu.Unlock()
	close(l.ready)
}

func (n *Node) dial(ctx context.Context, transport *quic.Transport, to shelfshelf.Instance) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "peer: address of %s", to.ID)
	}
	config := n.TLS().Clone()
	config.ServerName = string(to.ID)
	config.NextProtos = []string{protocolName}
	conn, err := transport.Dial(ctx, address, config, quicConfig())
	if err != nil {
		return nil, eris.Wrapf(err, "peer: connect to %s", to.ID)
	}
	return conn, nil
}

// open opens a stream to an instance and writes its first message.
func (n *Node) open(ctx context.Context, to shelfshelf.Instance, kind messageKind, message any) (*quic.Stream, error) {
	conn, err := n.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "peer: open stream")
	}
	if err := writeFrame(stream, kind, message); err != nil {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
		return nil, err
	}
	return stream, nil
}

// exchange sends one message and reads one.
func (n *Node) exchange(ctx context.Context, to shelfshelf.Instance, kind messageKind, message any) (messageKind, []byte, error) {
	stream, err := n.open(ctx, to, kind, message)
	if err != nil {
		return 0, nil, err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(codeCancelled) })
	defer stop()
	_ = stream.Close()
	return readFrame(stream)
}

// Heartbeat sends a heartbeat and returns the other side's.
func (n *Node) Heartbeat(ctx context.Context, to shelfshelf.Instance, beat shelfshelf.Heartbeat) (shelfshelf.Heartbeat, error) {
	_, payload, err := n.exchange(ctx, to, kindHeartbeat, heartbeatToWire(beat))
	if err != nil {
		return shelfshelf.Heartbeat{}, err
	}
	var wire wireHeartbeat
	if err := decode(payload, &wire); err != nil {
		return shelfshelf.Heartbeat{}, err
	}
	return wire.domain(), nil
}

// GetObject fetches a signed bundle by its digest.
func (n *Node) GetObject(ctx context.Context, to shelfshelf.Instance, digest string) ([]byte, error) {
	kind, payload, err := n.exchange(ctx, to, kindGetObject, wireDigest{Digest: digest})
	if err != nil {
		return nil, err
	}
	if kind != kindObject {
		return nil, shelfshelf.ErrNotFound
	}
	var content []byte
	if err := decode(payload, &content); err != nil {
		return nil, err
	}
	return content, nil
}

// Ask asks the owner of a pool; see shelfshelf.Peers.
func (n *Node) Ask(ctx context.Context, to shelfshelf.Instance, ask shelfshelf.Ask) (shelfshelf.Ticket, error) {
	stream, err := n.open(ctx, to, kindAsk, askToWire(ask, "", n.Clock.Now()))
	if err != nil {
		return nil, unreachable(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	})
	defer stop()
	payload, err := n.readDecision(stream)
	if err != nil {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
		return nil, unreachable(ctx, err)
	}
	var wire wireDecision
	if err := decode(payload, &wire); err != nil {
		return nil, unreachable(ctx, err)
	}
	decision := wire.domain(n.Clock.Now())
	if decision.ID != ask.ID {
		stream.CancelWrite(codeBadFrame)
		return nil, unreachable(ctx, eris.Errorf("peer: decision on %q, not on %q", decision.ID, ask.ID))
	}
	return &remoteTicket{stream: stream, decision: decision}, nil
}

// readDecision reads an owner's decision. The first message, a decision or a
// notice that the ask is in line, must come soon; after the notice the decision
// may take as long as the line does.
func (n *Node) readDecision(stream *quic.Stream) ([]byte, error) {
	_ = stream.SetReadDeadline(n.Clock.Now().Add(noticeWithin))
	kind, payload, err := readFrame(stream)
	if err != nil || kind != kindWait {
		return payload, err
	}
	_ = stream.SetReadDeadline(time.Time{})
	_, payload, err = readFrame(stream)
	return payload, err
}

// Hold tells a new owner of a request in flight.
func (n *Node) Hold(ctx context.Context, to shelfshelf.Instance, ask shelfshelf.Ask, decision shelfshelf.Decision) (shelfshelf.Ticket, error) {
	stream, err := n.open(ctx, to, kindHold, askToWire(ask, decision.Target, n.Clock.Now()))
	if err != nil {
		return nil, unreachable(ctx, err)
	}
	return &remoteTicket{stream: stream, decision: decision}, nil
}

func unreachable(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		err = eris.New("peer: no decision")
	}
	return eris.Wrap(shelfshelf.ErrOwnerUnreachable, err.Error())
}
