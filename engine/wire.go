package engine

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// The paths of an engine's HTTP interface beside the completions, and the end of
// its streams.
const (
	// PathStreams is where a stream is resumed (GET) and cancelled (DELETE).
	PathStreams = "/v1/streams/"
	// PathLoad is where an engine reports its load.
	PathLoad = "/load"
	// PathCacheEvents is where an engine publishes cache events.
	PathCacheEvents = "/cache-events"
	// PathOrders is where an engine takes orders.
	PathOrders = "/orders"
	// HeaderPriority tells the engine in which order to work, 0 first.
	HeaderPriority = "X-Priority"
	// FinalData ends a whole stream.
	FinalData = "[DONE]"
)

// WireLoad is a load report as JSON; durations are in microseconds.
type WireLoad struct {
	Running              int   `json:"running"`
	Waiting              int   `json:"waiting"`
	PendingPrefillTokens int   `json:"pendingPrefillTokens"`
	StepMicros           int64 `json:"stepMicros"`
	ExpectedStepMicros   int64 `json:"expectedStepMicros"`
	AgeMicros            int64 `json:"ageMicros"`
	Leaving              bool  `json:"leaving"`
}

// WireCacheEvent is a cache event as JSON.
type WireCacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored"`
	Removed  []uint64 `json:"removed"`
}

// LoadToWire maps a report taken at now.
func LoadToWire(report shelfshelf.LoadReport, now time.Time) WireLoad {
	return WireLoad{
		Running:              report.Running,
		Waiting:              report.Waiting,
		PendingPrefillTokens: report.PendingPrefillTokens,
		StepMicros:           report.StepTime.Microseconds(),
		ExpectedStepMicros:   report.ExpectedStepTime.Microseconds(),
		AgeMicros:            now.Sub(report.At).Microseconds(),
		Leaving:              report.Leaving,
	}
}

func (w WireLoad) domain(target shelfshelf.TargetName, now time.Time) shelfshelf.LoadReport {
	return shelfshelf.LoadReport{
		Target:               target,
		At:                   now.Add(-time.Duration(w.AgeMicros) * time.Microsecond),
		Running:              w.Running,
		Waiting:              w.Waiting,
		PendingPrefillTokens: w.PendingPrefillTokens,
		StepTime:             time.Duration(w.StepMicros) * time.Microsecond,
		ExpectedStepTime:     time.Duration(w.ExpectedStepMicros) * time.Microsecond,
		Leaving:              w.Leaving,
	}
}

// CacheEventToWire maps an event.
func CacheEventToWire(event shelfshelf.CacheEvent) WireCacheEvent {
	return WireCacheEvent{Sequence: event.Sequence, Stored: hashesToWire(event.Stored), Removed: hashesToWire(event.Removed)}
}

func (w WireCacheEvent) domain(target shelfshelf.TargetName) shelfshelf.CacheEvent {
	return shelfshelf.CacheEvent{
		Target:   target,
		Sequence: w.Sequence,
		Stored:   hashesFromWire(w.Stored),
		Removed:  hashesFromWire(w.Removed),
	}
}

func hashesToWire(hashes []shelfshelf.BlockHash) []uint64 {
	wire := make([]uint64, len(hashes))
	for i, hash := range hashes {
		wire[i] = uint64(hash)
	}
	return wire
}

func hashesFromWire(wire []uint64) []shelfshelf.BlockHash {
	hashes := make([]shelfshelf.BlockHash, len(wire))
	for i, hash := range wire {
		hashes[i] = shelfshelf.BlockHash(hash)
	}
	return hashes
}

// wireChunk is what the client needs of one chunk of an answer.
type wireChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *WireUsage `json:"usage"`
}

// WireUsage is an answer's count of tokens, in OpenAI's form.
type WireUsage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	TotalTokens         int `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}
