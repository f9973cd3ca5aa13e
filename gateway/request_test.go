package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// A request that may have run and has no time left ends with 504, even if the attempt's timer fires
// before the request's own timer.
func TestRefusalStatusDependsOnWhetherRequestMayHaveRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		mayHaveRun bool
		left       time.Duration
		want       int
	}{
		"not run":                 {false, time.Second, http.StatusServiceUnavailable},
		"not run, time over":      {false, 0, http.StatusServiceUnavailable},
		"may have run":            {true, time.Second, http.StatusBadGateway},
		"may have run, time over": {true, 0, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			r := &request{
				server:     &Server{Clock: clock},
				ctx:        context.Background(),
				deadline:   clock.Now().Add(c.left),
				mayHaveRun: c.mayHaveRun,
			}
			got := r.refusalFor("x", time.Second)
			if got.status != c.want || (got.retryAfter > 0) != (c.want == http.StatusServiceUnavailable) {
				t.Errorf("%+v", got)
			}
			if c.left <= 0 && r.claimRetry(errIdleTimeout) {
				t.Error("retried with no time left")
			}
		})
	}
}
