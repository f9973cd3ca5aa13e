package peer

import (
	"context"
	"crypto/tls"
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
