package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	seedCount = flag.Int("seeds", 1, "how many schedules to play")
	firstSeed = flag.Uint64("first", 1, "the first seed")
	fresh     = flag.Duration("fresh", 0, "play new seeds for so long")
	size      = flag.Int("nodes", 4, "how many processes")
	length    = flag.Duration("length", 15*time.Second, "how long faults come")
	keep      = flag.String("keep", "", "folder that the logs of a failed seed are kept in")
)

// regression lists seeds that once failed, with a line on the cause. Seeds 29 and 31
// failed with the table of faults before it was made harsher; their schedules are
// others now.
var regression = map[uint64]string{
	// A call sent just before its process was paused for 3 s counted as held in calm:
	// the check looked only at its beginning.
	31: "the check of holding",
	29: "the same",
}

const (
	recoverWithin = 5 * time.Second
	// loggedLines is how many lines of each process's log a failure prints.
	loggedLines = 12
)

func TestSoak(t *testing.T) {
	binary := build(t)
	for seed, cause := range regression {
		t.Run(fmt.Sprint("regression-", seed), func(t *testing.T) {
			t.Log("failed once by:", cause)
			play(t, binary, seed, plain)
		})
	}
	playSeeds(t, binary, plain)
}

// playSeeds plays the seeds that the flags ask for.
func playSeeds(t *testing.T, binary string, beside mode) {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { play(t, binary, seed, beside) })
	}
	// New seeds come one after the other, so that they can go on for a time.
	for began := time.Now(); time.Since(began) < *fresh; {
		seed := uint64(time.Now().UnixNano())
		t.Run("fresh", func(t *testing.T) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, binary, seed, beside) })
		})
	}
}

// mode says what goes on beside the faults of a seed.
type mode int

const (
	plain mode = iota
	// withLimits has some targets name limits.
	withLimits
	// withWords has some targets say that they leave, or ask for rest.
	withWords
	// withReturns has the store come back from older copies.
	withReturns
)

// play plays one seed: faults beside callers, then calm, then the checks.
func play(t *testing.T, binary string, seed uint64, beside mode) {
	t.Parallel()
	s := newStage(t, binary, *size)
	named := &limits{}
	if beside == withLimits {
		named = s.nameLimits(seed)
	}
	var said *words
	if beside == withWords {
		said = s.speak(seed)
	}
	plan := &schedule{stage: s, seed: seed}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d:\n%s", seed, strings.Join(plan.lines, "\n"))
			s.logSignals(t)
			own.report(t)
			s.logEnds(t)
			keepLogs(t, s, seed)
		}
	})
	waitReady(t, s)
	c := &callers{stage: s}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 2 * len(s.nodes) {
		running.Add(1)
		go func() {
			defer running.Done()
			c.run(ctx, s.nodes[i%len(s.nodes)])
		}()
	}
	released := &releases{stage: s, random: rand.New(rand.NewPCG(seed, 4)), done: make(chan struct{})}
	releasing, endReleases := context.WithTimeout(ctx, *length)
	defer endReleases()
	go released.run(releasing)
	var drills *returns
	if beside == withReturns {
		drills = &returns{stage: s, random: rand.New(rand.NewPCG(seed, 2)), done: make(chan struct{})}
		drilling, end := context.WithTimeout(ctx, *length)
		defer end()
		go drills.run(drilling)
		defer func() { t.Logf("the store came back from a copy %d times", drills.count) }()
		plan.run(*length)
		<-drills.done
	} else {
		plan.run(*length)
	}
	<-released.done
	if said != nil {
		said.endRests()
	}
	waitReady(t, s)
	time.Sleep(recoverWithin)
	calm := time.Now()
	time.Sleep(4 * time.Second)
	cancel()
	running.Wait()
	// What targets still do of requests that were cut ends by itself.
	time.Sleep(500 * time.Millisecond)
	if drills != nil {
		drills.checkFollowed(t)
	}
	c.check(t, calm)
	c.checkChains(t)
	named.check(t)
	if said != nil {
		said.check(t, c)
	}
}

// logSignals prints which signals this soak sent to which process ids.
func (s *stage) logSignals(t *testing.T) {
	for _, p := range s.nodes {
		p.mu.Lock()
		t.Logf("signals:\n%s", strings.Join(p.sent, "\n"))
		p.mu.Unlock()
	}
}

// logEnds prints the last lines of each process's log: a run that keeps no folder, such as
// CI's, tells by them what a failed one was at.
func (s *stage) logEnds(t *testing.T) {
	for _, p := range s.nodes {
		content, err := os.ReadFile(filepath.Join(s.folder, p.name+".log"))
		if err != nil {
			t.Logf("the log of %s can't be read: %v", p.name, err)
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		t.Logf("the last of %s:\n%s", p.name, strings.Join(lines[max(len(lines)-loggedLines, 0):], "\n"))
	}
}

func keepLogs(t *testing.T, s *stage, seed uint64) {
	if *keep == "" {
		return
	}
	folder := filepath.Join(*keep, fmt.Sprint(seed))
	if err := os.CopyFS(folder, os.DirFS(s.folder)); err != nil {
		t.Logf("the logs can't be kept: %v", err)
	}
}

func waitReady(t *testing.T, s *stage) {
	t.Helper()
	end := time.Now().Add(15 * time.Second)
	for _, p := range s.nodes {
		for !ready(p) {
			if time.Now().After(end) {
				t.Fatalf("%s is not ready", p.name)
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
}

func ready(p *process) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
