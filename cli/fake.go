package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/program"
)

// Shelffake runs the stand-ins.
var Shelffake = program.Program{
	Name:     "shelffake",
	Short:    "shelffake runs a stand-in for the platform, a model engine or a plain service",
	Commands: []program.Command{fakePlatformEntry, fakeEngineEntry, fakeServiceEntry},
}

const (
	fakeHeaderTimeout = 5 * time.Second
	pathControl       = "/control"
	pathRuns          = "/control/runs"
)

// listenOption is where a stand-in listens.
type listenOption struct {
	Listen string `long:"listen" required:"true" value-name:"IP:PORT" description:"where to listen"`
}

// serve serves until the environment's context ends, beside a loop.
func (o *listenOption) serve(env *program.Environment, handler http.Handler, loop func(context.Context) error) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	env.Log.Info("The stand-in has started.", "listen", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: fakeHeaderTimeout}
	ctx, cancel := context.WithCancel(env.Context)
	var group run.Group
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) { _ = server.Close() },
	)
	group.Add(
		func() error { return loop(ctx) },
		func(error) { cancel() },
	)
	if err := group.Run(); err != nil && env.Context.Err() == nil {
		return eris.Wrap(err, "serve")
	}
	return nil
}

func waitEnd(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// withControl adds what tests and people use to make a stand-in misbehave: POST
// /control takes the settings as JSON, GET /control/runs tells what was run.
func withControl[T any](handler http.Handler, set func(T), runs func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathControl, func(w http.ResponseWriter, r *http.Request) {
		var wire T
		if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(wire)
	})
	mux.HandleFunc("GET "+pathRuns, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(runs())
	})
	mux.Handle("/", handler)
	return mux
}

// fakePlatformCommand runs the platform.
type fakePlatformCommand struct {
	listenOption
}

var fakePlatformEntry = program.Command{
	Path:  []string{"platform"},
	Short: "run the platform's store of rows and objects in memory",
	Long: `POST /control {"down":true}, {"delay":"200ms"} or {"loseAnswers":3} makes it misbehave; {} mends it. ` +
		`{"rows":[{"table":"instances","key":"entry-1","value":{"dataCentre":"Regina","address":"127.0.0.1:7443"}}]} ` +
		`writes rows.`,
	New: func() program.Runner { return &fakePlatformCommand{} },
}

type wirePlatformControl struct {
	Down        bool   `json:"down"`
	Delay       string `json:"delay"`
	LoseAnswers int    `json:"loseAnswers"`
	Rows        []struct {
		Table string          `json:"table"`
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	} `json:"rows"`
}

// Run runs the platform.
func (c *fakePlatformCommand) Run(env *program.Environment, _ []string) error {
	stand := fake.NewPlatform(clockwork.NewRealClock())
	set := func(wire wirePlatformControl) {
		delay, err := time.ParseDuration(wire.Delay)
		if err != nil {
			delay = 0
		}
		stand.SetFaults(fake.PlatformFaults{Busy: wire.Down, Delay: delay, LoseWrites: wire.LoseAnswers})
		for _, row := range wire.Rows {
			stand.Put(row.Table, row.Key, row.Value)
		}
	}
	runs := func() any { return map[string]int{"calls": stand.Calls()} }
	return c.serve(env, withControl(stand.Handler(), set, runs), waitEnd)
}

// fakeEngineCommand runs an engine.
type fakeEngineCommand struct {
	listenOption

	Name    string        `long:"name" default:"engine" description:"the target's name"`
	Slots   int           `long:"slots" default:"16" description:"most sequences at once"`
	Step    time.Duration `long:"step" default:"10ms" description:"duration of a decoding step"`
	Prefill float64       `long:"prefill" default:"7000" description:"prompt tokens read a second"`
	Cache   int           `long:"cache" default:"64000" description:"size of the prefix cache, in tokens"`
}

var fakeEngineEntry = program.Command{
	Path:  []string{"engine"},
	Short: "run a model engine: continuous batching, a prefix cache, load reports",
	Long:  `POST /control {"slowdown":4}, {"leaving":true} or {"cutStreams":2} makes it misbehave.`,
	New:   func() program.Runner { return &fakeEngineCommand{} },
}

type wireTargetControl struct {
	Slowdown    float64 `json:"slowdown"`
	Leaving     bool    `json:"leaving"`
	CutStreams  int     `json:"cutStreams"`
	DropAnswers int     `json:"dropAnswers"`
}

// Run runs the engine.
func (c *fakeEngineCommand) Run(env *program.Environment, _ []string) error {
	engine := fake.NewEngine(clockwork.NewRealClock(), shelfshelf.Target{
		Name:        shelfshelf.TargetName(c.Name),
		Kind:        shelfshelf.KindEngine,
		Slots:       c.Slots,
		StepTime:    c.Step,
		PrefillRate: c.Prefill,
		CacheTokens: c.Cache,
	})
	set := func(wire wireTargetControl) {
		engine.SetSlowdown(max(wire.Slowdown, 1))
		engine.SetLeaving(wire.Leaving)
		engine.CutStreams(wire.CutStreams)
	}
	return c.serve(env, withControl(engine.Handler(), set, func() any { return engine.Runs() }), engine.Run)
}

// fakeServiceCommand runs a plain service.
type fakeServiceCommand struct {
	listenOption

	Name  string        `long:"name" default:"service" description:"the target's name"`
	Slots int           `long:"slots" default:"8" description:"most calls at once"`
	Step  time.Duration `long:"step" default:"20ms" description:"duration of a call"`
}

var fakeServiceEntry = program.Command{
	Path:  []string{"service"},
	Short: "run a plain service that answers any call",
	Long:  `POST /control {"slowdown":4}, {"leaving":true} or {"dropAnswers":2} makes it misbehave.`,
	New:   func() program.Runner { return &fakeServiceCommand{} },
}

// Run runs the service.
func (c *fakeServiceCommand) Run(env *program.Environment, _ []string) error {
	service := fake.NewService(clockwork.NewRealClock(), shelfshelf.Target{
		Name:     shelfshelf.TargetName(c.Name),
		Kind:     shelfshelf.KindService,
		Slots:    c.Slots,
		StepTime: c.Step,
	})
	set := func(wire wireTargetControl) {
		service.SetSlowdown(max(wire.Slowdown, 1))
		service.SetLeaving(wire.Leaving)
		service.DropAnswers(wire.DropAnswers)
	}
	runs := func() any {
		return map[string]any{"requests": service.Runs(), "keys": service.KeyRuns()}
	}
	return c.serve(env, withControl(service.Handler(), set, runs), waitEnd)
}
