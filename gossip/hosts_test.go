package gossip

import (
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

// An instance of another data centre that joined lately is known from that data centre's digest only; a request
// that it hands over because its links fail must not be taken for one of a stranger.
func TestHostsOfInstancesAreKnownFromDigestsToo(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newCountingNode(clock)
	n.addPeers([]shelfshelf.Instance{{ID: "p", DataCentre: "y", Address: "10.0.0.7:1"}})
	member := shelfshelf.Member{Hash: 1, Address: netip.MustParseAddrPort("10.0.0.8:1")}
	n.storeDigestOf("y", shelfshelf.Digest{DataCentre: "y", Instances: 2, Members: []shelfshelf.Member{member}}, clock.Now())
	for host, known := range map[string]bool{"10.0.0.7": true, "10.0.0.8": true, "10.0.0.9": false, "h.example": false, "": false} {
		if n.IsInstanceHost(host) != known {
			t.Errorf("%q: %t", host, !known)
		}
	}
}
