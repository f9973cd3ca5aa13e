package forward

import (
	"context"
	"net/http"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxWitnesses is how many other instances are asked whether a target refuses connections, and enoughRefused how
	// many have to say so if as many can tell.
	maxWitnesses  = 4
	enoughRefused = 2
)

// Refused reports whether nothing listens at a target's address, as seen by other instances whose links work;
// refusedHere says that the own connection was refused. The own view counts only if no other instance can tell and
// this one reaches other targets: a link that is cut may refuse connections on behalf of a target.
func (c *Client) Refused(ctx context.Context, target shelfshelf.Target, refusedHere bool) bool {
	c.links.use(target)
	refused, doubted := 0, false
	witnesses := c.peers.choose(c.Peers())
	for _, peer := range witnesses[:min(len(witnesses), maxWitnesses)] {
		switch c.askWitness(ctx, peer, target) {
		case outcomeReached:
			c.links.reachedBy(target, peer)
			return false
		case outcomeRefused:
			refused++
		case outcomeUnreachable:
			doubted = true
		default:
			// It can't tell: it doesn't answer, its own links fail, or it doesn't know the target yet.
		}
		if refused >= enoughRefused {
			return true
		}
	}
	return refused > 0 || refusedHere && !doubted && c.ownLinksWork(ctx, target)
}

// askWitness asks an instance whether it reaches a target; an empty outcome means that it gave no answer.
func (c *Client) askWitness(ctx context.Context, peer string, target shelfshelf.Target) outcome {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	request, err := newRequest(ctx, peer, target, nil)
	if err != nil {
		return ""
	}
	request.Header.Set(headerProbe, "true")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	told := outcome(response.Header.Get(headerOutcome))
	if response.StatusCode == http.StatusNotFound || !slices.Contains(probeOutcomes, told) {
		return ""
	}
	return told
}

// probeOutcomes are the answers to a probe.
var probeOutcomes = []outcome{outcomeReached, outcomeRefused, outcomeUnreachable, outcomeCut, outcomeBusy, outcomeUnknown}
