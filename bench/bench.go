package bench

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/deploy"
	"github.com/shelfshelf/shelfshelf/load"
	"github.com/shelfshelf/shelfshelf/schedule"
)

// DefaultLength is how long requests arrive in a run.
const DefaultLength = 60 * time.Second

// Bench is a set of runs of one deployment.
type Bench struct {
	Deployment string
	Seed       uint64
	Length     time.Duration
	Loads      []float64
	// Faults are lists such as slow+burst.
	Faults   []string
	Policies []schedule.PolicyEntry
	Tuning   schedule.Tuning
	// Progress is told of each run that has ended.
	Progress io.Writer
}

// Cell is the results of one load and fault, by policy in the order asked.
type Cell struct {
	Load    float64
	Fault   string
	Results []*Result
}

// Outcome is what a bench came to.
type Outcome struct {
	Deployment string
	Seed       uint64
	Length     time.Duration
	Tiers      []shelfshelf.TierSpec
	Cells      []Cell
}

// job is one run and where its result goes.
type job struct {
	run    *Run
	result **Result
	label  string
}

// Do runs everything; runs go side by side, and none depends on another.
func (b *Bench) Do() (*Outcome, error) {
	raw, err := deploy.Bundle(b.Deployment)
	if err != nil {
		return nil, err
	}
	parsed, err := bundle.Parse(b.Deployment, raw)
	if err != nil {
		return nil, err
	}
	content, err := deploy.Workload(b.Deployment)
	if err != nil {
		return nil, err
	}
	workload, err := load.Parse(content)
	if err != nil {
		return nil, err
	}
	outcome := &Outcome{Deployment: b.Deployment, Seed: b.Seed, Length: b.Length, Tiers: parsed.Tiers}
	var jobs []job
	for _, rate := range b.Loads {
		for _, fault := range b.Faults {
			faults, err := ParseFaults(fault)
			if err != nil {
				return nil, err
			}
			items := load.Generate(workload, parsed, load.Options{Seed: b.Seed, Length: b.Length, Load: rate, Burst: faults.Burst})
			cell := Cell{Load: rate, Fault: fault, Results: make([]*Result, len(b.Policies))}
			for index, policy := range b.Policies {
				jobs = append(jobs, job{
					run: &Run{
						Bundle: parsed,
						Items:  items,
						Length: b.Length,
						Seed:   b.Seed,
						Faults: faults,
						Policy: policy,
						Tuning: b.Tuning,
					},
					result: &cell.Results[index],
					label:  fmt.Sprintf("%s load %g fault %s policy %s", b.Deployment, rate, fault, policy.Name),
				})
			}
			outcome.Cells = append(outcome.Cells, cell)
		}
	}
	b.runAll(jobs)
	return outcome, nil
}

// runAll runs the jobs on every processor.
func (b *Bench) runAll(jobs []job) {
	workers := &workers{jobs: make(chan job), total: len(jobs), progress: b.Progress}
	var running sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		running.Add(1)
		go workers.run(&running)
	}
	for _, next := range jobs {
		workers.jobs <- next
	}
	close(workers.jobs)
	running.Wait()
}

// workers run jobs side by side.
type workers struct {
	jobs     chan job
	total    int
	progress io.Writer
	mu       sync.Mutex
	done     int
}

func (w *workers) run(running *sync.WaitGroup) {
	defer running.Done()
	for next := range w.jobs {
		*next.result = next.run.Do()
		w.mu.Lock()
		w.done++
		if w.progress != nil {
			_, _ = fmt.Fprintf(w.progress, "%d/%d %s\n", w.done, w.total, next.label)
		}
		w.mu.Unlock()
	}
}
