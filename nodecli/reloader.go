package nodecli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/settings"
)

// checkPeriod is how often the settings file is looked at: it may change without a
// signal.
const checkPeriod = time.Second

// reloader applies the settings anew after SIGHUP or when their file has changed.
type reloader struct {
	file  string
	clock shelfshelf.Clock
	log   *log.Logger
	apply func(*settings.Node)

	signals chan os.Signal
	changed time.Time
}

// listen takes SIGHUP from now on; until then it would end the process.
func (r *reloader) listen() {
	r.signals = make(chan os.Signal, 1)
	signal.Notify(r.signals, syscall.SIGHUP)
}

func (r *reloader) loop(ctx context.Context) error {
	if r.signals == nil {
		r.listen()
	}
	defer signal.Stop(r.signals)
	r.changed = r.modified()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.changed = r.modified()
			r.reload("signal")
		case <-r.clock.After(checkPeriod):
			if changed := r.modified(); !changed.Equal(r.changed) {
				r.changed = changed
				r.reload("file")
			}
		}
	}
}

// modified returns when the file was last written; zero if it can't be seen, as
// in the moment in which it is replaced.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		r.log.Warn("The settings file can't be seen.", "file", r.file, "error", err)
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings; wrong ones leave those in force as they are.
func (r *reloader) reload(reason string) {
	read, err := settings.ReadNode(r.file)
	if err != nil {
		r.log.Error("The changed settings are wrong; the old ones stay.", "reason", reason, "error", err)
		return
	}
	r.apply(read)
	r.log.Info("The settings were reloaded.", "reason", reason, "keyLease", read.KeyLease, "retryRatio", read.Retry.Ratio, "retrySlack", read.Retry.Slack)
}
