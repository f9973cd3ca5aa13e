package instance

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shelfshelf/shelfshelf"
)

// Status is what an instance tells operators of itself.
type Status struct {
	Instance   string            `json:"instance"`
	DataCentre string            `json:"dataCentre"`
	Ready      bool              `json:"ready"`
	Why        string            `json:"why,omitempty"`
	Revision   uint64            `json:"revision"`
	Digest     string            `json:"digest"`
	Live       []string          `json:"live"`
	Owners     map[string]string `json:"owners"`
	Leaving    []string          `json:"leavingTargets"`
	InFlight   int               `json:"inFlight"`
}

// adminHandler serves metrics, health and status.
func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		i.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := i.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.Status())
	})
	return mux
}

// Status returns the instance's present state.
func (i *Instance) Status() Status {
	head := i.Watcher.Head()
	status := Status{
		Instance:   string(i.ID),
		DataCentre: string(i.DataCentre),
		Ready:      true,
		Revision:   uint64(head.Revision),
		Digest:     head.Digest,
		Owners:     make(map[string]string),
		Leaving:    []string{},
		InFlight:   i.Server.InFlight(),
	}
	if err := i.ready(); err != nil {
		status.Ready = false
		status.Why = err.Error()
	}
	for _, member := range i.Members.Live() {
		status.Live = append(status.Live, string(member.ID))
	}
	for pool, owner := range i.Router.Owners() {
		status.Owners[string(pool)] = string(owner)
	}
	for _, target := range i.Members.LeavingTargets() {
		status.Leaving = append(status.Leaving, string(target))
	}
	return status
}

// publish makes the gauges that read the parts.
func (i *Instance) publish() {
	gauge := func(name string, read func() float64) {
		i.metrics.NewGauge(name, read)
	}
	gauge("shelfshelf_bundle_revision", func() float64 { return float64(i.Watcher.Head().Revision) })
	gauge("shelfshelf_bundle_head_reads_total", func() float64 { return float64(i.Watcher.Reads()) })
	gauge("shelfshelf_ready", func() float64 {
		if i.Ready() {
			return 1
		}
		return 0
	})
	gauge("shelfshelf_in_flight", func() float64 { return float64(i.Server.InFlight()) })
	gauge("shelfshelf_live_instances", func() float64 { return float64(len(i.Members.Live())) })
	gauge("shelfshelf_asks_total", func() float64 { return float64(i.Router.Stats().Asked) })
	gauge("shelfshelf_asks_decided_alone_total", func() float64 { return float64(i.Router.Stats().Alone) })
	gauge("shelfshelf_asks_moved_total", func() float64 { return float64(i.Router.Stats().Moved) })
	gauge("shelfshelf_claim_transactions_total", func() float64 { transactions, _ := i.Claims.Writes(); return float64(transactions) })
	gauge("shelfshelf_claim_rows_total", func() float64 { _, rows := i.Claims.Writes(); return float64(rows) })
	gauge("shelfshelf_peer_sent_bytes_total", func() float64 { return float64(i.Node.Traffic().BytesSent) })
	gauge("shelfshelf_peer_received_bytes_total", func() float64 { return float64(i.Node.Traffic().BytesReceived) })
}

// publishPool makes the gauges of one pool.
func (i *Instance) publishPool(pool shelfshelf.Pool, tiers []shelfshelf.TierSpec) {
	for rank, tier := range tiers {
		name := fmt.Sprintf("shelfshelf_waiting{pool=%q,tier=%q}", pool.Name, tier.Name)
		i.metrics.GetOrCreateGauge(name, func() float64 {
			shard, ok := i.Router.ShardOf(pool.Name)
			if !ok {
				return 0
			}
			return float64(shard.Waiting()[shelfshelf.Tier(rank)])
		})
	}
}
