package soak

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// startSlack is how long after its sending a request may still begin to run at a
// target, for the bound of revoked keys.
const startSlack = 100 * time.Millisecond

// inForceWithin is how soon a configuration must be in force at a calm instance.
const inForceWithin = 2 * time.Second

// check compares what callers saw with what targets ran.
func (c *callers) check(t *testing.T, calm time.Time) {
	t.Helper()
	runs := make(map[string][]fake.Run)
	signers := make(map[string]string)
	for _, target := range c.stage.targets {
		for _, run := range target.server.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			signers[run.ID+"/"+target.server.Signature(run.ID)] = target.name
		}
	}
	served, late := 0, 0
	counts := make(map[string]int)
	for _, one := range c.calls {
		c.checkCall(t, one, runs[one.id], signers)
		counts[fmt.Sprint(one.status)]++
		// Callers with an old key are rightly denied.
		if _, revoked := c.revokedAt(one.key); one.sent.After(calm) && !revoked {
			late++
			if one.status == 200 && (one.err == nil || errors.Is(one.err, errLeft)) {
				served++
			}
		}
	}
	for id, list := range runs {
		for _, run := range list {
			if run.Body != id || run.Key != "" || run.Customer != "c" || len(run.Orders) > 0 {
				t.Errorf("a target ran something else than was asked: %+v", run)
			}
		}
	}
	if late == 0 || served < late*95/100 {
		t.Errorf("after the faults %d of %d are served", served, late)
	}
	t.Logf("%d calls, by status %v; after the faults %d of %d served", len(c.calls), counts, served, late)
}

// checkCall checks one call against the promises.
func (c *callers) checkCall(t *testing.T, one call, runs []fake.Run, signers map[string]string) {
	t.Helper()
	if one.path == "/once/" && len(runs) > 1 {
		t.Errorf("%s ran %d times", one.id, len(runs))
	}
	if len(runs) > 2 {
		t.Errorf("%s was sent to %d targets", one.id, len(runs))
	}
	switch one.status {
	case 429, 503, 408, 421:
		if len(runs) > 0 {
			t.Errorf("%s was refused with %d and has run: %+v", one.id, one.status, runs)
		}
	case 200:
		c.checkAnswer(t, one, signers)
	case 401, 404:
		c.checkDenied(t, one)
	}
	if at, revoked := c.revokedAt(one.key); revoked && len(runs) > 0 && one.sent.Sub(at) > revokeBound+startSlack {
		t.Errorf("%s ran with a key that was revoked %v before", one.id, one.sent.Sub(at))
	}
	if held := one.ended.Sub(one.sent); one.path != streamPath && one.calm && held > 2200*time.Millisecond {
		t.Errorf("%s was held for %v on a route of 1.5 s", one.id, held)
	}
}

// checkAnswer checks that a success is the whole answer of a target to this call.
func (c *callers) checkAnswer(t *testing.T, one call, signers map[string]string) {
	t.Helper()
	if one.signed == "" || signers[one.id+"/"+one.signed] == "" {
		t.Errorf("%s has a success signed by nobody that ran it: %q", one.id, one.signed)
	}
	want := "answer to " + one.id
	body := one.body
	if one.path == streamPath {
		want, body = events(one.id, one.after), withoutVersions(body)
	}
	if one.err != nil {
		// It was broken off and looks so; what came must be a beginning of the answer.
		if !strings.HasPrefix(want, body) {
			t.Errorf("%s got %q before it broke off", one.id, one.body)
		}
		return
	}
	if body != want {
		t.Errorf("%s got %q as a whole answer", one.id, one.body)
	}
}

// checkDenied checks that only a revoked key is denied, or one so new that it need
// not be in force yet.
func (c *callers) checkDenied(t *testing.T, one call) {
	t.Helper()
	_, revoked := c.revokedAt(one.key)
	c.stage.mu.Lock()
	isNew := one.sent.Sub(c.stage.added[one.key]) < inForceWithin
	c.stage.mu.Unlock()
	if one.status == 404 || !revoked && !isNew && one.calm {
		t.Errorf("%s was denied with %d although it is allowed", one.id, one.status)
	}
}

func (c *callers) revokedAt(key string) (time.Time, bool) {
	c.stage.mu.Lock()
	defer c.stage.mu.Unlock()
	at, revoked := c.stage.revoked[key]
	return at, revoked
}

// events are those of a whole answer to a caller that has some already.
func events(id string, after int) string {
	var text strings.Builder
	for i := after + 1; i <= eventCount; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s-%d\n\n", i, id, i)
	}
	return text.String()
}
