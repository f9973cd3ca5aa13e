package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/program"
)

// operatorOption names who rolls, for the log.
type operatorOption struct {
	By string `long:"by" value-name:"NAME" description:"who rolls, for the log; the USER of the environment if left out"`
}

func (o *operatorOption) name() string {
	if o.By != "" {
		return o.By
	}
	return os.Getenv("USER")
}

// bundleRollCommand puts a signed bundle in force.
type bundleRollCommand struct {
	oneFile
	ctlSettings
	operatorOption
}

var bundleRollEntry = program.Command{
	Path:  []string{"bundle", "roll"},
	Short: "put a signed bundle in force as the next revision",
	Long: "Rolls a signed bundle. If another operator's roll came in between, nothing is changed and the exit code is 4. " +
		"A lost answer of the store is read back; if it stays unknown whether the roll took effect, the exit code is 1 and " +
		"`shelfctl bundle log` tells later.",
	New: func() program.Runner { return &bundleRollCommand{} },
}

// Run rolls the bundle.
func (c *bundleRollCommand) Run(env *program.Environment, _ []string) error {
	content, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	signed, err := bundle.DecodeSigned(content)
	if err != nil {
		return program.WithCode(program.ExitInput, eris.Wrapf(err, "%s is not signed: see shelfctl bundle sign --help", c.Args.File))
	}
	store, _, err := c.store()
	if err != nil {
		return err
	}
	entry, err := store.Roll(env.Context, signed, c.name())
	return rolled(env, entry, err)
}

// rolled reports what came of a roll.
func rolled(env *program.Environment, entry bundle.Entry, err error) error {
	switch {
	case err == nil:
	case errors.Is(err, bundle.ErrRaced), errors.Is(err, bundle.ErrSignature):
		return program.WithCode(program.ExitRefused, eris.Wrap(err, "not rolled"))
	case errors.Is(err, bundle.ErrUncertain):
		return program.WithCode(program.ExitFailed, err)
	default:
		return eris.Wrap(err, "not rolled")
	}
	_, _ = fmt.Fprintf(env.Out, "revision %d is accepted: %q, digest %s\n", entry.Head.Revision, entry.Name, entry.Head.Digest)
	return nil
}

// bundleRollbackCommand rolls an earlier revision's content again.
type bundleRollbackCommand struct {
	ctlSettings
	operatorOption

	To uint64 `long:"to" required:"true" value-name:"REVISION" description:"the revision whose content to roll again"`
}

var bundleRollbackEntry = program.Command{
	Path:  []string{"bundle", "rollback"},
	Short: "roll the content of an earlier revision again, as a new revision",
	Long: "Rolls back: the content of an earlier revision becomes the next revision. It must still be signed by enough of " +
		"the approvers of today; after a change of approvers, sign it anew and use roll.",
	New: func() program.Runner { return &bundleRollbackCommand{} },
}

// Run rolls back.
func (c *bundleRollbackCommand) Run(env *program.Environment, _ []string) error {
	store, _, err := c.store()
	if err != nil {
		return err
	}
	entry, err := store.Rollback(env.Context, shelfshelf.Revision(c.To), c.name())
	return rolled(env, entry, err)
}
