package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shelfshelf/shelfshelf"
)

var now = time.Unix(1000, 0)

func TestAskSurvivesTheWire(t *testing.T) {
	ask := shelfshelf.Ask{
		ID:           "r",
		Customer:     "c",
		Route:        "route",
		Pool:         "pool",
		Tier:         2,
		Weight:       1.5,
		PromptTokens: 1000,
		OutputTokens: 20,
		Prefix:       []shelfshelf.PromptPrefix{{Tokens: 64, Hash: 1 << 63}},
		Arrived:      now.Add(-time.Second),
		Deadline:     now.Add(time.Minute),
		Avoid:        []shelfshelf.TargetName{"t"},
	}
	var frame bytes.Buffer
	if err := writeFrame(&frame, kindAsk, askToWire(ask, "", now)); err != nil {
		t.Fatal(err)
	}
	kind, payload, err := readFrame(&frame)
	if err != nil || kind != kindAsk {
		t.Fatal(kind, err)
	}
	var wire wireAsk
	if err := decode(payload, &wire); err != nil {
		t.Fatal(err)
	}
	// The other instance's clock may be off by any amount: spans are what counts.
	skewed := now.Add(time.Hour)
	got := wire.domain(skewed)
	if waited := skewed.Sub(got.Arrived); waited != time.Second {
		t.Errorf("waited %v", waited)
	}
	got.Arrived, got.Deadline = ask.Arrived, got.Deadline.Add(-time.Hour)
	if diff := cmp.Diff(ask, got); diff != "" {
		t.Error(diff)
	}
}

func TestHeartbeatSurvivesTheWire(t *testing.T) {
	t.Parallel()
	beat := shelfshelf.Heartbeat{
		From:        shelfshelf.Instance{ID: "a", DataCentre: "z", Address: "10.0.0.1:1", State: shelfshelf.InstanceLive},
		Incarnation: 3,
		StoreSeen:   true,
		StoreAge:    time.Second + time.Microsecond,
		Leaving:     []shelfshelf.TargetName{"t"},
		Crashes: []shelfshelf.Crash{{
			ID: 1<<64 - 1, Age: time.Minute,
			Requests: []shelfshelf.InFlightRequest{{Request: 1<<64 - 1}, {Request: 7, Cleared: true}},
		}},
	}
	var frame bytes.Buffer
	if err := writeFrame(&frame, kindHeartbeat, heartbeatToWire(beat)); err != nil {
		t.Fatal(err)
	}
	_, payload, err := readFrame(&frame)
	if err != nil {
		t.Fatal(err)
	}
	var wire wireHeartbeat
	if err := decode(payload, &wire); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(beat, wire.domain()); diff != "" {
		t.Error(diff)
	}
}

func FuzzFrame(f *testing.F) {
	var frame bytes.Buffer
	if err := writeFrame(&frame, kindHeartbeat, heartbeatToWire(shelfshelf.Heartbeat{Incarnation: 1})); err != nil {
		f.Fatal(err)
	}
	f.Add(frame.Bytes())
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		_, payload, err := readFrame(bytes.NewReader(content))
		if err != nil {
			return
		}
		var ask wireAsk
		if decode(payload, &ask) == nil {
			if got := ask.domain(now); got.PromptTokens < 0 || got.OutputTokens < 0 {
				t.Errorf("negative lengths: %+v", got)
			}
		}
		var beat wireHeartbeat
		if decode(payload, &beat) == nil {
			_ = beat.domain()
		}
		var decision wireDecision
		if decode(payload, &decision) == nil {
			_ = decision.domain(now)
		}
	})
}
