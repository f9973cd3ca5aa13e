package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// A request that ends each engine that runs it is run by a few only, however often its
// caller sends it; others are served meanwhile. Without a memory of what was asked for, ten
// of ten were run.
func TestRequestsThatEndEnginesAreHeldBack(t *testing.T) {
	t.Parallel()
	var targets []shelfshelf.TargetName
	for i := range 9 {
		targets = append(targets, shelfshelf.TargetName(fmt.Sprintf("regina-m%02d-%d", 1+4*(i/3), 1+i%3)))
	}
	ran := 0
	deadly := true
	g := &granter{targets: targets}
	server := newServer(t, g, &engines{run: func(_ context.Context, _ shelfshelf.Target, emit func(shelfshelf.EngineChunk) error) error {
		if deadly {
			ran++
			return shelfshelf.ErrIncompleteResponse
		}
		return emit(chunk(0, "a"))
	}})
	last := http.StatusOK
	for range 10 {
		last = post(server, tagBody).Code
		// The next try goes to another engine.
		g.targets = append(g.targets[1:], g.targets[0])
		time.Sleep(20 * time.Millisecond)
	}
	if ran > 4 || last != http.StatusServiceUnavailable {
		t.Errorf("run %d times, answered %d in the end", ran, last)
	}
	deadly = false
	if got := post(server, `{"model":"refund-tag","prompt":"another note","max_tokens":2}`); got.Code != http.StatusOK {
		t.Errorf("another request: %d %s", got.Code, got.Body)
	}
	if got := post(server, tagBody); got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
		t.Errorf("the same once more: %d %s", got.Code, got.Body)
	}
}
