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

// heard returns a client whose answers' meanings are sent to the channel.
func heard() (*upstream.Client, chan shelfshelf.Answer) {
	words := make(chan shelfshelf.Answer, 10)
	client := newClient()
	client.Answered = func(_ shelfshelf.Target, answer shelfshelf.Answer, _ time.Time) { words <- answer }
	return client, words
}

// What a target says of itself is heard also from an answer that comes as the caller of its
// request has just left, or its time is over, as it is where a target gives up a request in its
// queue at the same deadline; and from one of another request. A caller that left while the word
// was under way kept the instance from knowing that its target leaves.
func TestWordsAreHeardWhoeverWaits(t *testing.T) {
	leaving := "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: %s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	for name, within := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"the caller has left": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, leave := context.WithCancel(ctx)
			time.AfterFunc(20*time.Millisecond, leave)
			return ctx, leave
		},
		"the time is over": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 20*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := within(context.Background())
			defer cancel()
			s := serve(t, func(int, int, string) (string, bool) {
				<-ctx.Done()
				time.Sleep(2 * time.Millisecond)
				return fmt.Sprintf(leaving, "a"), true
			})
			client, words := heard()
			defer closeAll(client)
			_, _ = ask(ctx, client, s.address(), "a")
			select {
			case word := <-words:
				if !word.Leaving {
					t.Errorf("%+v", word)
				}
			case <-time.After(time.Second):
				t.Error("nothing was heard")
			}
		})
	}
	t.Run("another request's answer", func(t *testing.T) {
		s := serve(t, func(_, _ int, id string) (string, bool) {
			return fmt.Sprintf(leaving, "other") + whole(id, "x"), true
		})
		client, words := heard()
		defer closeAll(client)
		if _, err := ask(context.Background(), client, s.address(), "a"); err != nil {
			t.Fatal(err)
		}
		if word := <-words; !word.Leaving {
			t.Errorf("%+v", word)
		}
	})
}

// An attempt whose caller has left ends at once, whatever is still listened for, and its target
// learns of it within a moment.
func TestWordsUnderWayHoldNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		closed := make(chan time.Duration, 1)
		client := newClient()
		client.Dial = func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go func() {
				_, _ = io.Copy(io.Discard, there)
				closed <- time.Since(began)
			}()
			return here, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		if _, err := ask(ctx, client, "t:80", "a"); !errors.Is(err, context.Canceled) || time.Since(began) != 30*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if after := <-closed; after > 100*time.Millisecond {
			t.Errorf("the target learnt of it after %v", after)
		}
	})
}
