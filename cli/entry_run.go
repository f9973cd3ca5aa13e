package cli

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/elapsed"
	"github.com/shelfshelf/shelfshelf/instance"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/platform"
	"github.com/shelfshelf/shelfshelf/program"
	"github.com/shelfshelf/shelfshelf/settings"
	"github.com/shelfshelf/shelfshelf/transport"
)

// lonePeer is where an instance without peers has its unused socket.
const lonePeer = "127.0.0.1:0"

// loneCertificate is how long the unused certificate of a lone instance lives.
const loneCertificate = time.Hour

// entryCommand runs an entry instance. It is the program's only command, so its
// flags stand at the top.
type entryCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON settings; docs/SETTINGS.md lists the fields"`
}

// Run runs the instance until a signal.
func (c *entryCommand) Run(env *program.Environment, _ []string) error {
	read, err := settings.ReadEntry(c.Settings)
	if err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	clock, err := elapsed.New()
	if err != nil {
		return err
	}
	client := platform.NewStore(read.Platform.Address)
	client.Clock = clock
	if read.Platform.Timeout > 0 {
		client.Timeout = read.Platform.Timeout
	}
	i := &instance.Instance{
		Core: instance.Core{
			Clock:       clock,
			Log:         env.Log,
			ID:          read.Instance,
			DataCentre:  read.DataCentre,
			PeerAddress: read.PeerAddress,
			Static:      read.Peers,
			Table:       client,
			Objects:     client,
			List:        client,
			Trust:       read.Trust,
			Alone:       read.PeerListen == "",
			MaxBody:     read.MaxBody,
			Reach:       transport.Reach,
		},
		DrainDelay: read.DrainDelay,
		StopLimit:  read.StopLimit,
		MaxConns:   read.MaxConnections,
	}
	if err := listen(i, read); err != nil {
		return err
	}
	reloader := &keys.Reloader{Clock: clock, Log: env.Log.WithPrefix("keys"), Files: read.PeerFiles}
	if err := certificates(i, reloader); err != nil {
		return err
	}
	err = runWith(env.Context, i, reloader)
	if errors.Is(err, instance.ErrCutOff) {
		return program.WithCode(program.ExitRefused, err)
	}
	return err
}

func listen(i *instance.Instance, read *settings.Entry) error {
	var err error
	if i.Callers, err = net.Listen("tcp", read.Listen); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if i.Admin, err = net.Listen("tcp", read.Admin); err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	peerListen := read.PeerListen
	if i.Alone {
		peerListen = lonePeer
	}
	if i.PeerConn, err = net.ListenPacket("udp", peerListen); err != nil {
		return eris.Wrap(err, "listen for instances")
	}
	return nil
}

// certificates sets up the peer certificate; a lone instance makes one that no
// other will trust.
func certificates(i *instance.Instance, reloader *keys.Reloader) error {
	if !i.Alone {
		if err := reloader.Load(); err != nil {
			return program.WithCode(program.ExitInput, err)
		}
		i.TLS = reloader.TLS
		return nil
	}
	authority, err := keys.NewAuthority(i.Clock.Now())
	if err != nil {
		return err
	}
	root, err := authority.Pair()
	if err != nil {
		return err
	}
	pair, err := authority.Issue(string(i.ID), i.Clock.Now(), loneCertificate)
	if err != nil {
		return err
	}
	config, err := keys.TLSConfig(pair, root.Certificate)
	i.TLS = func() *tls.Config { return config }
	return err
}

// runWith runs the instance beside the reloader of its certificate.
func runWith(ctx context.Context, i *instance.Instance, reloader *keys.Reloader) error {
	var group run.Group
	serving, stop := context.WithCancel(ctx)
	group.Add(
		func() error { return i.Run(serving) },
		func(error) { stop() },
	)
	if !i.Alone {
		reloading, cancel := context.WithCancel(context.Background())
		group.Add(
			func() error { return reloader.Run(reloading) },
			func(error) { cancel() },
		)
	}
	return group.Run()
}

// Shelfentry is the entry instance.
var Shelfentry = program.Program{
	Name:  "shelfentry",
	Short: "shelfentry is an entry instance: it takes callers' requests, decides on its pools and dispatches",
	Single: &program.Command{
		Short: "run an entry instance",
		Long: "Runs an entry instance until SIGTERM, which drains it: it leaves the balancer and its pools, takes " +
			"requests for a little longer and waits for those in flight. A second SIGTERM ends it at once. " +
			"Exit codes: 0 stopped with nothing cut off, 2 wrong command line, 3 wrong settings, 4 the stop limit cut requests off.",
		New: func() program.Runner { return &entryCommand{} },
	},
}
