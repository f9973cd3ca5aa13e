package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/shelfshelf/shelfshelf/program"
)

// bundleLogCommand lists the accepted bundles.
type bundleLogCommand struct {
	ctlSettings
}

var bundleLogEntry = program.Command{
	Path:  []string{"bundle", "log"},
	Short: "list the accepted bundles, the latest last",
	Long:  "Lists every accepted revision with its time, operator, name and digest; a rollback names the revision it repeats.",
	New:   func() program.Runner { return &bundleLogCommand{} },
}

// Run lists the bundles.
func (c *bundleLogCommand) Run(env *program.Environment, _ []string) error {
	store, _, err := c.store()
	if err != nil {
		return err
	}
	entries, err := store.Log(env.Context)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "revision\tat\tby\tname\tdigest\trollback of")
	for _, entry := range entries {
		of := "-"
		if entry.RollbackOf > 0 {
			of = fmt.Sprint(entry.RollbackOf)
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.12s\t%s\n", entry.Head.Revision, entry.At.Format(time.RFC3339), entry.By, entry.Name, entry.Head.Digest, of)
	}
	return table.Flush()
}
