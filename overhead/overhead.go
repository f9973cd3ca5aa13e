package overhead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/demo"
	"github.com/shelfshelf/shelfshelf/engine"
	"github.com/shelfshelf/shelfshelf/transport"
	"github.com/shelfshelf/shelfshelf/usage"
)

const (
	tokens       = 10
	maxMicros    = int64(time.Minute / time.Microsecond)
	precision    = 3
	connections  = 2048
	warmRequests = 50
	quickSteps   = 0.02
	routeName    = "dispute-letter"
	modelName    = "assistant-7b"
	customer     = "hydro-north"
)

// Way is one way to the engine.
type Way struct {
	Name string
	// First and Gap are times in microseconds, to the first token and between
	// tokens.
	First *hdrhistogram.Histogram
	Gap   *hdrhistogram.Histogram
	// Failed counts requests without a whole answer.
	Failed int

	address func(serial int) string
	body    string
	mu      sync.Mutex
}

// Overhead is one measurement.
type Overhead struct {
	Clock shelfshelf.Clock
	// Rate is requests a second on each way.
	Rate   float64
	Length time.Duration
	Ways   []*Way
	// Processor is seconds of processor time a request, of everything in this
	// process, and Allocations what a request allocates, in objects.
	Processor   float64
	Allocations float64

	client *http.Client
}

// Do measures.
func (o *Overhead) Do(ctx context.Context) error {
	o.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	one, err := o.start(ctx, 1)
	if err != nil {
		return err
	}
	defer one.Close()
	three, err := o.start(ctx, 3)
	if err != nil {
		return err
	}
	defer three.Close()
	// The direct way has an engine of its own, so that all engines are loaded alike.
	alone, err := o.start(ctx, 1)
	if err != nil {
		return err
	}
	defer alone.Close()
	direct := engineAddress(alone)
	o.Ways = []*Way{
		newWay("direct", modelName, func(int) string { return direct }),
		newWay("one instance", routeName, func(int) string { return one.Members[0].Address }),
		newWay("three instances", routeName, func(serial int) string { return three.Members[serial%len(three.Members)].Address }),
	}
	for serial := range warmRequests {
		for _, way := range o.Ways {
			way.send(ctx, o, serial, false)
		}
	}
	o.drive(ctx)
	return nil
}

func newWay(name, model string, address func(int) string) *Way {
	return &Way{
		Name:    name,
		First:   hdrhistogram.New(1, maxMicros, precision),
		Gap:     hdrhistogram.New(1, maxMicros, precision),
		address: address,
		body:    fmt.Sprintf(`{"model":%q,"prompt":"dear rider","max_tokens":%d,"stream":true}`, model, tokens),
	}
}

// start starts a deployment with one engine.
func (o *Overhead) start(ctx context.Context, instances int) (*demo.Cluster, error) {
	cluster, err := demo.NewCluster(o.Clock, log.New(io.Discard), "prairie", 1, 1)
	if err != nil {
		return nil, err
	}
	if _, err := cluster.Roll(ctx, "overhead"); err != nil {
		return nil, err
	}
	for index := range instances {
		if _, err := cluster.StartMember(shelfshelf.InstanceID(fmt.Sprintf("entry-%d", index+1)), "place"); err != nil {
			return nil, err
		}
	}
	// Short steps, since a first token waits for the step under way to end.
	for _, engine := range cluster.Engines {
		engine.SetSlowdown(quickSteps)
	}
	return cluster, cluster.WaitReady(ctx)
}

func engineAddress(cluster *demo.Cluster) string {
	for _, target := range cluster.Members[0].Watcher.Current().Bundle.Targets {
		if target.Kind == shelfshelf.KindEngine {
			return target.Address
		}
	}
	return ""
}

// drive sends on all ways in turn.
func (o *Overhead) drive(ctx context.Context) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := usage.ProcessorSeconds()
	var sending sync.WaitGroup
	start := o.Clock.Now()
	serial := 0
	for ; ctx.Err() == nil; serial++ {
		due := time.Duration(float64(serial) / (o.Rate * float64(len(o.Ways))) * float64(time.Second))
		if due >= o.Length {
			break
		}
		if wait := due - o.Clock.Now().Sub(start); wait > 0 {
			<-o.Clock.After(wait)
		}
		sending.Add(1)
		go o.runSend(ctx, serial, &sending)
	}
	sending.Wait()
	runtime.ReadMemStats(&after)
	o.Processor = (usage.ProcessorSeconds() - used) / float64(max(serial, 1))
	o.Allocations = float64(after.Mallocs-before.Mallocs) / float64(max(serial, 1))
}

func (o *Overhead) runSend(ctx context.Context, serial int, sending *sync.WaitGroup) {
	defer sending.Done()
	o.Ways[serial%len(o.Ways)].send(ctx, o, serial/len(o.Ways), true)
}

// send sends one request and times its stream.
func (w *Way) send(ctx context.Context, o *Overhead, serial int, count bool) {
	first, gaps, err := w.stream(ctx, o, serial)
	if !count {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.Failed++
		return
	}
	_ = w.First.RecordValue(first.Microseconds())
	for _, gap := range gaps {
		_ = w.Gap.RecordValue(max(gap.Microseconds(), 1))
	}
}

func (w *Way) stream(ctx context.Context, o *Overhead, serial int) (first time.Duration, gaps []time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.address(serial)+"/v1/completions", strings.NewReader(w.body))
	if err != nil {
		return 0, nil, eris.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+demo.TokenOf(customer))
	request.Header.Set(transport.HeaderRequestID, fmt.Sprintf("%s-%d", w.Name[:1], serial))
	began := o.Clock.Now()
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, eris.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	reader := engine.NewEventReader(response.Body)
	last := began
	for {
		event, err := reader.Next()
		if err != nil {
			return 0, nil, eris.Wrap(err, "stream")
		}
		now := o.Clock.Now()
		if string(event.Data) == engine.FinalData {
			return first, gaps, nil
		}
		if first == 0 {
			first = now.Sub(began)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
}

// Print writes the figures and what each way adds to the direct one.
func (o *Overhead) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "way\trequests\tfailed\tfirst token p50\tp99\tadded p50\tadded p99\ttoken gap p50\tp99\tadded p50\tadded p99\t")
	direct := o.Ways[0]
	for _, way := range o.Ways {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t", way.Name, way.First.TotalCount(), way.Failed)
		printQuantiles(table, way.First, direct.First)
		printQuantiles(table, way.Gap, direct.Gap)
		_, _ = fmt.Fprintln(table)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(out, "a request of any way, callers and stand-ins included: %.0f us of processor, %.0f allocations\n", o.Processor*1e6, o.Allocations)
}

func printQuantiles(out io.Writer, of, base *hdrhistogram.Histogram) {
	p50, p99 := of.ValueAtQuantile(50), of.ValueAtQuantile(99)
	_, _ = fmt.Fprintf(out, "%d us\t%d us\t%d us\t%d us\t", p50, p99, p50-base.ValueAtQuantile(50), p99-base.ValueAtQuantile(99))
}
