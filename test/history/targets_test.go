package history

import (
	"context"
	"fmt"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// nodeTargets is a node's way to engines and services.
type nodeTargets struct {
	node *node
}

// begin delivers a request to a target, which runs it.
func (t *nodeTargets) begin(ctx context.Context, target shelfshelf.Target, id shelfshelf.RequestID, key string) error {
	if err := t.node.gate(ctx); err != nil {
		return shelfshelf.ErrNotRun
	}
	w := t.node.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[direction(string(t.node.ID), string(target.Name))] {
		return shelfshelf.ErrNotRun
	}
	if since, leaving := w.leaving[target.Name]; leaving {
		if now := w.clock.Now(); now.Sub(since) > leavingGrace && !t.node.isPaused(now) {
			w.lateCalls = append(w.lateCalls, fmt.Sprintf("%s got %s from %s %v after it began to leave", target.Name, id, t.node.ID, w.clock.Now().Sub(since)))
		}
		return shelfshelf.ErrNotRun
	}
	w.runs[id]++
	w.ranOn[id] = target.Name
	if key != "" {
		w.keyRuns[key]++
	}
	return nil
}

func (t *nodeTargets) span(target shelfshelf.TargetName, span time.Duration) time.Duration {
	t.node.world.mu.Lock()
	defer t.node.world.mu.Unlock()
	return time.Duration(float64(span) * max(t.node.world.slow[target], 1))
}

// answerOf is what a target answers to a request.
func answerOf(target shelfshelf.TargetName, id shelfshelf.RequestID) string {
	return string(target) + " ran " + string(id)
}

// Call runs a call of a plain service.
func (t *nodeTargets) Call(ctx context.Context, target shelfshelf.Target, call shelfshelf.ServiceCall) (shelfshelf.ServiceAnswer, error) {
	key := call.Header.Get("Idempotency-Key")
	if err := t.begin(ctx, target, call.ID, key); err != nil {
		return shelfshelf.ServiceAnswer{}, err
	}
	if t.node.world.wait(ctx, t.span(target.Name, callTime)) != nil || t.node.world.mishap(1) || t.node.gate(ctx) != nil {
		return shelfshelf.ServiceAnswer{}, shelfshelf.ErrIncompleteResponse
	}
	return shelfshelf.ServiceAnswer{Status: 200, Body: []byte(answerOf(target.Name, call.ID))}, nil
}

// Complete runs a completion of three chunks.
func (t *nodeTargets) Complete(ctx context.Context, target shelfshelf.Target, call shelfshelf.CompletionCall, emit func(shelfshelf.EngineChunk) error) error {
	if err := t.begin(ctx, target, call.ID, ""); err != nil {
		return err
	}
	text := answerOf(target.Name, call.ID)
	third := len(text) / 3
	for index, part := range []string{text[:third], text[third : 2*third], text[2*third:]} {
		if t.node.world.wait(ctx, t.span(target.Name, tokenTime)) != nil || t.node.gate(ctx) != nil {
			return shelfshelf.ErrIncompleteResponse
		}
		if t.node.world.mishap(1.0 / 3) {
			return shelfshelf.ErrIncompleteResponse
		}
		data := fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`, call.ID, part)
		if err := emit(shelfshelf.EngineChunk{Index: index, Data: []byte(data), Tokens: 1}); err != nil {
			return shelfshelf.ErrIncompleteResponse
		}
	}
	return nil
}

// Load returns a target's report.
func (t *nodeTargets) Load(ctx context.Context, target shelfshelf.Target) (shelfshelf.LoadReport, error) {
	if err := t.node.gate(ctx); err != nil {
		return shelfshelf.LoadReport{}, err
	}
	w := t.node.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[direction(string(t.node.ID), string(target.Name))] {
		return shelfshelf.LoadReport{}, errCut
	}
	_, leaving := w.leaving[target.Name]
	return shelfshelf.LoadReport{Target: target.Name, At: w.clock.Now(), Leaving: leaving}, nil
}

// CacheEvents returns none.
func (t *nodeTargets) CacheEvents(context.Context, shelfshelf.Target, uint64) ([]shelfshelf.CacheEvent, error) {
	return nil, nil
}
