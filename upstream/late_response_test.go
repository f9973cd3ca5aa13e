package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// newReportingClient returns a client and a channel that receives each decoded answer.
func newReportingClient() (*upstream.Client, chan shelfshelf.ResponseMetadata) {
	answers := make(chan shelfshelf.ResponseMetadata, 10)
	client := newClient()
	client.OnAnswer = func(_ shelfshelf.Target, answer shelfshelf.ResponseMetadata, _ time.Time) { answers <- answer }
	return client, answers
}

// A target's announcement is read even if its response arrives just after the caller disconnected or the
// deadline passed, as when a target drops a queued request at the same deadline, and also from a response
// to another request. Otherwise an instance does not learn that a target is leaving if the caller
// disconnects while the response is in transit.
func TestLateAnswersAreReported(t *testing.T) {
	leaving := "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: %s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	for name, contextFor := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"the caller disconnected": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(20*time.Millisecond, cancel)
			return ctx, cancel
		},
		"the deadline passed": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 20*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := contextFor(context.Background())
			defer cancel()
			s := startServer(t, func(int, int, string) (string, bool) {
				<-ctx.Done()
				time.Sleep(2 * time.Millisecond)
				return fmt.Sprintf(leaving, "a"), true
			})
			client, answers := newReportingClient()
			defer closeAll(client)
			_, _ = send(ctx, client, s.address(), "a")
			select {
			case answer := <-answers:
				if !answer.Leaving {
					t.Errorf("%+v", answer)
				}
			case <-time.After(time.Second):
				t.Error("no answer was reported")
			}
		})
	}
	t.Run("response to another request", func(t *testing.T) {
		s := startServer(t, func(_, _ int, id string) (string, bool) {
			return fmt.Sprintf(leaving, "other") + okResponse(id, "x"), true
		})
		client, answers := newReportingClient()
		defer closeAll(client)
		if _, err := send(context.Background(), client, s.address(), "a"); err != nil {
			t.Fatal(err)
		}
		if answer := <-answers; !answer.Leaving {
			t.Errorf("%+v", answer)
		}
	})
}

// A cancelled attempt returns at once, even while a late response is still awaited, and the target's
// connection is closed promptly.
func TestCancelledCallsReturnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		closed := make(chan time.Duration, 1)
		client := newClient()
		client.Dial = func(context.Context, string, string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			go func() {
				_, _ = io.Copy(io.Discard, serverEnd)
				closed <- time.Since(began)
			}()
			return clientEnd, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		if _, err := send(ctx, client, "t:80", "a"); !errors.Is(err, context.Canceled) || time.Since(began) != 30*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if after := <-closed; after > 100*time.Millisecond {
			t.Errorf("the connection was closed after %v", after)
		}
	})
}
