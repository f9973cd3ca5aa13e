package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bounds"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// handOver asks other instances to connect to a target, one after the other, until one has. The error is
// ErrNotRun, joined with ErrOwnLink unless an instance whose links work doesn't reach the target either.
func (c *Client) handOver(ctx context.Context, request upstream.Request, within time.Duration) (connection, error) {
	target := request.Target
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var unreached []string
	candidates := c.peers.choose(c.Peers())
	for _, address := range candidates {
		h, answer := c.ask(ctx, address, request)
		if answer == outcomeReached {
			c.recordReached(target, address, unreached)
			return h, nil
		}
		if answer == outcomeUnreachable || answer == outcomeRefused {
			unreached = append(unreached, address)
		}
		if len(unreached) >= enoughUnreached || ctx.Err() != nil {
			break
		}
	}
	if len(unreached) == 0 {
		return nil, &unsentError{cause: shelfshelf.ErrOwnLink}
	}
	if len(unreached) >= min(enoughUnreached, len(candidates)) {
		c.links.unreachedBy(target, len(unreached))
	}
	return nil, &unsentError{cause: fmt.Errorf("%d other instances don't reach the target either", len(unreached))}
}

// recordReached notes that an instance reaches a target, so that those that don't have lost their links.
func (c *Client) recordReached(target shelfshelf.Target, peer string, unreached []string) {
	for _, address := range unreached {
		c.peers.record(address, outcomeCut)
	}
	if c.links.reachedBy(target, peer) {
		// Kept connections may hang: the first requests on them would fail.
		c.Direct.CloseIdle(target.Address)
	}
}

// handover is an exchange with another instance that has connected to a target and waits for the request.
type handover struct {
	client *Client
	peer   string
	body   *pendingBody
	// answered receives the response once.
	answered chan answer
	cancel   context.CancelFunc
	ended    sync.Once
}

// answer is the response of another instance.
type answer struct {
	response *http.Response
	err      error
}

// ask asks an instance to connect to a request's target.
func (c *Client) ask(ctx context.Context, peer string, wanted upstream.Request) (*handover, outcome) {
	exchange, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h := &handover{client: c, peer: peer, body: newPendingBody(), answered: make(chan answer, 1), cancel: cancel}
	connected := make(chan struct{})
	trace := &httptrace.ClientTrace{Got100Continue: sync.OnceFunc(func() { close(connected) })}
	request, err := newRequest(httptrace.WithClientTrace(exchange, trace), peer, wanted.Target, h.body)
	if err != nil {
		cancel()
		return nil, ""
	}
	request.Header.Set("Expect", "100-continue")
	request.Header.Set(headerFresh, strconv.FormatBool(wanted.NewConnection))
	request.Header.Set(headerSize, strconv.Itoa(len(wanted.Body)))
	c.peers.begin(peer)
	go h.run(request)
	told := h.await(ctx, connected)
	c.peers.record(peer, told)
	if c.OnHandover != nil {
		c.OnHandover(string(told))
	}
	if told != outcomeReached {
		h.Cancel()
		if told == "" {
			// Idle connections may have gone silent with this one, and each would cost a handover.
			c.transport.CloseIdleConnections()
		}
		return nil, told
	}
	return h, told
}

// newRequest returns a request to another instance that names a target.
func newRequest(ctx context.Context, peer string, target shelfshelf.Target, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+Path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerTarget, string(target.Name))
	request.Header.Set(headerAddress, target.Address)
	return request, nil
}

// run carries the exchange until the head of the response.
func (h *handover) run(request *http.Request) {
	//nolint:bodyclose // The receiver closes it.
	response, err := h.client.transport.RoundTrip(request)
	h.client.reportExceeded(h.peer, bounds.HeaderExceeded(err, maxResponseHeaderBytes))
	h.answered <- answer{response: response, err: err}
}

// await waits until the instance has connected to the target or has said that it doesn't. An empty outcome
// means that it gave no answer.
func (h *handover) await(ctx context.Context, connected <-chan struct{}) outcome {
	select {
	case <-connected:
		return outcomeReached
	case got := <-h.answered:
		return h.outcomeOf(got)
	case <-ctx.Done():
		// The end of the time says nothing of the instance.
		return outcomeUnsent
	case <-h.client.Clock.After(handshakeTimeout):
		return ""
	}
}

// outcomeOf returns what an instance says that has not asked for the request.
func (h *handover) outcomeOf(got answer) outcome {
	if got.err != nil {
		return ""
	}
	defer func() { _ = got.response.Body.Close() }()
	if got.response.StatusCode == http.StatusNotFound || got.response.StatusCode == http.StatusMethodNotAllowed {
		return outcomeOldBuild
	}
	told := outcome(got.response.Header.Get(headerOutcome))
	if told == outcomeReached {
		// It didn't ask for the request, and its answer is there already: nothing more would come.
		return ""
	}
	return told
}

// Cancel gives the exchange up. Nothing is sent to the target if Send was not called.
func (h *handover) Cancel() {
	h.body.close()
	h.cancel()
	h.end()
}

func (h *handover) end() {
	h.ended.Do(func() { h.client.peers.end(h.peer) })
}

// Send sends the request to the instance, which has connected to the target, and returns once the head of the
// target's response has been read. The error is ErrNotRun or ErrIncompleteResponse.
func (h *handover) Send(ctx context.Context, request upstream.Request) (*upstream.Response, error) {
	content, err := prepare(request, h.timeLeft(ctx))
	if err != nil {
		h.Cancel()
		return nil, err
	}
	stopCancelWatch := context.AfterFunc(ctx, h.cancel)
	h.body.supply(content)
	got := <-h.answered
	response, err := h.read(got)
	if err == nil && response.Answer.ID != request.ID {
		_ = got.response.Body.Close()
		err = &brokenError{cause: errors.New("the answer of another request came")}
	}
	if err != nil {
		stopCancelWatch()
		h.Cancel()
		if ctx.Err() != nil && errors.Is(err, shelfshelf.ErrIncompleteResponse) {
			err = &brokenError{cause: ctx.Err()}
		}
		return nil, err
	}
	response.Body = &responseBody{handover: h, response: got.response, stopCancelWatch: stopCancelWatch}
	return response, nil
}

// timeLeft returns the time until a context ends; 0 if it has no end.
func (h *handover) timeLeft(ctx context.Context) time.Duration {
	deadline, set := ctx.Deadline()
	if !set {
		return 0
	}
	return max(deadline.Sub(h.client.Clock.Now()), time.Millisecond)
}

// prepare runs the request's last checks and encodes it.
func prepare(request upstream.Request, timeout time.Duration) ([]byte, error) {
	if request.Prepare != nil {
		if err := request.Prepare(&request); err != nil {
			return nil, upstream.NotPrepared(err)
		}
	}
	content, err := encodeRequest(request, timeout)
	if err != nil {
		return nil, &unsentError{cause: err}
	}
	return content, nil
}

// read reads the head of the target's response.
func (h *handover) read(got answer) (*upstream.Response, error) {
	if got.err != nil {
		return nil, &brokenError{cause: errPeerBroke}
	}
	told := outcome(got.response.Header.Get(headerOutcome))
	if got.response.StatusCode != http.StatusOK {
		_ = got.response.Body.Close()
		if told == outcomeUnsent {
			return nil, &unsentError{cause: errors.New("the other instance has not sent the request")}
		}
		return nil, &brokenError{cause: errorOf(told)}
	}
	response, err := readHead(got.response.Body)
	if exceeded := (*bounds.Exceeded)(nil); errors.As(err, &exceeded) {
		h.client.reportExceeded(h.peer, exceeded)
	}
	if err != nil {
		_ = got.response.Body.Close()
		return nil, &brokenError{cause: errPeerBroke}
	}
	response.Answer = h.client.Codec.Answer(response.Status, response.Header)
	response.Via = h.peer
	return response, nil
}

// responseBody is the body of a target's response that comes through another instance.
type responseBody struct {
	handover        *handover
	response        *http.Response
	stopCancelWatch func() bool
}

// Read reads the body. It returns io.EOF only if the instance has said that the response was complete.
func (b *responseBody) Read(buffer []byte) (int, error) {
	n, err := b.response.Body.Read(buffer)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		told := outcome(b.response.Trailer.Get(headerOutcome))
		if told == outcomeComplete {
			return n, io.EOF
		}
		return n, errorOf(told)
	case errors.Is(err, context.Canceled):
		return n, context.Canceled
	}
	return n, errPeerBroke
}

// Close ends the exchange. The connection to the instance is kept if the response was read completely.
func (b *responseBody) Close() error {
	b.stopCancelWatch()
	err := b.response.Body.Close()
	b.handover.Cancel()
	return err
}
