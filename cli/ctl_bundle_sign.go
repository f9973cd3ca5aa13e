package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/program"
)

// bundleSignCommand adds a signature to a bundle.
type bundleSignCommand struct {
	oneFile

	Key  string `long:"key" required:"true" value-name:"FILE" description:"the approver's private key, NAME.key"`
	Name string `long:"name" value-name:"NAME" description:"the approver's name; the key file's if left out"`
	Out  string `long:"out" value-name:"FILE" description:"where to write; FILE.signed, or over an already signed FILE, if left out"`
}

var bundleSignEntry = program.Command{
	Path:  []string{"bundle", "sign"},
	Short: "sign a bundle as one of its approvers",
	Long: "Signs a bundle. Given one that is signed already, it adds a signature, so that several approvers can sign in " +
		"turn. A bundle with mistakes is not signed.",
	New: func() program.Runner { return &bundleSignCommand{} },
}

// Run signs the bundle.
func (c *bundleSignCommand) Run(env *program.Environment, _ []string) error {
	content, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	out := c.Args.File
	signed, err := bundle.DecodeSigned(content)
	if err != nil {
		signed = &bundle.Signed{Content: content}
		out += ".signed"
	}
	if c.Out != "" {
		out = c.Out
	}
	if _, err := bundle.Parse(c.Args.File, signed.Content); err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	encoded, err := readFile(c.Key)
	if err != nil {
		return err
	}
	key, err := keys.DecodePrivate(encoded)
	if err != nil {
		return program.WithCode(program.ExitInput, eris.Wrapf(err, "%s", c.Key))
	}
	name := c.Name
	if name == "" {
		name = strings.TrimSuffix(filepath.Base(c.Key), ".key")
	}
	signed.Sign(name, key)
	whole, err := signed.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(out, whole, publicMode); err != nil {
		return eris.Wrap(err, "write signed bundle")
	}
	_, _ = fmt.Fprintf(env.Out, "%s: signed by %s, %d signature(s)\n", out, name, len(signed.Signatures))
	return nil
}
