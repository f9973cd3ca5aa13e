package load

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/prompt"
)

// Item is one request of a workload.
type Item struct {
	// At is when it is sent, from the start of the run.
	At       time.Duration
	Customer shelfshelf.CustomerName
	Route    shelfshelf.RouteName
	// Segments are the parts of the prompt; empty for a plain service.
	Segments     []Segment
	OutputTokens int
}

// Segment is a stretch of text; segments with the same seed have the same text.
type Segment struct {
	Seed   uint64
	Tokens int
}

// Options say how much of a workload to make.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Load scales the rate; 1 is what the engines can serve at declared speed
	// without any prompt held.
	Load float64
	// Burst adds the workload's bursts.
	Burst bool
}

const (
	// sampleCount is how many requests the mean cost is estimated from.
	sampleCount = 4000
	// fullBatchStretch is how much longer a step takes with a full batch.
	fullBatchStretch = 2
)

// PromptTokens returns the length of the prompt in tokens.
func (i *Item) PromptTokens() int {
	total := 0
	for _, segment := range i.Segments {
		total += segment.Tokens
	}
	return total
}

// Blocks returns the hashes of the prompt's full blocks, as engines would have
// them, without making the text.
func (i *Item) Blocks() []shelfshelf.BlockHash {
	total := i.PromptTokens()
	blocks := make([]shelfshelf.BlockHash, 0, total/shelfshelf.BlockTokens)
	chained := shelfshelf.BlockHash(0)
	var content [24]byte
	segment, start := 0, 0
	for at := 0; at+shelfshelf.BlockTokens <= total; at += shelfshelf.BlockTokens {
		for at >= start+i.Segments[segment].Tokens {
			start += i.Segments[segment].Tokens
			segment++
		}
		// A block that begins in one segment and ends in another differs by both.
		next := uint64(0)
		if end := start + i.Segments[segment].Tokens; at+shelfshelf.BlockTokens > end && segment+1 < len(i.Segments) {
			next = i.Segments[segment+1].Seed
		}
		binary.LittleEndian.PutUint64(content[0:], i.Segments[segment].Seed)
		binary.LittleEndian.PutUint64(content[8:], uint64(at-start))
		binary.LittleEndian.PutUint64(content[16:], next)
		chained = prompt.Chain(chained, xxhash.Sum64(content[:]))
		blocks = append(blocks, chained)
	}
	return blocks
}

// Text returns the prompt as text of about the right number of tokens.
func (i *Item) Text() string {
	const letters = "abcdefghijklmnop"
	var text strings.Builder
	text.Grow(i.PromptTokens() * prompt.BytesPerToken)
	for _, segment := range i.Segments {
		random := rand.New(rand.NewPCG(segment.Seed, 0))
		for range segment.Tokens {
			bits := random.Uint32()
			for b := range prompt.BytesPerToken - 1 {
				text.WriteByte(letters[bits>>(4*b)&0xf])
			}
			text.WriteByte(' ')
		}
	}
	return text.String()
}

// generator draws requests.
type generator struct {
	workload *Workload
	random   *rand.Rand
	zipf     map[shelfshelf.RouteName]*rand.Zipf
	serial   uint64
}

func newGenerator(workload *Workload, seed uint64) *generator {
	g := &generator{
		workload: workload,
		random:   rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		zipf:     make(map[shelfshelf.RouteName]*rand.Zipf),
		serial:   seed << 32,
	}
	for _, route := range workload.Routes {
		if route.Documents > 0 {
			g.zipf[route.Name] = rand.NewZipf(g.random, workload.Zipf, 1, uint64(route.Documents-1))
		}
	}
	return g
}

// Generate makes the requests of a run, in the order of time, for the targets
// of a bundle.
func Generate(workload *Workload, bundle *shelfshelf.Bundle, options Options) []Item {
	g := newGenerator(workload, options.Seed)
	rate := options.Load * CompletionCapacity(workload, bundle)
	var items []Item
	g.arrivals(rate, options, func(at time.Duration) {
		items = append(items, g.completion(at))
	})
	for _, route := range workload.Routes {
		if route.RequestsPerSecond <= 0 {
			continue
		}
		g.arrivals(route.RequestsPerSecond*options.Load, options, func(at time.Duration) {
			items = append(items, Item{At: at, Customer: g.customer(), Route: route.Name, OutputTokens: 1})
		})
	}
	slices.SortStableFunc(items, func(a, b Item) int { return int(a.At - b.At) })
	return items
}

// arrivals draws the instants of a Poisson process whose rate follows the daily
// shape and the bursts.
func (g *generator) arrivals(rate float64, options Options, take func(time.Duration)) {
	at := time.Duration(0)
	for {
		now := rate * g.shape(at, options)
		at += time.Duration(g.random.ExpFloat64() / now * float64(time.Second))
		if at >= options.Length {
			return
		}
		take(at)
	}
}

func (g *generator) shape(at time.Duration, options Options) float64 {
	factor := 1.0
	if daily := g.workload.Daily; len(daily) > 0 {
		step := int(float64(at) / float64(options.Length) * float64(len(daily)))
		factor = daily[min(step, len(daily)-1)]
	}
	burst := g.workload.Burst
	if options.Burst && burst.Every > 0 && at%burst.Every >= burst.Every/2 && at%burst.Every < burst.Every/2+burst.Length {
		factor *= burst.Factor
	}
	return factor
}

func (g *generator) completion(at time.Duration) Item {
	route := g.route()
	item := Item{At: at, Customer: g.customer(), Route: route.Name}
	item.Segments = append(item.Segments, Segment{Seed: xxhash.Sum64String(string(route.Name)), Tokens: route.Instructions})
	if zipf := g.zipf[route.Name]; zipf != nil {
		item.Segments = append(item.Segments, g.document(route, zipf.Uint64()))
	}
	g.serial++
	item.Segments = append(item.Segments, Segment{Seed: g.serial, Tokens: max(1, route.Tail.at(g.random.NormFloat64()))})
	item.OutputTokens = max(1, route.Output.at(g.random.NormFloat64()))
	return item
}

// document returns a file; its length belongs to the file, not to the reading.
func (g *generator) document(route RouteMix, number uint64) Segment {
	seed := xxhash.Sum64String(string(route.Name)+"/document") + number
	own := rand.New(rand.NewPCG(seed, number))
	return Segment{Seed: seed, Tokens: route.Document.at(own.NormFloat64())}
}

func (g *generator) route() RouteMix {
	pick := g.random.Float64()
	var last RouteMix
	for _, route := range g.workload.Routes {
		if route.Share <= 0 {
			continue
		}
		last = route
		pick -= route.Share
		if pick < 0 {
			break
		}
	}
	return last
}

func (g *generator) customer() shelfshelf.CustomerName {
	pick := g.random.Float64()
	for _, customer := range g.workload.Customers {
		pick -= customer.Share
		if pick < 0 {
			return customer.Name
		}
	}
	return g.workload.Customers[len(g.workload.Customers)-1].Name
}

// CompletionCapacity estimates how many of the workload's completions a second
// the engines can serve at declared speed without any prompt held.
func CompletionCapacity(workload *Workload, bundle *shelfshelf.Bundle) float64 {
	g := newGenerator(workload, 1)
	prompts, outputs := 0.0, 0.0
	for range sampleCount {
		item := g.completion(0)
		prompts += float64(item.PromptTokens()) / sampleCount
		outputs += float64(item.OutputTokens) / sampleCount
	}
	capacity := 0.0
	for _, target := range bundle.Targets {
		if target.Kind != shelfshelf.KindEngine || target.Leaving {
			continue
		}
		seconds := prompts/target.PrefillRate +
			outputs*target.StepTime.Seconds()*fullBatchStretch/float64(target.Slots)
		capacity += 1 / seconds
	}
	return capacity
}
