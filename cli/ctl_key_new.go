package cli

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/program"
)

const (
	secretMode = 0o600
	publicMode = 0o644
	folderMode = 0o755

	kindApprover  = "approver"
	kindAuthority = "authority"
	kindInstance  = "instance"
	kindToken     = "token"

	authorityName = "authority"
)

// keyNewCommand makes a key.
type keyNewCommand struct {
	Kind string        `long:"kind" required:"true" choice:"approver" choice:"authority" choice:"instance" choice:"token" description:"what the key is for"`
	Name string        `long:"name" value-name:"NAME" description:"the approver's or the instance's name"`
	Out  string        `long:"out" value-name:"DIR" default:"." description:"where to write the files; for an instance, the authority's files are there too"`
	Life time.Duration `long:"life" default:"2160h" description:"how long an instance's certificate is valid"`
}

var keyNewEntry = program.Command{
	Path:  []string{"key", "new"},
	Short: "make an approver's key, an authority, an instance's certificate or a customer's token",
	Long: "Makes a key. An approver's private key goes into DIR/NAME.key and its public key is printed, for the bundle " +
		"and the settings. The authority goes into DIR/authority.pem and .key; an instance's certificate, issued by " +
		"it, into DIR/NAME.pem and .key. A token is printed with its hash; only the hash goes into the bundle.",
	New: func() program.Runner { return &keyNewCommand{} },
}

// Run makes the key.
func (c *keyNewCommand) Run(env *program.Environment, _ []string) error {
	if c.Name == "" && (c.Kind == kindApprover || c.Kind == kindInstance) {
		return program.WithCode(program.ExitUsage, eris.Errorf("--name is needed for --kind %s", c.Kind))
	}
	if err := os.MkdirAll(c.Out, folderMode); err != nil {
		return eris.Wrap(err, "make folder")
	}
	switch c.Kind {
	case kindApprover:
		public, err := c.approver()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(env.Out, public)
	case kindAuthority:
		return c.authority()
	case kindInstance:
		return c.instance()
	case kindToken:
		token, hash := keys.NewToken()
		_, _ = fmt.Fprintf(env.Out, "token %s\nhash  %s\n", token, hash)
	}
	return nil
}

func (c *keyNewCommand) approver() (string, error) {
	public, private, err := keys.NewApprover()
	if err != nil {
		return "", err
	}
	encoded, err := keys.EncodePrivate(private)
	if err != nil {
		return "", err
	}
	return hex.EncodeToString(public), writeNew(filepath.Join(c.Out, c.Name+".key"), encoded, secretMode)
}

func (c *keyNewCommand) authority() error {
	authority, err := keys.NewAuthority(clockwork.NewRealClock().Now())
	if err != nil {
		return err
	}
	pair, err := authority.Pair()
	if err != nil {
		return err
	}
	return c.writePair(authorityName, pair)
}

func (c *keyNewCommand) instance() error {
	var root keys.Pair
	var err error
	if root.Certificate, err = readFile(filepath.Join(c.Out, authorityName+".pem")); err != nil {
		return err
	}
	if root.Key, err = readFile(filepath.Join(c.Out, authorityName+".key")); err != nil {
		return err
	}
	authority, err := keys.ReadAuthority(root)
	if err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	pair, err := authority.Issue(c.Name, clockwork.NewRealClock().Now(), c.Life)
	if err != nil {
		return err
	}
	return c.writePair(c.Name, pair)
}

func (c *keyNewCommand) writePair(name string, pair keys.Pair) error {
	if err := writeNew(filepath.Join(c.Out, name+".pem"), pair.Certificate, publicMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(c.Out, name+".key"), pair.Key, secretMode)
}

// writeNew writes a file that must not exist, so that no key is lost.
func writeNew(name string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "write file")
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write file")
	}
	return eris.Wrap(file.Close(), "write file")
}
