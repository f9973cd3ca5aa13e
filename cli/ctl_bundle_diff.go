package cli

import (
	"fmt"
	"strconv"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/program"
)

// bundleDiffCommand compares two bundles.
type bundleDiffCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"JSON settings of shelfctl; needed to name a revision"`
	Args     struct {
		From string `positional-arg-name:"FROM" description:"a file or a revision"`
		To   string `positional-arg-name:"TO" description:"a file or a revision"`
	} `positional-args:"yes" required:"yes"`
}

var bundleDiffEntry = program.Command{
	Path:  []string{"bundle", "diff"},
	Short: "show what differs between two bundles, field by field",
	Long: "Compares two bundles, each a file or an accepted revision, by field; items of a list are matched by their name. " +
		"Exit code 0 whether or not they differ.",
	New: func() program.Runner { return &bundleDiffCommand{} },
}

// Run compares the bundles.
func (c *bundleDiffCommand) Run(env *program.Environment, _ []string) error {
	from, err := c.content(env, c.Args.From)
	if err != nil {
		return err
	}
	to, err := c.content(env, c.Args.To)
	if err != nil {
		return err
	}
	changes, err := bundle.Diff(from, to)
	if err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(env.Out, "no difference")
	}
	for _, change := range changes {
		_, _ = fmt.Fprintln(env.Out, change)
	}
	return nil
}

// content reads a bundle's content from a file or from the platform.
func (c *bundleDiffCommand) content(env *program.Environment, name string) ([]byte, error) {
	if revision, err := strconv.ParseUint(name, 10, 64); err == nil {
		store, _, err := (&ctlSettings{Settings: c.Settings}).store()
		if err != nil {
			return nil, err
		}
		entry, err := store.Entry(env.Context, shelfshelf.Revision(revision))
		if err != nil {
			return nil, err
		}
		signed, _, err := store.Load(env.Context, entry.Head.Digest)
		if err != nil {
			return nil, err
		}
		return signed.Content, nil
	}
	content, err := readFile(name)
	if err != nil {
		return nil, err
	}
	if signed, err := bundle.DecodeSigned(content); err == nil {
		return signed.Content, nil
	}
	return content, nil
}
