package keys

import (
	"context"
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// reloadPeriod is how often the certificate files are looked at.
const reloadPeriod = 5 * time.Second

// Files names an instance's certificate files.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Reloader keeps the TLS configuration of the files, so that a renewed
// certificate takes effect without a restart. A broken file changes nothing.
type Reloader struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	Files Files

	config   atomic.Pointer[tls.Config]
	modified time.Time
}

// Load reads the files.
func (r *Reloader) Load() error {
	var pair Pair
	var err error
	if pair.Certificate, err = os.ReadFile(r.Files.Certificate); err != nil {
		return eris.Wrap(err, "read certificate")
	}
	if pair.Key, err = os.ReadFile(r.Files.Key); err != nil {
		return eris.Wrap(err, "read certificate key")
	}
	authority, err := os.ReadFile(r.Files.Authority)
	if err != nil {
		return eris.Wrap(err, "read authority")
	}
	config, err := TLSConfig(pair, authority)
	if err != nil {
		return err
	}
	r.modified = r.newest()
	r.config.Store(config)
	return nil
}

// TLS returns the latest configuration.
func (r *Reloader) TLS() *tls.Config {
	return r.config.Load()
}

// Run reloads the files when they change, until the context ends.
func (r *Reloader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.Clock.After(reloadPeriod):
		}
		if r.newest().Equal(r.modified) {
			continue
		}
		if err := r.Load(); err != nil {
			r.Log.Error("The certificate can't be reloaded, the old one stays.", "error", err)
			continue
		}
		r.Log.Info("The certificate was reloaded.")
	}
}

// newest returns when a file was last changed.
func (r *Reloader) newest() time.Time {
	var newest time.Time
	for _, name := range []string{r.Files.Certificate, r.Files.Key, r.Files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}
