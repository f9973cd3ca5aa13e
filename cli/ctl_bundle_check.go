package cli

import (
	"fmt"

	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/program"
)

// bundleCheckCommand finds every mistake of a bundle.
type bundleCheckCommand struct {
	oneFile
}

var bundleCheckEntry = program.Command{
	Path:  []string{"bundle", "check"},
	Short: "find every mistake in a bundle, signed or not",
	Long:  "Reads a bundle, as written or signed, and names every mistake with its field and line. Exit code 3 if there is any.",
	New:   func() program.Runner { return &bundleCheckCommand{} },
}

// Run checks the bundle.
func (c *bundleCheckCommand) Run(env *program.Environment, _ []string) error {
	content, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	if signed, err := bundle.DecodeSigned(content); err == nil {
		content = signed.Content
	}
	parsed, err := bundle.Parse(c.Args.File, content)
	if err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	_, _ = fmt.Fprintf(env.Out, "%s: bundle %q is sound: %d tiers, %d pools, %d customers, %d routes, %d targets\n",
		c.Args.File, parsed.Name, len(parsed.Tiers), len(parsed.Pools), len(parsed.Customers), len(parsed.Routes), len(parsed.Targets))
	return nil
}
