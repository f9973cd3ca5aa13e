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
func (c *Core) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		c.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := c.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.Status())
	})
	return mux
}

// Status returns the instance's present state.
func (c *Core) Status() Status {
	head := c.Watcher.Head()
	status := Status{
		Instance:   string(c.ID),
		DataCentre: string(c.DataCentre),
		Ready:      true,
		Revision:   uint64(head.Revision),
		Digest:     head.Digest,
		Owners:     make(map[string]string),
		Leaving:    []string{},
		InFlight:   c.Server.InFlight(),
	}
	if err := c.ready(); err != nil {
		status.Ready = false
		status.Why = err.Error()
	}
	for _, member := range c.Members.Live() {
		status.Live = append(status.Live, string(member.ID))
	}
	for pool, owner := range c.Router.Owners() {
		status.Owners[string(pool)] = string(owner)
	}
	for _, target := range c.Members.LeavingTargets() {
		status.Leaving = append(status.Leaving, string(target))
	}
	return status
}

// publish makes the gauges that read the parts.
func (c *Core) publish() {
	gauge := func(name string, read func() float64) {
		c.metrics.NewGauge(name, read)
	}
	gauge("shelfshelf_bundle_revision", func() float64 { return float64(c.Watcher.Head().Revision) })
	gauge("shelfshelf_bundle_head_reads_total", func() float64 { return float64(c.Watcher.Reads()) })
	gauge("shelfshelf_ready", func() float64 {
		if c.Ready() {
			return 1
		}
		return 0
	})
	gauge("shelfshelf_in_flight", func() float64 { return float64(c.Server.InFlight()) })
	gauge("shelfshelf_live_instances", func() float64 { return float64(len(c.Members.Live())) })
	gauge("shelfshelf_asks_total", func() float64 { return float64(c.Router.Stats().Asked) })
	gauge("shelfshelf_asks_decided_alone_total", func() float64 { return float64(c.Router.Stats().Alone) })
	gauge("shelfshelf_asks_moved_total", func() float64 { return float64(c.Router.Stats().Moved) })
	gauge("shelfshelf_claim_transactions_total", func() float64 { transactions, _ := c.Claims.Writes(); return float64(transactions) })
	gauge("shelfshelf_claim_rows_total", func() float64 { _, rows := c.Claims.Writes(); return float64(rows) })
}

// publishNode makes the gauges of the traffic with other instances.
func (i *Instance) publishNode() {
	i.metrics.NewGauge("shelfshelf_peer_sent_bytes_total", func() float64 { return float64(i.Node.Traffic().BytesSent) })
	i.metrics.NewGauge("shelfshelf_peer_received_bytes_total", func() float64 { return float64(i.Node.Traffic().BytesReceived) })
}

// publishPool makes the gauges of one pool.
func (c *Core) publishPool(pool shelfshelf.Pool, tiers []shelfshelf.TierSpec) {
	for rank, tier := range tiers {
		name := fmt.Sprintf("shelfshelf_waiting{pool=%q,tier=%q}", pool.Name, tier.Name)
		c.metrics.GetOrCreateGauge(name, func() float64 {
			shard, ok := c.Router.ShardOf(pool.Name)
			if !ok {
				return 0
			}
			return float64(shard.Waiting()[shelfshelf.Tier(rank)])
		})
	}
}
