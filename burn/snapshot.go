package burn

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/entry"
)

// Snapshot is what one instance's counters showed at an instant.
type Snapshot struct {
	At       time.Time
	Instance string
	// Requests holds the counts of ended requests by what they were.
	Requests map[Labels]float64
	// Objectives holds the share of requests to be answered in time, by route.
	Objectives map[string]float64
	// Prefill holds prompt tokens by route and use.
	Prefill map[PrefillLabels]float64
}

// Labels say what an ended request was.
type Labels struct {
	Customer string
	Route    string
	Tier     string
	Result   string
	Reason   string
	Target   string
}

// PrefillLabels say which prompt tokens were counted.
type PrefillLabels struct {
	Route string
	Kind  string
}

const scrapeTimeout = 3 * time.Second

// Scrape reads the counters of the instance at an admin address.
func Scrape(admin string, now time.Time) (*Snapshot, error) {
	response, err := (&http.Client{Timeout: scrapeTimeout}).Get(admin + "/metrics")
	if err != nil {
		return nil, eris.Wrap(err, "scrape")
	}
	defer func() { _ = response.Body.Close() }()
	snapshot, err := ParseMetrics(response.Body)
	if err != nil {
		return nil, err
	}
	snapshot.At, snapshot.Instance = now, admin
	return snapshot, nil
}

var (
	linePattern  = regexp.MustCompile(`^([a-z_]+)\{(.*)\} ([^ ]+)$`)
	labelPattern = regexp.MustCompile(`([a-z_]+)="((?:[^"\\]|\\.)*)"`)
)

// ParseMetrics reads the counters that matter from an exposition in text form.
func ParseMetrics(text io.Reader) (*Snapshot, error) {
	snapshot := &Snapshot{
		Requests:   make(map[Labels]float64),
		Objectives: make(map[string]float64),
		Prefill:    make(map[PrefillLabels]float64),
	}
	scanner := bufio.NewScanner(text)
	for scanner.Scan() {
		parts := linePattern.FindStringSubmatch(scanner.Text())
		if parts == nil || !strings.HasPrefix(parts[1], "shelfshelf_") {
			continue
		}
		value, err := strconv.ParseFloat(parts[3], 64)
		if err != nil {
			return nil, eris.Errorf("metrics: %q has no number", scanner.Text())
		}
		snapshot.take(parts[1], labelsOf(parts[2]), value)
	}
	return snapshot, eris.Wrap(scanner.Err(), "read metrics")
}

func labelsOf(text string) map[string]string {
	labels := make(map[string]string)
	for _, found := range labelPattern.FindAllStringSubmatch(text, -1) {
		value, err := strconv.Unquote(`"` + found[2] + `"`)
		if err != nil {
			value = found[2]
		}
		labels[found[1]] = value
	}
	return labels
}

func (s *Snapshot) take(metric string, labels map[string]string, value float64) {
	switch metric {
	case entry.MetricRequests:
		s.Requests[Labels{
			Customer: labels["customer"],
			Route:    labels["route"],
			Tier:     labels["tier"],
			Result:   labels["result"],
			Reason:   labels["reason"],
			Target:   labels["target"],
		}] = value
	case entry.MetricObjective:
		s.Objectives[labels["route"]] = value
	case entry.MetricPrefill:
		s.Prefill[PrefillLabels{Route: labels["route"], Kind: labels["kind"]}] = value
	}
}

type (
	wireSnapshot struct {
		At         time.Time          `json:"at"`
		Instance   string             `json:"instance"`
		Requests   []wireCount        `json:"requests"`
		Objectives map[string]float64 `json:"objectives"`
		Prefill    []wirePrefill      `json:"prefill"`
	}
	wireCount struct {
		Customer string  `json:"customer"`
		Route    string  `json:"route"`
		Tier     string  `json:"tier"`
		Result   string  `json:"result"`
		Reason   string  `json:"reason,omitempty"`
		Target   string  `json:"target,omitempty"`
		Count    float64 `json:"count"`
	}
	wirePrefill struct {
		Route  string  `json:"route"`
		Kind   string  `json:"kind"`
		Tokens float64 `json:"tokens"`
	}
)

// Write appends a snapshot to a series, one JSON object a line.
func (s *Snapshot) Write(out io.Writer) error {
	wire := wireSnapshot{At: s.At, Instance: s.Instance, Objectives: s.Objectives}
	for labels, count := range s.Requests {
		wire.Requests = append(wire.Requests, wireCount{
			Customer: labels.Customer,
			Route:    labels.Route,
			Tier:     labels.Tier,
			Result:   labels.Result,
			Reason:   labels.Reason,
			Target:   labels.Target,
			Count:    count,
		})
	}
	for labels, tokens := range s.Prefill {
		wire.Prefill = append(wire.Prefill, wirePrefill{Route: labels.Route, Kind: labels.Kind, Tokens: tokens})
	}
	return eris.Wrap(json.NewEncoder(out).Encode(wire), "write series")
}

// ReadSeries reads a series of snapshots; the error names the line.
func ReadSeries(in io.Reader) ([]*Snapshot, error) {
	var series []*Snapshot
	decoder := json.NewDecoder(in)
	for line := 1; ; line++ {
		var wire wireSnapshot
		err := decoder.Decode(&wire)
		if eris.Is(err, io.EOF) {
			return series, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "series: snapshot %d", line)
		}
		series = append(series, wire.domain())
	}
}

func (w *wireSnapshot) domain() *Snapshot {
	snapshot := &Snapshot{
		At:         w.At,
		Instance:   w.Instance,
		Requests:   make(map[Labels]float64, len(w.Requests)),
		Objectives: w.Objectives,
		Prefill:    make(map[PrefillLabels]float64, len(w.Prefill)),
	}
	for _, count := range w.Requests {
		snapshot.Requests[Labels{
			Customer: count.Customer,
			Route:    count.Route,
			Tier:     count.Tier,
			Result:   count.Result,
			Reason:   count.Reason,
			Target:   count.Target,
		}] = count.Count
	}
	for _, prefill := range w.Prefill {
		snapshot.Prefill[PrefillLabels{Route: prefill.Route, Kind: prefill.Kind}] = prefill.Tokens
	}
	return snapshot
}
