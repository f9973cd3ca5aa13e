package gossip

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
)

func TestMessagesComeBackWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) shelfshelf.TargetLoad {
			return shelfshelf.TargetLoad{
				Target:        shelfshelf.TargetKey(rapid.Uint32().Draw(t, "target")),
				Requests:      rapid.IntRange(0, 1000).Draw(t, "requests"),
				Prefilling:    rapid.IntRange(0, 1000).Draw(t, "prefilling"),
				PrefillTokens: rapid.IntRange(0, 1e7).Draw(t, "tokens"),
			}
		}), 1, 5).Draw(t, "loads")
		sent := message{
			kind: kindExchangeRequest,
			status: shelfshelf.Status{
				From: shelfshelf.Instance{
					ID: "a", DataCentre: "z", Address: "10.0.0.1:1", State: shelfshelf.InstanceLive,
					LinkMbps: rapid.Float64().Draw(t, "link"),
				},
				Incarnation:    rapid.Uint64().Draw(t, "incarnation"),
				Sequence:       rapid.Uint64().Draw(t, "sequence"),
				Revision:       shelfshelf.Revision(rapid.Uint64().Draw(t, "revision")),
				RevisionAge:    time.Duration(rapid.Int64().Draw(t, "age")),
				TargetsVersion: rapid.Uint64().Draw(t, "version"),
				SourceLost:     rapid.Bool().Draw(t, "lost"),
				Recalled:       rapid.Bool().Draw(t, "recalled"),
				Settled:        rapid.Bool().Draw(t, "settled"),
				Loads:          loads,
				Uses:           []shelfshelf.CustomerUse{{Customer: 7, Amount: 12}},
				EndedUses:      []shelfshelf.CustomerUse{{Customer: 8, Amount: 3}},
				Speeds:         []shelfshelf.TargetSpeed{{Target: 9, PrefillRate: 12.5, Step: 4 * time.Millisecond}},
				CrashesHash:    rapid.Uint64().Draw(t, "hash of crashes"),
				Crashes: []shelfshelf.Crash{{
					ID: shelfshelf.CrashID(rapid.Uint64().Draw(t, "crash")), Age: time.Second,
					Runs: []shelfshelf.CrashedRun{{
						Request: shelfshelf.Fingerprint(rapid.Uint64().Draw(t, "request")), Outlived: rapid.Bool().Draw(t, "outlived"),
					}},
				}},
				Rollouts: []shelfshelf.Rollout{{
					Pool: "p", Revision: rapid.Uint64().Draw(t, "order"), Version: "v2", Period: 12 * time.Second,
					Age: time.Duration(rapid.Int64().Draw(t, "age of the order")), Moving: time.Second,
					State:  shelfshelf.RolloutState(rapid.Uint8Range(0, 4).Draw(t, "state")),
					Halted: rapid.Bool().Draw(t, "halted"), Stored: rapid.Uint64().Draw(t, "stored"),
					Barred: []shelfshelf.TargetVersion{"v0", "v1"},
				}},
				OrdersAsOf: rapid.Uint64().Draw(t, "orders as of"),
				Words: []shelfshelf.TargetWord{{
					Target: 3, Version: rapid.Uint64().Draw(t, "limit"), Leaving: rapid.Bool().Draw(t, "leaving"),
					Born:  time.UnixMilli(rapid.Int64Range(1, 1e15).Draw(t, "born")),
					Limit: shelfshelf.RateLimit{Named: rapid.Bool().Draw(t, "named"), PerSecond: rapid.Float64Range(0, 1e6).Draw(t, "a second")},
				}},
				Digests: []shelfshelf.Digest{{
					DataCentre: "y", Age: time.Second, Instances: 3, Loads: loads,
					Members: []shelfshelf.Member{{
						Hash: rapid.Uint64().Draw(t, "hash"), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 2, 3}), rapid.Uint16().Draw(t, "port")),
					}},
					Uses: []shelfshelf.CustomerUse{{Customer: 7, Amount: 12}}, Speeds: []shelfshelf.TargetSpeed{},
				}},
			},
			timestamp: time.Duration(rapid.Int64().Draw(t, "stamp")), echo: time.Second, echoIncarnation: 5,
		}
		content, err := encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(content)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent, got, cmp.AllowUnexported(message{}), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzDecode(f *testing.F) {
	content, err := encode(message{kind: kindStatus, status: shelfshelf.Status{From: shelfshelf.Instance{ID: "a"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Fuzz(func(t *testing.T, content []byte) {
		if m, err := decode(content); err == nil && m.status.From.ID == "" {
			t.Error("a message of nobody was taken")
		}
	})
}

// member is an instance of a test with what it has heard.
type member struct {
	node *Node
	id   shelfshelf.InstanceID

	mu      sync.Mutex
	heard   map[shelfshelf.InstanceID]time.Time
	digests map[shelfshelf.DataCentre]int
}

func (m *member) Status() shelfshelf.Status {
	return shelfshelf.Status{Revision: 1, Loads: []shelfshelf.TargetLoad{{Target: 1, Requests: 1}}}
}

func (m *member) Observations() []shelfshelf.TargetSpeed { return nil }

func (m *member) Crashes(bool) []shelfshelf.Crash { return nil }

func (m *member) Digest() shelfshelf.Digest { return shelfshelf.Digest{} }

func (m *member) Heard(status shelfshelf.Status, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !at.IsZero() {
		m.heard[status.From.ID] = at
	}
}

func (m *member) HeardDigest(digest shelfshelf.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.digests[digest.DataCentre]++
}

// directory is where the members of a test announce themselves.
type directory struct {
	mu  sync.Mutex
	all []shelfshelf.Instance
}

func (d *directory) Announce(_ context.Context, _ string, instance shelfshelf.Instance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, instance)
	return nil
}

func (d *directory) InstancesIn(context.Context, string) ([]shelfshelf.Instance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]shelfshelf.Instance(nil), d.all...), nil
}

func start(t *testing.T, d *directory, id string, centre shelfshelf.DataCentre) (m *member, stop func()) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m = &member{
		id: shelfshelf.InstanceID(id), heard: make(map[shelfshelf.InstanceID]time.Time),
		digests: make(map[shelfshelf.DataCentre]int),
	}
	m.node = &Node{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Incarnation: uint64(time.Now().UnixNano()),
		Self: shelfshelf.Instance{ID: m.id, DataCentre: centre, Address: conn.LocalAddr().String(), State: shelfshelf.InstanceLive},
		Conn: conn, Handler: m, Directory: d,
	}
	m.node.Init()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.node.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return m, stop
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatal(what)
}

// Three data centres of two: all are counted, digests reach everyone, one instance a
// data centre comes first, and an end is noticed.
func TestInstancesHearEachOther(t *testing.T) {
	d := &directory{}
	var all []*member
	var stops []func()
	for _, centre := range []shelfshelf.DataCentre{"a", "b", "c"} {
		for i := range 2 {
			m, stop := start(t, d, fmt.Sprint(centre, i), centre)
			all, stops = append(all, m), append(stops, stop)
		}
	}
	for _, m := range all {
		eventually(t, "not all are heard", func() bool {
			census := m.node.Census()
			return census.Known == 6 && census.Heard == 6 && census.Local == 2
		})
		eventually(t, "digests don't reach everyone", func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return len(m.digests) == 2
		})
		if want := m.id[1] == '0'; m.node.First() != want {
			t.Errorf("%s first: %v", m.id, !want)
		}
		if want := m.id[0] != 'c'; m.node.LeadingCentre(2) != want {
			t.Errorf("%s leading: %v", m.id, !want)
		}
	}
	stops[0]()
	eventually(t, "the next one doesn't come first", all[1].node.First)
	eventually(t, "an end isn't noticed", func() bool { return all[1].node.Census().Local == 1 })
}

// What is heard carries an instant of the hearer's own clock that it is no older
// than, and that is recent.
func TestEchoesDateWhatIsHeard(t *testing.T) {
	d := &directory{}
	a, _ := start(t, d, "a0", "a")
	_, _ = start(t, d, "a1", "a")
	eventually(t, "no dated word is heard", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		at := a.heard["a1"]
		return !at.IsZero() && time.Since(at) < time.Second && !at.After(time.Now())
	})
}

// An older message, or one of an earlier life, changes nothing.
func TestOldMessagesAreDropped(t *testing.T) {
	n := &Node{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), peers: make(map[shelfshelf.InstanceID]*peerState)}
	now := time.Now()
	p := n.ensurePeer(shelfshelf.Instance{ID: "a", Address: "127.0.0.1:1"}, now)
	word := func(incarnation, sequence uint64) bool {
		return p.accept(message{status: shelfshelf.Status{
			From: shelfshelf.Instance{ID: "a", Address: "127.0.0.1:1"}, Incarnation: incarnation, Sequence: sequence,
		}}, now)
	}
	for _, c := range []struct {
		incarnation, sequence uint64
		want                  bool
	}{{1, 5, true}, {1, 5, false}, {1, 4, false}, {2, 1, true}, {1, 9, false}, {2, 2, true}} {
		if got := word(c.incarnation, c.sequence); got != c.want {
			t.Errorf("life %d, message %d: %v", c.incarnation, c.sequence, got)
		}
	}
}

// With 600 targets, 520 customers and six data centres, the digests of all others make up
// 100 KB: a status carries those that have room and keeps the others for the next one.
func TestMessagesHaveRoomInDatagrams(t *testing.T) {
	const targets, customers, centres = 600, 520, 5
	n := &Node{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), dataCentres: make(map[shelfshelf.DataCentre]*dataCentreState)}
	var digest shelfshelf.Digest
	for i := range targets {
		key := shelfshelf.TargetKey(math.MaxUint32 - i)
		digest.Loads = append(digest.Loads, shelfshelf.TargetLoad{Target: key, Requests: 1000, Prefilling: 300, PrefillTokens: 1 << 20})
		digest.Speeds = append(digest.Speeds, shelfshelf.TargetSpeed{Target: key, PrefillRate: 10000, Step: 90 * time.Millisecond})
	}
	for range 60 {
		digest.Members = append(digest.Members, shelfshelf.Member{Hash: math.MaxUint64, Address: netip.MustParseAddrPort("[2001:db8::1]:65000")})
	}
	for i := range customers {
		digest.Uses = append(digest.Uses, shelfshelf.CustomerUse{Customer: shelfshelf.CustomerKey(math.MaxUint32 - i), Amount: 1 << 40})
	}
	now := time.Now()
	for i := range centres {
		n.takeDigestOf(shelfshelf.DataCentre(fmt.Sprint("data centre ", i)), digest, now)
	}
	status := shelfshelf.Status{Loads: digest.Loads, Uses: digest.Uses}
	told := make(map[shelfshelf.DataCentre]int)
	for range centres {
		status.Digests = n.takePendingDigests(now, maxDatagramBytes-maxStatusSize(status))
		for _, d := range status.Digests {
			told[d.DataCentre]++
		}
		content, err := encode(message{kind: kindStatus, status: status})
		if err != nil || len(content) > maxDatagramBytes {
			t.Errorf("a status has %d bytes: %v", len(content), err)
		}
		if got, bound := len(content), maxStatusSize(status)+len(status.Digests)*maxDigestSize(digest); got > bound {
			t.Errorf("%d bytes are more than the bound of %d", got, bound)
		}
	}
	if len(told) != centres {
		t.Errorf("told: %v", told)
	}
	for centre, times := range told {
		if times != 1 {
			t.Errorf("%s told %d times", centre, times)
		}
	}
}

func (n *Node) takeDigestOf(centre shelfshelf.DataCentre, digest shelfshelf.Digest, now time.Time) {
	digest.DataCentre = centre
	n.storeDigest(digest, now, true)
}

// The instance with the widest link reads the store for the others, whatever its name;
// among equals, the first by name.
func TestWidestLinkComesFirst(t *testing.T) {
	t.Parallel()
	now := time.Now()
	for name, c := range map[string]struct {
		self  float64
		peers map[shelfshelf.InstanceID]float64
		want  bool
	}{
		"alone":              {10, nil, true},
		"wider, later name":  {200, map[shelfshelf.InstanceID]float64{"a": 10}, true},
		"narrower, earlier":  {10, map[shelfshelf.InstanceID]float64{"z": 200}, false},
		"as wide, earlier":   {10, map[shelfshelf.InstanceID]float64{"z": 10}, true},
		"as wide, later":     {10, map[shelfshelf.InstanceID]float64{"a": 10}, false},
		"not known, earlier": {0, map[shelfshelf.InstanceID]float64{"z": 0}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := &Node{
				Clock: clockwork.NewFakeClockAt(now), Log: log.New(io.Discard),
				Self: shelfshelf.Instance{ID: "m", DataCentre: "dc", LinkMbps: c.self}, peers: make(map[shelfshelf.InstanceID]*peerState),
			}
			for id, link := range c.peers {
				from := shelfshelf.Instance{ID: id, DataCentre: "dc", Address: "127.0.0.1:1", LinkMbps: link}
				p := n.ensurePeer(from, now)
				p.accept(message{status: shelfshelf.Status{From: from, Incarnation: 1, Revision: 1}}, now)
				p.seen = true
			}
			if got := n.First(); got != c.want {
				t.Errorf("first: %v", got)
			}
		})
	}
}
