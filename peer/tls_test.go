package peer_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/peer"
)

// echo answers heartbeats and grants everything.
type echo struct{ shelfshelf.PeerHandler }

func (echo) Heard(beat shelfshelf.Heartbeat) shelfshelf.Heartbeat {
	beat.Incarnation++
	return beat
}

func (echo) AskOwner(_ context.Context, ask shelfshelf.Ask) (shelfshelf.Decision, error) {
	return shelfshelf.Decision{ID: ask.ID, Granted: true, Target: "t", ValidUntil: time.Now().Add(time.Minute)}, nil
}

func (echo) DoneOwner(shelfshelf.PoolName, shelfshelf.Completion) {}

func (echo) Object(digest string) ([]byte, bool) { return []byte("content"), digest == "known" }

func authority(t *testing.T) (*keys.Authority, []byte) {
	t.Helper()
	made, err := keys.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := made.Pair()
	if err != nil {
		t.Fatal(err)
	}
	return made, pair.Certificate
}

func issue(t *testing.T, by *keys.Authority, name string, life time.Duration) keys.Pair {
	t.Helper()
	pair, err := by.Issue(name, time.Now(), life)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

func configOf(t *testing.T, pair keys.Pair, root []byte) func() *tls.Config {
	t.Helper()
	config, err := keys.TLSConfig(pair, root)
	if err != nil {
		t.Fatal(err)
	}
	return func() *tls.Config { return config }
}

// start runs a node until the test ends.
func start(t *testing.T, config func() *tls.Config) (*peer.Node, string) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &peer.Node{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Handler: echo{}, TLS: config, Conn: conn}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = node.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return node, conn.LocalAddr().String()
}

func beat(from *peer.Node, to shelfshelf.Instance) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := from.Heartbeat(ctx, to, shelfshelf.Heartbeat{})
	return err
}

func TestPeers(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ours, root := authority(t)
	foreign, _ := authority(t)
	_, address := start(t, configOf(t, issue(t, ours, "server", time.Hour), root))
	server := shelfshelf.Instance{ID: "server", Address: address}
	good, _ := start(t, configOf(t, issue(t, ours, "good", time.Hour), root))
	t.Run("own certificate", func(t *testing.T) {
		if err := beat(good, server); err != nil {
			t.Error(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		ticket, err := good.Ask(ctx, server, shelfshelf.Ask{ID: "r", Deadline: time.Now().Add(time.Minute)})
		if err != nil || !ticket.Decision().Granted {
			t.Fatal(err)
		}
		ticket.Done(shelfshelf.Completion{ID: "r"})
		if content, err := good.GetObject(ctx, server, "known"); err != nil || string(content) != "content" {
			t.Error(content, err)
		}
		if _, err := good.GetObject(ctx, server, "unknown"); err == nil {
			t.Error("an object that is not there was got")
		}
	})
	t.Run("another name than expected", func(t *testing.T) {
		if beat(good, shelfshelf.Instance{ID: "other", Address: address}) == nil {
			t.Error("an instance passed for another")
		}
	})
	t.Run("foreign certificate", func(t *testing.T) {
		node, _ := start(t, configOf(t, issue(t, foreign, "good", time.Hour), root))
		if beat(node, server) == nil {
			t.Error("a certificate of another authority was taken")
		}
	})
	t.Run("expired certificate", func(t *testing.T) {
		node, _ := start(t, configOf(t, issue(t, ours, "good", -time.Minute), root))
		if beat(node, server) == nil {
			t.Error("an expired certificate was taken")
		}
	})
}

func TestRenewedCertificateIsReadAnew(t *testing.T) {
	ours, root := authority(t)
	folder := t.TempDir()
	files := keys.Files{
		Certificate: filepath.Join(folder, "i.pem"),
		Key:         filepath.Join(folder, "i.key"),
		Authority:   filepath.Join(folder, "ca.pem"),
	}
	write := func(name string, content []byte, at time.Time) {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, at, at); err != nil {
			t.Fatal(err)
		}
	}
	put := func(pair keys.Pair, at time.Time) {
		write(files.Certificate, pair.Certificate, at)
		write(files.Key, pair.Key, at)
	}
	began := time.Now().Add(-time.Hour)
	write(files.Authority, root, began)
	put(issue(t, ours, "i", time.Hour), began)
	clock := clockwork.NewFakeClock()
	reloader := &keys.Reloader{Clock: clock, Log: log.New(io.Discard), Files: files}
	if err := reloader.Load(); err != nil {
		t.Fatal(err)
	}
	first := reloader.TLS()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = reloader.Run(ctx) }()
	tick := func() {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(10 * time.Second)
	}
	// A broken file changes nothing.
	write(files.Certificate, []byte("broken"), began.Add(time.Minute))
	tick()
	tick()
	if reloader.TLS() != first {
		t.Error("a broken certificate was taken")
	}
	put(issue(t, ours, "i", 2*time.Hour), began.Add(2*time.Minute))
	tick()
	tick()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if reloader.TLS() == first {
		t.Error("a renewed certificate was not taken")
	}
	cancel()
	<-ended
}
