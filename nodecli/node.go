package nodecli

import (
	"context"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"github.com/shelfshelf/shelfshelf/elapsed"
	"github.com/shelfshelf/shelfshelf/logsink"
	"github.com/shelfshelf/shelfshelf/node"
	"github.com/shelfshelf/shelfshelf/platform"
	"github.com/shelfshelf/shelfshelf/program"
	"github.com/shelfshelf/shelfshelf/settings"
)

// memoryShare is the part of the process's memory that the collector aims at; the
// rest is for stacks, buffers in the kernel and what it can't free in time.
const memoryShare = 0.6

// nodeCommand runs an instance. It is the program's only command, so its flags
// stand at the top.
type nodeCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON settings; docs/SETTINGS.md lists the fields"`
}

// Run runs the instance until a signal.
func (c *nodeCommand) Run(env *program.Environment, _ []string) error {
	reload := &reloader{file: c.Settings}
	reload.listen()
	read, err := settings.ReadNode(c.Settings)
	if err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	if read.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(read.MemoryMB) * (1 << 20)))
	}
	sink := &logsink.Sink{Out: env.Out}
	writing := &sinkLoop{sink: sink, fallback: env.Log}
	go writing.run()
	defer sink.Close()
	logger := log.NewWithOptions(sink, log.Options{
		Level:           env.Log.GetLevel(),
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      "15:04:05.000",
	})
	clock, err := elapsed.New()
	if err != nil {
		return err
	}
	store := platform.NewStore(read.Store)
	store.Clock = clock
	instance := &node.Node{
		Clock:    clock,
		Log:      logger,
		Settings: read,
		Platform: node.Platform{
			Catalog:   store,
			Directory: store,
			Codec:     platform.Headers{},
			Uses:      store,
			Crashes:   store,
			Rollouts:  store,
			Versions:  store,
			ReadyPath: platform.ReadyPath,
		},
	}
	if err := instance.Open(); err != nil {
		return err
	}
	store.Called = instance.StoreCalled
	store.Exceeded = instance.StoreExceeded
	reload.clock, reload.log, reload.apply = clock, logger, instance.Reload
	return runWith(env.Context, instance, reload)
}

// runWith runs the instance beside the reloader of its settings.
func runWith(ctx context.Context, instance *node.Node, reloader *reloader) error {
	var group run.Group
	serving, stop := context.WithCancel(ctx)
	group.Add(func() error { return instance.Run(serving) }, func(error) { stop() })
	reloading, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return reloader.loop(reloading) }, func(error) { cancel() })
	return group.Run()
}

// sinkLoop writes the log out.
type sinkLoop struct {
	sink     *logsink.Sink
	fallback *log.Logger
}

func (l *sinkLoop) run() {
	if err := l.sink.Run(); err != nil {
		l.fallback.Error("The log can't be written.", "error", err)
	}
}

// Shelfnode is the instance for the users' platform.
var Shelfnode = program.Program{
	Name:  "shelfnode",
	Short: "shelfnode is an instance on the users' platform: it takes callers' requests and sends each to a target",
	Single: &program.Command{
		Short: "run an instance",
		Long: "Runs an instance until SIGTERM, which drains it: it leaves the balancer, takes requests for a little " +
			"longer and waits for those in flight. Settings and targets come from the platform. Logs go to standard " +
			"output, one JSON object a line. Exit codes: 0 stopped, 1 failed, 2 wrong command line, 3 wrong settings.",
		New: func() program.Runner { return &nodeCommand{} },
	},
}
