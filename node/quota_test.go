package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// A request counts against its customer's limit from when it was last sent. One that a target refused, or
// failed, and that another ran later left the window by the time of the first send, while the later run was
// still in it.
func TestRepeatedRequestsCountFromTheirLastSend(t *testing.T) {
	const late = 700 * time.Millisecond
	for name, faults := range map[string]fake.ServerFaults{
		"refused": {Refuse: true, Late: late},
		"failed":  {Fail: true, Late: late},
	} {
		t.Run(name, func(t *testing.T) {
			playLarge(t, 1, false, func(l *large) {
				p := newLimited(l, 2)
				// One request in 8 s.
				c := limitedParts()
				c.customer = object{"Name": "c", "ApiKeys": []string{"k1"}, "RatePerS": 0.1, "Burst": 0.2}
				p.configure(3, c)
				// The instance has run for a whole window, and nothing has to be assumed.
				time.Sleep(10 * time.Second)
				client := &http.Client{Transport: &http.Transport{DialContext: p.network.Machine(limitCallers).Dial}}
				defer client.CloseIdleConnections()
				for _, target := range []string{"e0", "e1"} {
					p.targets[target].SetFaults(faults)
				}
				time.AfterFunc(late/2, func() {
					for _, target := range []string{"e0", "e1"} {
						p.targets[target].SetFaults(fake.ServerFaults{})
					}
				})
				began := p.clock.Now()
				p.call(client, 0, "e", 2)
				// The second request comes while the first is still in the window, the third one after that.
				for _, next := range []struct {
					after time.Duration
					want  string
				}{
					{8*time.Second + late/2, "map[e 200:1 e 429:1]"},
					{8*time.Second + late + 200*time.Millisecond, "map[e 200:2 e 429:1]"},
				} {
					time.Sleep(time.Until(began.Add(next.after)))
					p.call(client, 0, "e", 3)
					if got := fmt.Sprint(p.answers); got != next.want {
						t.Errorf("after %v: %s, want %s", next.after, got, next.want)
					}
				}
			})
		})
	}
}
