package cli

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/demo"
	"github.com/shelfshelf/shelfshelf/program"
)

// demoCommand runs a whole small deployment and checks the promises.
type demoCommand struct {
	Deployment string        `long:"deployment" choice:"prairie" choice:"brittany" default:"prairie" description:"whose bundle and workload to use"`
	Length     time.Duration `long:"length" default:"10s" description:"how long to send requests"`
	Load       float64       `long:"load" default:"0.8" description:"rate, as a share of what the engines can serve at declared speed with no prompt held"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the workload"`
	Verbose    bool          `long:"verbose" description:"log what the instances do"`
}

var demoEntry = program.Command{
	Path:  []string{"demo"},
	Short: "run a whole small deployment over loopback and check what must always hold",
	Long: "Starts the platform stand-in, 3 entry instances, 9 unlike engines and 2 plain services on loopback, " +
		"rolls a signed bundle, sends the deployment's mix of requests, rolls a second bundle, drains a target and " +
		"stops an instance on the way. Prints a table by tier and each promise with a figure; exits 0 only if all hold.",
	New: func() program.Runner { return &demoCommand{} },
}

// Run runs the demo.
func (c *demoCommand) Run(env *program.Environment, _ []string) error {
	logger := env.Log
	if !c.Verbose {
		logger = log.New(io.Discard)
	}
	run := &demo.Demo{
		Clock:      clockwork.NewRealClock(),
		Log:        logger,
		Out:        env.Out,
		Deployment: c.Deployment,
		Length:     c.Length,
		Load:       c.Load,
		Seed:       c.Seed,
	}
	return program.WithCode(program.ExitRefused, run.Run(env.Context))
}
