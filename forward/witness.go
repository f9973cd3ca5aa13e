package forward

import (
	"context"
	"net/http"
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// maxWitnesses is how many other instances are asked whether a target refuses connections.
const maxWitnesses = 4

// Refused reports whether nothing listens at a target's address, as seen by another instance whose links work;
// refusedHere says that the own connection was refused. The own view counts only if no other instance can tell and
// this one reaches other targets: a link that is cut may refuse connections on behalf of a target.
func (c *Client) Refused(ctx context.Context, target shelfshelf.Target, refusedHere bool) bool {
	c.links.use(target)
	doubted := false
	witnesses := c.peers.choose(c.Peers())
	for _, peer := range witnesses[:min(len(witnesses), maxWitnesses)] {
		told := c.askWitness(ctx, peer, target)
		switch told {
		case outcomeReached:
			c.links.reachedBy(target, peer)
			return false
		case outcomeRefused:
			return true
		case outcomeUnreachable:
			doubted = true
		default:
			// It can't tell: it doesn't answer, its own links fail, or it doesn't know the target yet.
		}
	}
	return refusedHere && !doubted && c.ownLinksWork(ctx, target.Name)
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

// ownLinksWork reports whether this instance reaches another target, or there is none.
func (c *Client) ownLinksWork(ctx context.Context, excluded shelfshelf.TargetName) bool {
	return len(c.Controls(excluded)) == 0 || c.reachesOther(ctx, excluded)
}
