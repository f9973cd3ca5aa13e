package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// watchedEnv holds the id of the process that a sampler watches.
	watchedEnv = "SHELFSHELF_SOAK_WATCHED"
	// tickEvery is how often the watch ticks, and longestGap how late a tick may be before the
	// process counts as having stood still.
	tickEvery  = 100 * time.Millisecond
	longestGap = time.Second
	// sampleEvery is how often a process that stands still is sampled.
	sampleEvery = 500 * time.Millisecond
	// stackBytes bounds the stacks that are kept of one gap.
	stackBytes = 1 << 18
)

// own is the watch on this process.
var own = &watch{}

func TestMain(m *testing.M) {
	if watched := os.Getenv(watchedEnv); watched != "" {
		(&sampler{folder: filepath.Join("/proc", watched)}).run()
		return
	}
	own.start()
	code := m.Run()
	own.stop()
	os.Exit(code)
}

// watch tells whether this process, which has the targets, the store and the callers in it,
// stands still, and another process what it waits for meanwhile.
type watch struct {
	command *exec.Cmd
	ticks   *os.File
	samples bytes.Buffer
	ended   chan struct{}

	mu   sync.Mutex
	gaps []string
}

func (w *watch) start() {
	reader, writer, err := os.Pipe()
	if err != nil {
		panic(err)
	}
	w.command = exec.Command(os.Args[0])
	w.command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", watchedEnv, os.Getpid()))
	w.command.Stdin, w.command.Stdout, w.command.Stderr = reader, &lockedWriter{watch: w}, os.Stderr
	if err := w.command.Start(); err != nil {
		panic(err)
	}
	_ = reader.Close()
	w.ticks, w.ended = writer, make(chan struct{})
	go w.loop()
}

// lockedWriter keeps what the sampler prints.
type lockedWriter struct{ watch *watch }

func (l *lockedWriter) Write(content []byte) (int, error) {
	l.watch.mu.Lock()
	defer l.watch.mu.Unlock()
	return l.watch.samples.Write(content)
}

func (w *watch) loop() {
	last := time.Now()
	before := latencies()
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(tickEvery):
		}
		// A sampler that is gone is missed in the report; the soak goes on.
		_, _ = w.ticks.Write([]byte{'.'})
		now := time.Now()
		if gap := now.Sub(last) - tickEvery; gap > longestGap {
			stacks := make([]byte, stackBytes)
			stacks = stacks[:runtime.Stack(stacks, true)]
			w.mu.Lock()
			w.gaps = append(w.gaps, fmt.Sprintf("%s: stood still for %v; longest waits and pauses before %s, since %s\n%s",
				now.Format(clockTime), gap, before, latencies(), stacks))
			w.mu.Unlock()
		}
		before, last = latencies(), now
	}
}

func (w *watch) stop() {
	close(w.ended)
	_ = w.ticks.Close()
	_ = w.command.Wait()
	for _, gap := range w.gaps {
		first, _, _ := strings.Cut(gap, "\n")
		fmt.Fprintln(os.Stderr, "the test's own process:", first)
	}
}

// latencies returns the longest wait of a goroutine for a processor, and the longest stop of all
// of them, since the process began.
func latencies() string {
	names := []string{"/sched/latencies:seconds", "/sched/pauses/total/gc:seconds", "/sched/pauses/stopping/other:seconds"}
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	metrics.Read(samples)
	var told []string
	for i, sample := range samples {
		if sample.Value.Kind() != metrics.KindFloat64Histogram {
			continue
		}
		longest := 0.0
		histogram := sample.Value.Float64Histogram()
		for j, count := range histogram.Counts {
			if count > 0 {
				longest = histogram.Buckets[j]
			}
		}
		told = append(told, fmt.Sprintf("%s %.4f", names[i], longest))
	}
	return strings.Join(told, ", ")
}

// report prints how long this process stood still while a test ran, and what it waited for.
func (w *watch) report(t *testing.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Logf("gaps of the test's own process: %d\n%s\nits samples:\n%s", len(w.gaps), strings.Join(w.gaps, "\n"), w.samples.String())
}

// sampler looks at a process from outside.
type sampler struct {
	folder string

	mu   sync.Mutex
	last time.Time
}

func (s *sampler) run() {
	s.last = time.Now()
	ended := make(chan struct{})
	go s.runReading(ended)
	looked := time.Now()
	for {
		select {
		case <-ended:
			return
		case <-time.After(sampleEvery):
		}
		now := time.Now()
		if late := now.Sub(looked) - sampleEvery; late > longestGap {
			fmt.Printf("%s: the sampler itself stood still for %v; %s\n", now.Format(clockTime), late, s.machine())
		}
		looked = now
		s.mu.Lock()
		silent := now.Sub(s.last)
		s.mu.Unlock()
		if silent > longestGap {
			fmt.Printf("%s: silent for %v; %s\n%s", now.Format(clockTime), silent, s.machine(), s.threads())
		}
	}
}

// runReading notes the ticks of the watched process until it ends.
func (s *sampler) runReading(ended chan<- struct{}) {
	defer close(ended)
	tick := make([]byte, 64)
	for {
		if _, err := os.Stdin.Read(tick); err != nil {
			return
		}
		s.mu.Lock()
		s.last = time.Now()
		s.mu.Unlock()
	}
}

// machine tells how busy the machine is.
func (s *sampler) machine() string {
	var told []string
	for _, name := range []string{"loadavg", "pressure/cpu", "pressure/memory", "pressure/io"} {
		told = append(told, name+" "+line(filepath.Join("/proc", name)))
	}
	return strings.Join(told, "; ")
}

// threads tells of each thread its state, what it waits for in the kernel, and its time on a
// processor, waiting for one, and its major faults.
func (s *sampler) threads() string {
	folders, err := filepath.Glob(filepath.Join(s.folder, "task", "*"))
	if err != nil {
		return err.Error()
	}
	var told strings.Builder
	for _, folder := range folders {
		stat := strings.Fields(line(filepath.Join(folder, "stat")))
		if len(stat) < 12 {
			continue
		}
		faults, _ := strconv.Atoi(stat[11])
		fmt.Fprintf(&told, "  %s state %s at %s, call %s, runs and waits %s, major faults %d\n", filepath.Base(folder), stat[2],
			line(filepath.Join(folder, "wchan")), line(filepath.Join(folder, "syscall")), line(filepath.Join(folder, "schedstat")), faults)
	}
	return told.String()
}

// line returns the first line of a file of the kernel's.
func line(name string) string {
	content, err := os.ReadFile(name)
	if err != nil {
		return "?"
	}
	first, _, _ := strings.Cut(string(content), "\n")
	return first
}
