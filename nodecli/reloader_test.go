package nodecli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/settings"
)

const example = `{"instance":"n","dataCentre":"z","callers":"127.0.0.1:1","ready":"127.0.0.1:2",
"peer":"127.0.0.1:3","store":"127.0.0.1:4","keyLease":"LEASE"}`

func write(t *testing.T, file, lease string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(strings.Replace(example, "LEASE", lease, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

func awaitLease(t *testing.T, applied <-chan time.Duration, want time.Duration) {
	t.Helper()
	select {
	case got := <-applied:
		if got != want {
			t.Errorf("%v is in force, not %v", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("%v is not in force", want)
	}
}

// SIGHUP reads the settings again instead of ending the process, a changed file does
// so without a signal, and wrong settings leave those in force as they are.
func TestSettingsAreReloaded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	write(t, file, "5s")
	applied := make(chan time.Duration, 10)
	output := &fake.Log{}
	r := &reloader{
		file: file, clock: clockwork.NewRealClock(), log: log.New(output),
		apply: func(read *settings.Node) { applied <- read.KeyLease },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.loop(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	time.Sleep(200 * time.Millisecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	awaitLease(t, applied, 5*time.Second)
	write(t, file, "7s")
	awaitLease(t, applied, 7*time.Second)
	write(t, file, "soon")
	for end := time.Now().Add(5 * time.Second); !strings.Contains(output.String(), "keyLease"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("wrong settings were not told with their field")
		}
	}
	select {
	case got := <-applied:
		t.Errorf("wrong settings are in force: %v", got)
	default:
	}
}
