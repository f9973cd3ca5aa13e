package load

import (
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// Workload says what callers of a deployment send.
type Workload struct {
	// Daily scales the rate over the run, in steps of equal length.
	Daily     []float64
	Burst     Burst
	Customers []CustomerShare
	Routes    []RouteMix
	// Zipf is how unevenly documents are read: the exponent, above 1.
	Zipf float64
}

// Burst is a rise of the rate that comes again and again under the burst fault.
type Burst struct {
	Factor float64
	Every  time.Duration
	Length time.Duration
}

// CustomerShare is a customer's share of the requests.
type CustomerShare struct {
	Name  shelfshelf.CustomerName
	Share float64
}

// RouteMix says how often a route is called and with what.
type RouteMix struct {
	Name shelfshelf.RouteName
	// Share is the route's part of the completions; RequestsPerSecond is the rate
	// of a service route at load 1.
	Share             float64
	RequestsPerSecond float64
	// Instructions is the length of the text that each prompt of the route begins
	// with, in tokens.
	Instructions int
	// Documents is how many different files are read; Document their length.
	Documents int
	Document  Lengths
	// Tail is the length of what only this request has, and Output the answer's.
	Tail   Lengths
	Output Lengths
}

// Lengths is a log-normal distribution of lengths, in tokens.
type Lengths struct {
	Median float64
	Sigma  float64
	Max    float64
}

func (l Lengths) at(normal float64) int {
	if l.Median <= 0 {
		return 0
	}
	length := l.Median * math.Exp(l.Sigma*normal)
	return max(1, int(min(length, l.Max)))
}

type (
	wireWorkload struct {
		Source    string         `json:"source"`
		Daily     []float64      `json:"daily"`
		Burst     wireBurst      `json:"burst"`
		Customers []wireCustomer `json:"customers"`
		Routes    []wireRoute    `json:"routes"`
		Zipf      float64        `json:"zipf"`
	}
	wireBurst struct {
		Factor float64 `json:"factor"`
		Every  string  `json:"every"`
		Length string  `json:"length"`
	}
	wireCustomer struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	}
	wireRoute struct {
		Name              string      `json:"name"`
		Share             float64     `json:"share"`
		RequestsPerSecond float64     `json:"requestsPerSecond"`
		Instructions      int         `json:"instructions"`
		Documents         int         `json:"documents"`
		Document          wireLengths `json:"document"`
		Tail              wireLengths `json:"tail"`
		Output            wireLengths `json:"output"`
	}
	wireLengths struct {
		Median float64 `json:"median"`
		Sigma  float64 `json:"sigma"`
		Max    float64 `json:"max"`
	}
)

// Parse reads a workload.
func Parse(content []byte) (*Workload, error) {
	var wire wireWorkload
	if err := json.Unmarshal(content, &wire); err != nil {
		return nil, eris.Wrap(err, "read workload")
	}
	every, err := time.ParseDuration(wire.Burst.Every)
	if err != nil {
		return nil, eris.Wrap(err, "read workload: burst.every")
	}
	length, err := time.ParseDuration(wire.Burst.Length)
	if err != nil {
		return nil, eris.Wrap(err, "read workload: burst.length")
	}
	workload := &Workload{
		Daily: wire.Daily,
		Burst: Burst{Factor: wire.Burst.Factor, Every: every, Length: length},
		Zipf:  wire.Zipf,
	}
	for _, customer := range wire.Customers {
		workload.Customers = append(workload.Customers, CustomerShare{
			Name:  shelfshelf.CustomerName(customer.Name),
			Share: customer.Share,
		})
	}
	for _, route := range wire.Routes {
		workload.Routes = append(workload.Routes, RouteMix{
			Name:              shelfshelf.RouteName(route.Name),
			Share:             route.Share,
			RequestsPerSecond: route.RequestsPerSecond,
			Instructions:      route.Instructions,
			Documents:         route.Documents,
			Document:          Lengths(route.Document),
			Tail:              Lengths(route.Tail),
			Output:            Lengths(route.Output),
		})
	}
	return workload, nil
}
