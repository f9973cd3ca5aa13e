package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
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
// request has just left, and from one of another request. A caller that left while the word was
// under way kept the instance from knowing that its target leaves.
func TestWordsAreHeardWhoeverWaits(t *testing.T) {
	leaving := "HTTP/1.1 200 OK\r\nX-Shelfshelf-Request-Id: %s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	t.Run("the caller has left", func(t *testing.T) {
		left := make(chan struct{})
		s := serve(t, func(int, int, string) (string, bool) {
			<-left
			time.Sleep(2 * time.Millisecond)
			return fmt.Sprintf(leaving, "a"), true
		})
		client, words := heard()
		defer closeAll(client)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, func() {
			leave()
			close(left)
		})
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

// A target that goes on working learns within a moment that its caller has left, and an attempt
// whose time is over ends at once: only a caller that left is waited for.
func TestOnlyWordsUnderWayAreWaitedFor(t *testing.T) {
	s := serve(t, func(int, int, string) (string, bool) {
		time.Sleep(300 * time.Millisecond)
		return "", false
	})
	for name, c := range map[string]struct {
		end    error
		within time.Duration
	}{
		"the caller left": {context.Canceled, 100 * time.Millisecond},
		"silence":         {errors.New("silent"), 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient()
			defer closeAll(client)
			ctx, cancel := context.WithCancelCause(context.Background())
			var ended time.Time
			time.AfterFunc(20*time.Millisecond, func() {
				ended = time.Now()
				cancel(c.end)
			})
			_, err := ask(ctx, client, s.address(), "a")
			if took := time.Since(ended); !errors.Is(err, context.Canceled) || took > c.within {
				t.Errorf("%v after %v", err, took)
			}
		})
	}
}
