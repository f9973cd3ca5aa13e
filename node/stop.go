package node

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// runCallers serves callers until the context ends and then stops: it is no
// longer ready, still takes what comes until the balancer has noticed, and ends
// when nothing is in flight.
func (n *Node) runCallers(ctx context.Context, server *http.Server, listener net.Listener) error {
	failed := make(chan error, 1)
	serving := &callersLoop{server: server, listener: listener, failed: failed}
	go serving.run()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	began := n.Clock.Now()
	n.stopping.Store(true)
	n.gateway.Stop()
	n.gossip.Leave()
	n.origins.HandOver()
	n.Log.Info("The instance is stopping.", "inFlight", n.gateway.InFlight(), "limit", n.Settings.StopLimit)
	limit, cancel := context.WithTimeout(context.Background(), n.Settings.StopLimit-stopMargin)
	defer cancel()
	select {
	case <-limit.Done():
	case <-n.Clock.After(leaveDelay):
	}
	n.gateway.RefuseAll()
	n.forwardServer.Stop()
	err := server.Shutdown(limit)
	n.forwardServer.Wait(limit)
	n.origins.HandOver()
	n.Log.Info("Callers are served.", "after", n.Clock.Now().Sub(began), "cut", n.gateway.InFlight(), "ofOthers", n.forwardServer.InFlight())
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// callersLoop serves callers' connections.
type callersLoop struct {
	server   *http.Server
	listener net.Listener
	failed   chan<- error
}

func (c *callersLoop) run() {
	if err := c.server.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
		c.failed <- eris.Wrap(err, "serve callers")
	}
}
