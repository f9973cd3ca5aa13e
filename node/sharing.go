package node

import (
	"fmt"
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/slots"
)

// measuredCustomers is how many customers the metrics of an owner name: those that have used most.
const measuredCustomers = 16

// buildSharing makes queues fair between customers and kinds where engines share queues.
func (n *Node) buildSharing() {
	n.sharing = &slots.Sharing{Clock: n.Clock, Log: n.Log.WithPrefix("places"), CustomerName: n.customerName}
	if n.Settings.EnginesPerQueue <= 1 {
		return
	}
	n.balancer.FairQueues = true
	n.places.Table.NewRules = func(pool shelfshelf.PoolName) slots.QueueRules {
		return n.sharing.AddRules(pool, n.admission.Extend(slots.QueueRules{}))
	}
	for tier := range shelfshelf.Tier(metricTiers) {
		n.metrics.Gauge(fmt.Sprintf(`shelf_shared_queue_held_back_total{tier="%d"}`, tier), func() float64 {
			return float64(n.sharing.HeldBack()[tier])
		})
	}
	n.metrics.Gauge("shelf_customers_counted", func() float64 { return float64(n.sharing.Customers()) })
	n.metrics.Collect(n.writeCustomerUse)
}

// writeCustomerUse writes what customers have got of the shared queues that this instance owns.
func (n *Node) writeCustomerUse(w io.Writer) {
	for _, use := range n.sharing.LargestUses(measuredCustomers) {
		customer := strconv.FormatUint(uint64(use.Customer), 10)
		if name, known := n.customerName(use.Customer); known {
			customer = string(name)
		}
		labels := fmt.Sprintf("{pool=%q,customer=%q}", use.Pool, customer)
		metrics.WriteGaugeFloat64(w, "shelf_customer_slot_seconds"+labels, use.SlotTime.Seconds())
		metrics.WriteGaugeFloat64(w, "shelf_customer_served_share"+labels, use.ServedShare)
	}
}

// customerName returns the name of a customer by its key; false if the configuration doesn't list it.
func (n *Node) customerName(key uint32) (shelfshelf.CustomerName, bool) {
	index, _ := n.catalog.Index()
	if index == nil {
		return "", false
	}
	for i := range index.Bundle.Customers {
		if name := index.Bundle.Customers[i].Name; shelfshelf.KeyOfCustomer(name) == shelfshelf.CustomerKey(key) {
			return name, true
		}
	}
	return "", false
}
