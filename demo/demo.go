package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/deploy"
	"github.com/shelfshelf/shelfshelf/load"
)

const (
	demoEngines   = 9
	demoServices  = 2
	demoInstances = 3
	retryKeyed    = 3
	inForceWithin = 5 * time.Second
	// leavingGrace is after how long a leaving target must get no new work.
	leavingGrace = 3 * time.Second
	maxConns     = 2048
)

// Demo is one run.
type Demo struct {
	Clock      shelfshelf.Clock
	Log        *log.Logger
	Out        io.Writer
	Deployment string
	Length     time.Duration
	Load       float64
	Seed       uint64

	cluster  *Cluster
	callers  *Callers
	report   Report
	actions  []action
	settings *bundle.Accepted
}

// action is something that happens on the way.
type action struct {
	at  float64
	run func(context.Context) error
}

// ErrBroken means that something that must always hold did not.
var ErrBroken = eris.New("a promise was broken")

// Run runs the demo and prints its tables. The error is ErrBroken if a promise
// was broken.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.cluster.Close()
	items, err := d.items()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.Out, "shelfshelf demo: %s, %d instances, %d engines, %d services, %d requests in %v, seed %d\n",
		d.Deployment, demoInstances, demoEngines, demoServices, len(items), d.Length, d.Seed)
	d.actions = []action{
		{at: 0.3, run: d.rollSecond},
		{at: 0.5, run: d.drainTarget},
		{at: 0.7, run: d.stopInstance},
	}
	finished := make(chan error, 1)
	go d.runActions(ctx, finished)
	d.callers.Drive(ctx, items)
	if err := <-finished; err != nil {
		return err
	}
	d.report.collect(d.cluster, d.callers.Records())
	d.report.print(d.Out, d.settings.Bundle)
	if !d.report.holds() {
		return ErrBroken
	}
	return nil
}

func (d *Demo) start(ctx context.Context) error {
	cluster, err := NewCluster(d.Clock, d.Log, d.Deployment, demoEngines, demoServices)
	if err != nil {
		return err
	}
	d.cluster = cluster
	first, err := cluster.Roll(ctx, "operator-1")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.Out, "rolled revision %d, digest %.12s, signed by %s\n", first.Head.Revision, first.Head.Digest, approverName)
	for index := range demoInstances {
		id := shelfshelf.InstanceID(fmt.Sprintf("entry-%d", index+1))
		if _, err := cluster.StartMember(id, shelfshelf.DataCentre(fmt.Sprintf("place-%d", index+1))); err != nil {
			return err
		}
	}
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	d.settings = cluster.Members[0].Watcher.Current()
	routes := make(map[shelfshelf.RouteName]shelfshelf.Route)
	for _, route := range d.settings.Bundle.Routes {
		routes[route.Name] = route
	}
	d.callers = &Callers{
		Clock:      d.Clock,
		HTTP:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConns}},
		Addresses:  d.addresses,
		Routes:     routes,
		RetryKeyed: retryKeyed,
	}
	return nil
}

// addresses are those of the instances that say they are ready.
func (d *Demo) addresses() []string {
	var addresses []string
	for _, member := range d.cluster.Members {
		if member.Ready() {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func (d *Demo) items() ([]load.Item, error) {
	content, err := deploy.Workload(d.Deployment)
	if err != nil {
		return nil, err
	}
	workload, err := load.Parse(content)
	if err != nil {
		return nil, err
	}
	return load.Generate(workload, d.settings.Bundle, load.Options{Seed: d.Seed, Length: d.Length, Load: d.Load}), nil
}

func (d *Demo) runActions(ctx context.Context, finished chan<- error) {
	start := d.Clock.Now()
	for _, next := range d.actions {
		due := time.Duration(next.at * float64(d.Length))
		select {
		case <-ctx.Done():
			finished <- ctx.Err()
			return
		case <-d.Clock.After(due - d.Clock.Now().Sub(start)):
		}
		if err := next.run(ctx); err != nil {
			finished <- err
			return
		}
	}
	finished <- nil
}

// rollSecond rolls another bundle and measures when it is in force everywhere.
func (d *Demo) rollSecond(ctx context.Context) error {
	d.cluster.Set("name", d.Deployment+"-second")
	began := d.Clock.Now()
	second, err := d.cluster.Roll(ctx, "operator-2")
	if err != nil {
		return err
	}
	for d.Clock.Now().Sub(began) < inForceWithin {
		if d.everywhere(second.Head.Revision) {
			d.report.inForce = d.Clock.Now().Sub(began)
			return nil
		}
		<-d.Clock.After(pollPeriod)
	}
	d.report.inForce = -1
	return nil
}

func (d *Demo) everywhere(revision shelfshelf.Revision) bool {
	for _, member := range d.cluster.Running() {
		if member.Watcher.Head().Revision < revision {
			return false
		}
	}
	return true
}

// drainTarget has one engine say in its reports that it is leaving.
func (d *Demo) drainTarget(context.Context) error {
	for _, target := range d.settings.Bundle.Targets {
		if engine := d.cluster.Engines[target.Name]; engine != nil {
			engine.SetLeaving(true)
			d.report.drained = target.Name
			d.report.drainedAt = d.Clock.Now()
			return nil
		}
	}
	return eris.New("no engine to drain")
}

// stopInstance stops one instance as planned, in the middle of its streams.
func (d *Demo) stopInstance(context.Context) error {
	member := d.cluster.Members[1]
	d.report.stoppedInFlight = member.Server.InFlight()
	d.report.stopErr = member.Stop()
	return nil
}
