package cli

import (
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/program"
	"github.com/shelfshelf/shelfshelf/waitreport"
)

// waitsCommand summarizes the request log of instances.
type waitsCommand struct {
	By   string `long:"by" default:"route,customer" description:"groupings, with commas: route, tier, customer, second, tier-second"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"the log of all instances, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

var waitsEntry = program.Command{
	Path:  []string{"waits"},
	Short: "summarize a request log: who was served in time, late or refused, and after what wait",
	Long: "Reads the log lines of ended requests of all instances and counts callers by outcome. An attempt with the fingerprint " +
		"of one that was refused shortly before counts as its retry: in time means within the goal from the first attempt.",
	New: func() program.Runner { return &waitsCommand{} },
}

// Run prints a table for each grouping.
func (c *waitsCommand) Run(env *program.Environment, _ []string) error {
	var source io.Reader = os.Stdin
	if c.Args.File != "-" {
		file, err := os.Open(c.Args.File)
		if err != nil {
			return program.WithCode(program.ExitInput, eris.Wrap(err, "open the log"))
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	attempts, err := waitreport.Read(source)
	if err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	for name := range strings.SplitSeq(c.By, ",") {
		by, known := waitreport.Groupings[name]
		if !known {
			return program.WithCode(program.ExitUsage, eris.Errorf("--by: unknown grouping %q", name))
		}
		if err := waitreport.WriteTable(env.Out, waitreport.Summarize(attempts, by)); err != nil {
			return err
		}
	}
	return nil
}
