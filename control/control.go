package control

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/demo"
	"github.com/shelfshelf/shelfshelf/usage"
)

const (
	settleFor  = 2 * time.Second
	askFor     = 100 * time.Millisecond
	basePools  = 2
	markCount  = 16
	askWorkers = 64
	engines    = 9
	services   = 2
	kilobyte   = 1024
)

// Point is one arrangement to measure.
type Point struct {
	// Members is the number of instances, Pools that of pools in the bundle, and
	// Rate that of asks a second over all instances.
	Members int
	Pools   int
	Rate    float64
}

// Sample is what an arrangement cost, an instance and a second.
type Sample struct {
	Point

	SentBytes   float64
	SentPackets float64
	// Processor is seconds of processor time; it holds the stand-ins' share too.
	Processor float64
	// Resident is the memory an instance adds, in bytes.
	Resident float64
}

// Control measures a list of arrangements, each on its own.
type Control struct {
	Clock    shelfshelf.Clock
	Points   []Point
	Length   time.Duration
	Progress io.Writer
}

// Do measures every arrangement.
func (c *Control) Do(ctx context.Context) ([]Sample, error) {
	var samples []Sample
	for _, point := range c.Points {
		sample, err := c.measure(ctx, point)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample)
		if c.Progress != nil {
			_, _ = fmt.Fprintf(c.Progress, "%d members, %d pools, %g asks/s measured\n", point.Members, point.Pools, point.Rate)
		}
	}
	return samples, nil
}

func (c *Control) measure(ctx context.Context, point Point) (Sample, error) {
	cluster, err := demo.NewCluster(c.Clock, log.New(io.Discard), "prairie", engines, services)
	if err != nil {
		return Sample{}, err
	}
	defer cluster.Close()
	addPools(cluster, point.Pools)
	if _, err := cluster.Roll(ctx, "control"); err != nil {
		return Sample{}, err
	}
	before := usage.ResidentBytes()
	for index := range point.Members {
		id := shelfshelf.InstanceID(fmt.Sprintf("entry-%d", index+1))
		if _, err := cluster.StartMember(id, "place"); err != nil {
			return Sample{}, err
		}
	}
	if err := cluster.WaitReady(ctx); err != nil {
		return Sample{}, err
	}
	<-c.Clock.After(settleFor)
	asking, stop := context.WithCancel(ctx)
	asker := &asker{clock: c.Clock, cluster: cluster, rate: point.Rate}
	var running sync.WaitGroup
	running.Add(1)
	go asker.run(asking, &running)
	sent, packets, used, began := traffic(cluster, true), traffic(cluster, false), usage.ProcessorSeconds(), c.Clock.Now()
	<-c.Clock.After(c.Length)
	elapsed := c.Clock.Now().Sub(began).Seconds() * float64(point.Members)
	sample := Sample{
		Point:       point,
		SentBytes:   (traffic(cluster, true) - sent) / elapsed,
		SentPackets: (traffic(cluster, false) - packets) / elapsed,
		Processor:   (usage.ProcessorSeconds() - used) / elapsed,
		Resident:    (usage.ResidentBytes() - before) / float64(point.Members),
	}
	stop()
	running.Wait()
	return sample, nil
}

// addPools fills the bundle up with pools that have no targets.
func addPools(cluster *demo.Cluster, count int) {
	for index := basePools; index < count; index++ {
		cluster.Append("pools", map[string]any{
			"name":  fmt.Sprintf("pool-%d", index),
			"kind":  "engine",
			"model": fmt.Sprintf("model-%d", index),
		})
	}
}

func traffic(cluster *demo.Cluster, bytes bool) float64 {
	total := uint64(0)
	for _, member := range cluster.Members {
		carried := member.Node.Traffic()
		if bytes {
			total += carried.BytesSent
		} else {
			total += carried.PacketsSent
		}
	}
	return float64(total)
}

// asker asks for decisions as entries would, without any target.
type asker struct {
	clock   shelfshelf.Clock
	cluster *demo.Cluster
	rate    float64
}

func (a *asker) run(ctx context.Context, running *sync.WaitGroup) {
	defer running.Done()
	if a.rate <= 0 {
		return
	}
	slots := make(chan struct{}, askWorkers)
	start := a.clock.Now()
	for serial := 0; ctx.Err() == nil; serial++ {
		due := time.Duration(float64(serial) / a.rate * float64(time.Second))
		if wait := due - a.clock.Now().Sub(start); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.clock.After(wait):
			}
		}
		slots <- struct{}{}
		running.Add(1)
		go a.runAsk(ctx, serial, slots, running)
	}
}

// runAsk asks once, as one entry after the other, with a prompt of about a
// thousand tokens.
func (a *asker) runAsk(ctx context.Context, serial int, slots chan struct{}, running *sync.WaitGroup) {
	defer running.Done()
	defer func() { <-slots }()
	member := a.cluster.Members[serial%len(a.cluster.Members)]
	now := a.clock.Now()
	ask := shelfshelf.Ask{
		ID:           shelfshelf.RequestID(fmt.Sprintf("%032x", serial)),
		Customer:     "transit-regina",
		Route:        "refund-tag",
		Pool:         "assistant",
		Tier:         2,
		Weight:       1,
		PromptTokens: 1024,
		OutputTokens: 1,
		Arrived:      now,
		Deadline:     now.Add(time.Minute),
	}
	for mark := range markCount {
		ask.Prefix = append(ask.Prefix, shelfshelf.PromptPrefix{Tokens: 64 * (mark + 1), Hash: shelfshelf.BlockHash(serial%50*1000+mark) << 40})
	}
	ticket, err := member.Router.Ask(ctx, ask)
	if err != nil {
		return
	}
	ticket.FirstToken()
	ticket.Done(shelfshelf.Completion{ID: ask.ID, Target: ticket.Decision().Target, Outcome: shelfshelf.OutcomeDone})
}

// ErrPoints means that there are too few arrangements to fit a slope.
var ErrPoints = eris.New("a slope needs at least two values")
