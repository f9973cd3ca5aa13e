package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bounds"
	"github.com/shelfshelf/shelfshelf/upstream"
)

const (
	// handshakeTimeout is how long another instance may take to connect to a target. It dials for up to
	// upstream.DialTimeout.
	handshakeTimeout = upstream.DialTimeout + 60*time.Millisecond
	// openTimeout bounds the time until a request is sent over whichever way. What was checked before, such as
	// the key, has to hold until then.
	openTimeout = 400 * time.Millisecond
	// quickHandover is how long a request waits for other instances after the first failure of a connection:
	// longer than those take whose links work, and than a target that is gone is to delay a request that has
	// others to go to.
	quickHandover = 60 * time.Millisecond
	// enoughUnreached is how many instances have to say that they don't reach a target either.
	enoughUnreached = 2
	// idlePerPeer and idleConnTimeout bound the kept connections to other instances.
	idlePerPeer     = 16
	idleConnTimeout = 30 * time.Second
	// maxResponseHeaderBytes bounds the header of another instance's response, which has a few short lines; the head
	// of the target's response is in its body. The default of net/http is 10 MB.
	maxResponseHeaderBytes = 16 << 10
	// peerDialTimeout bounds the time to connect to another instance.
	peerDialTimeout = upstream.DialTimeout
)

// PeerKeepAlive finds out within 4 s that another instance has gone silent; the operating system's own takes minutes.
var PeerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Client sends requests to targets: directly, or through another instance where the link to the target fails.
// Set the exported fields and call Init before use. It is safe for concurrent use.
type Client struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Codec  shelfshelf.CallCodec
	Direct *upstream.Client
	// Peers returns the other instances that are live.
	Peers func() []Peer
	// Controls returns some other targets of a target's pool, or of other pools if it has none, to find out
	// whether the links of this instance work.
	Controls func(target shelfshelf.Target) []shelfshelf.Target
	// Late reports whether this instance is late itself, so that a connection that took too long says nothing of its
	// target; nil means never.
	Late func() bool
	// Dial opens connections to other instances. If nil, the operating system's dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnHandover, if set, is called with the outcome of each attempt to hand a request over.
	OnHandover func(outcome string)
	// OnDialed, if set, is called with the time that it took to open a connection to a target, or that it took to fail.
	OnDialed func(took time.Duration)

	// OnExceeded, if set, is called when another instance's response exceeds a bound.
	OnExceeded func(peer string, exceeded *bounds.Exceeded)

	links     *links
	peers     peers
	transport *http.Transport
}

// Init prepares the client and follows the connections of Direct.
func (c *Client) Init() {
	c.links = newLinks(c.Clock, c.Log)
	c.peers.clock = c.Clock
	c.Direct.OnDial = c.dialed
	dial := c.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: PeerKeepAlive}
		dial = dialer.DialContext
	}
	c.transport = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleConnTimeout,
		// The body must never be sent unasked: until it is, the request has certainly not run.
		ExpectContinueTimeout:  time.Hour,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// dialed follows the connections of Direct.
func (c *Client) dialed(address string, took time.Duration, err error) {
	c.links.dialed(address, took, err)
	if c.OnDialed != nil {
		c.OnDialed(took)
	}
}

// LinksDown returns how many targets this instance doesn't reach that other instances reach.
func (c *Client) LinksDown() int { return c.links.countDown() }

// connection is a way to a target on which nothing has been sent yet. Either Send or Cancel must be called
// once.
type connection interface {
	Send(ctx context.Context, request upstream.Request) (*upstream.Response, error)
	Cancel()
}

// Send sends a request to an address and returns once the head of the response has been read. The error is
// ErrNotRun, joined with ErrOwnLink if other instances reach the target, or ErrIncompleteResponse.
func (c *Client) Send(ctx context.Context, address string, request upstream.Request) (*upstream.Response, error) {
	opened, err := c.open(ctx, address, request)
	if err != nil {
		return nil, err
	}
	return opened.Send(ctx, request)
}

// open finds a way to a request's target.
func (c *Client) open(ctx context.Context, address string, request upstream.Request) (connection, error) {
	switch c.links.use(request.Target) {
	case linkDown:
		return c.openAroundLink(ctx, address, request)
	case linkDoubtful:
		return c.race(ctx, address, request)
	case linkDead:
		direct, err := c.openDirectly(ctx, address, request.NewConnection)
		if err != nil {
			go c.confirm(request.Target)
		}
		return direct, err
	default:
		return c.openDirectlyFirst(ctx, address, request)
	}
}

// openDirectlyFirst opens a connection to the target, and hands the request over if that fails.
func (c *Client) openDirectlyFirst(ctx context.Context, address string, request upstream.Request) (connection, error) {
	direct, err := c.openDirectly(ctx, address, request.NewConnection)
	if err == nil {
		return direct, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller has gone, which says nothing of the target.
		return nil, err
	}
	if c.isLate() && !isRefused(err) {
		return nil, &unsentError{cause: errOwnLateness}
	}
	if ctx.Err() == nil {
		handed, handErr := c.handOver(ctx, request, quickHandover)
		if handErr == nil {
			return handed, nil
		}
	}
	go c.confirm(request.Target)
	return nil, err
}

// reportExceeded passes a bound that another instance exceeded to OnExceeded; nil is none.
func (c *Client) reportExceeded(peer string, exceeded *bounds.Exceeded) {
	if exceeded != nil && c.OnExceeded != nil {
		c.OnExceeded(peer, exceeded)
	}
}

func (c *Client) isLate() bool { return c.Late != nil && c.Late() }

// openDirectly opens a connection to the target itself.
func (c *Client) openDirectly(ctx context.Context, address string, fresh bool) (connection, error) {
	reserved, err := c.Direct.Reserve(ctx, address, fresh)
	if err != nil {
		return nil, err
	}
	return directConnection{Reservation: reserved, client: c}, nil
}

// openAroundLink hands a request over whose target isn't reached from here, and tries the link all the same
// if nobody takes it.
func (c *Client) openAroundLink(ctx context.Context, address string, request upstream.Request) (connection, error) {
	handed, err := c.handOver(ctx, request, openTimeout-upstream.DialTimeout)
	if err == nil {
		return handed, nil
	}
	direct, directErr := c.openDirectly(ctx, address, true)
	if directErr == nil {
		return direct, nil
	}
	return nil, err
}

// confirm finds out whether other instances reach a target whose connection failed here. Without it, a
// request that has no time left after a failed connection would teach nothing to the next one.
func (c *Client) confirm(target shelfshelf.Target) {
	if !c.links.beginConfirm(target) {
		return
	}
	defer c.links.endConfirm(target)
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	handed, err := c.handOver(ctx, upstream.Request{Target: target}, openTimeout)
	if err == nil {
		handed.Cancel()
	}
}
