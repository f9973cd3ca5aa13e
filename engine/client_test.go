package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/engine"
)

func chunk(id string, index int, last bool) string {
	reason := "null"
	if last {
		reason = `"stop"`
	}
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"text\":\"w%d\",\"finish_reason\":%s}]}\n\n", index, id, index, reason)
}

// complete runs a call against a handler and returns what was emitted.
func complete(handler http.HandlerFunc) (indexes []int, err error) {
	server := httptest.NewServer(handler)
	defer server.Close()
	client := engine.NewClient(clockwork.NewRealClock())
	target := shelfshelf.Target{Name: "e", Address: server.URL}
	err = client.Complete(context.Background(), target, shelfshelf.CompletionCall{ID: "r", Path: "/v1/completions", Body: []byte("{}")},
		func(c shelfshelf.EngineChunk) error { indexes = append(indexes, c.Index); return nil })
	return indexes, err
}

func TestComplete(t *testing.T) {
	Convey("A broken stream is resumed on the same engine, no chunk missing or repeated", t, func() {
		posts := 0
		indexes, err := complete(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				posts++
				_, _ = io.WriteString(w, chunk("r", 0, false)+chunk("r", 1, false))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			// It sends one that the reader has already.
			_, _ = io.WriteString(w, chunk("r", 1, false)+chunk("r", 2, true)+"data: [DONE]\n\n")
		})
		So(err, ShouldBeNil)
		So(indexes, ShouldResemble, []int{0, 1, 2})
		So(posts, ShouldEqual, 1)
	})
	Convey("A stream that ends early is never taken for whole", t, func() {
		posts := 0
		_, err := complete(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				posts++
				_, _ = io.WriteString(w, chunk("r", 0, false)+"data: [DONE]\n\n")
				return
			}
			http.Error(w, "gone", http.StatusNotFound)
		})
		So(errors.Is(err, shelfshelf.ErrIncompleteResponse), ShouldBeTrue)
		So(posts, ShouldEqual, 1)
	})
	Convey("Another request's chunk is refused", t, func() {
		indexes, err := complete(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, chunk("other", 0, true)+"data: [DONE]\n\n")
		})
		So(errors.Is(err, shelfshelf.ErrIncompleteResponse), ShouldBeTrue)
		So(indexes, ShouldBeEmpty)
	})
	Convey("An engine's own refusal is not run", t, func() {
		_, err := complete(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "full", http.StatusServiceUnavailable) })
		So(errors.Is(err, shelfshelf.ErrNotRun), ShouldBeTrue)
	})
	Convey("A refused connection is not run", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := "http://" + listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		client := engine.NewClient(clockwork.NewRealClock())
		err = client.Complete(context.Background(), shelfshelf.Target{Address: address}, shelfshelf.CompletionCall{ID: "r", Path: "/"}, nil)
		So(errors.Is(err, shelfshelf.ErrNotRun), ShouldBeTrue)
	})
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 0\ndata: {}\n\ndata: [DONE]\n\n")
	f.Add("data: a\ndata: b\r\n\r\n: comment\n\nid: -1\n")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := engine.NewEventReader(strings.NewReader(stream))
		for range len(stream) + 1 {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if event.Index < -1 {
				t.Errorf("index %d", event.Index)
			}
		}
		t.Error("more events than bytes")
	})
}
