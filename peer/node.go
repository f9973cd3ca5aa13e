package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// protocolName is the ALPN of the peer protocol; its number grows with any
	// change that older programs can't read.
	protocolName = "shelfshelf-peer/1"

	dialTimeout     = time.Second
	idleTimeout     = 5 * time.Second
	keepAlivePeriod = 2 * time.Second
	writeTimeout    = 2 * time.Second
	maxStreams      = 1 << 16
	// releaseAfter is how long the requests of a lost entry stay counted on
	// their targets: their engines may still work on them.
	releaseAfter = 10 * time.Second
	// waitNoticeAfter is when an owner that has not decided says that it lives,
	// and noticeWithin when an entry that has heard nothing takes it for dead.
	waitNoticeAfter = 50 * time.Millisecond
	noticeWithin    = 400 * time.Millisecond

	codeClosed    quic.ApplicationErrorCode = 0
	codeCancelled quic.StreamErrorCode      = 1
	codeBadFrame  quic.StreamErrorCode      = 2
)

// Node is one instance's end of the peer protocol: it serves others and
// reaches them, over one UDP socket.
type Node struct {
	Clock   shelfshelf.Clock
	Log     *log.Logger
	Handler shelfshelf.PeerHandler
	// TLS yields the configuration anew for each connection, so that a renewed
	// certificate takes effect without a restart.
	TLS func() *tls.Config
	// Conn is the UDP socket; Run closes it.
	Conn net.PacketConn

	once      sync.Once
	transport *quic.Transport
	mu        sync.Mutex
	// links are by instance and address: an address may have passed to another.
	links    map[linkKey]*link
	accepted map[*quic.Conn]struct{}
	closed   Traffic
	stopped  bool
}

// Traffic counts what the node's connections have carried.
type Traffic struct {
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

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

func (n *Node) start() *quic.Transport {
	n.once.Do(func() {
		n.transport = &quic.Transport{Conn: n.Conn}
		n.links = make(map[linkKey]*link)
		n.accepted = make(map[*quic.Conn]struct{})
	})
	return n.transport
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxStreams,
	}
}

// Run serves other instances until the context ends.
func (n *Node) Run(ctx context.Context) error {
	transport := n.start()
	server := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return n.serverTLS(), nil
		},
		NextProtos: []string{protocolName},
	}
	listener, err := transport.Listen(server, quicConfig())
	if err != nil {
		return eris.Wrap(err, "peer: listen")
	}
	var streams sync.WaitGroup
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			break
		}
		n.track(conn)
		streams.Add(1)
		go n.runConn(ctx, conn, &streams)
	}
	n.stop()
	_ = listener.Close()
	streams.Wait()
	_ = transport.Close()
	_ = n.Conn.Close()
	return nil
}

// serverTLS asks for a certificate of our own authority from whoever connects.
func (n *Node) serverTLS() *tls.Config {
	config := n.TLS().Clone()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = config.RootCAs
	config.NextProtos = []string{protocolName}
	config.MinVersion = tls.VersionTLS13
	return config
}

func (n *Node) track(conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted[conn] = struct{}{}
}

// stop closes every connection; no new one is made.
func (n *Node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for conn := range n.accepted {
		_ = conn.CloseWithError(codeClosed, "stopped")
	}
	for _, l := range n.links {
		if l.conn != nil {
			_ = l.conn.CloseWithError(codeClosed, "stopped")
		}
	}
}

// Traffic returns what all connections have carried so far.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.closed
	for conn := range n.accepted {
		total.add(conn)
	}
	for _, l := range n.links {
		if l.conn != nil {
			total.add(l.conn)
		}
	}
	return total
}

func (t *Traffic) add(conn *quic.Conn) {
	stats := conn.ConnectionStats()
	t.BytesSent += stats.BytesSent
	t.BytesReceived += stats.BytesReceived
	t.PacketsSent += stats.PacketsSent
	t.PacketsReceived += stats.PacketsReceived
}

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
