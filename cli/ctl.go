package cli

import (
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/platform"
	"github.com/shelfshelf/shelfshelf/program"
	"github.com/shelfshelf/shelfshelf/settings"
)

// Shelfctl is the operators' program.
var Shelfctl = program.Program{
	Name:  "shelfctl",
	Short: "shelfctl checks, signs and rolls bundles, makes keys, and shows what instances do",
	Groups: map[string]string{
		"key":    "make keys",
		"bundle": "check, sign, roll and compare bundles",
	},
	Commands: []program.Command{
		keyNewEntry,
		bundleCheckEntry,
		bundleSignEntry,
		bundleRollEntry,
		bundleRollbackEntry,
		bundleLogEntry,
		bundleDiffEntry,
		statusEntry,
		exampleEntry,
		referenceEntry,
	},
}

// ctlSettings is the flag of commands that reach the platform.
type ctlSettings struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON settings of shelfctl; docs/SETTINGS.md lists the fields"`
}

// store opens the bundles of the platform in the settings.
func (c *ctlSettings) store() (*bundle.Store, *settings.Ctl, error) {
	read, err := settings.ReadCtl(c.Settings)
	if err != nil {
		return nil, nil, program.WithCode(program.ExitInput, err)
	}
	client := platform.NewStore(read.Platform.Address)
	if read.Platform.Timeout > 0 {
		client.Timeout = read.Platform.Timeout
	}
	return &bundle.Store{
		Clock:   clockwork.NewRealClock(),
		Table:   client,
		Objects: client,
		Trust:   read.Trust,
		Nonce:   keys.NewNonce,
	}, read, nil
}

// readFile reads a file that the command line names.
func readFile(name string) ([]byte, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, program.WithCode(program.ExitInput, eris.Wrap(err, "read file"))
	}
	return content, nil
}

// oneFile is the argument of commands that take one file.
type oneFile struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"the bundle"`
	} `positional-args:"yes" required:"yes"`
}
