package cli

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/overhead"
	"github.com/shelfshelf/shelfshelf/program"
)

// overheadCommand measures what an entry adds.
type overheadCommand struct {
	Rate   float64       `long:"rate" default:"70" description:"requests a second on each of the three ways"`
	Length time.Duration `long:"length" default:"10s" description:"how long to send"`
}

var overheadEntry = program.Command{
	Path:  []string{"overhead"},
	Short: "measure what one and three instances add to the time to the first token and between tokens",
	Long: "Sends the same streamed completion straight to a stand-in engine, through one instance and through three, in turn, " +
		"and prints both times and what each way adds.",
	New: func() program.Runner { return &overheadCommand{} },
}

// Run measures.
func (c *overheadCommand) Run(env *program.Environment, _ []string) error {
	run := &overhead.Overhead{Clock: clockwork.NewRealClock(), Rate: c.Rate, Length: c.Length}
	if err := run.Do(env.Context); err != nil {
		return err
	}
	run.Print(env.Out)
	return nil
}
