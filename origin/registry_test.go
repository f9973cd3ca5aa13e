package origin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
)

// group is registries that send each other datagrams.
type group struct {
	registries map[netip.AddrPort]*Registry
	members    map[shelfshelf.DataCentre][]shelfshelf.Member
	// lost says that datagrams to an address are lost.
	lost  map[netip.AddrPort]bool
	sent  int
	bytes int
}

// newGroup returns so many registries in two data centres.
func newGroup(count int) (*group, []*Registry) {
	g := &group{
		registries: make(map[netip.AddrPort]*Registry), members: make(map[shelfshelf.DataCentre][]shelfshelf.Member),
		lost: make(map[netip.AddrPort]bool),
	}
	var list []*Registry
	for i := range count {
		centre := shelfshelf.DataCentre(fmt.Sprint("dc", i%2))
		r := &Registry{
			Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), DataCentre: centre,
			Self:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7600),
			Members:      func() map[shelfshelf.DataCentre][]shelfshelf.Member { return g.members },
			StoreContact: time.Now, AllLive: func() bool { return true }, StreamTime: func() time.Duration { return 30 * time.Second },
			Store: &memoryStore{err: shelfshelf.ErrNotFound}, IsSaver: func() bool { return i == 0 },
		}
		r.Send = func(to netip.AddrPort, content []byte) { g.send(r.Self, to, content) }
		r.Init()
		g.registries[r.Self] = r
		g.members[centre] = append(g.members[centre], shelfshelf.Member{Hash: uint64(i + 1), Address: r.Self})
		list = append(list, r)
	}
	return g, list
}

func (g *group) send(from, to netip.AddrPort, content []byte) {
	g.sent++
	g.bytes += len(content)
	if !g.lost[to] && !g.lost[from] {
		g.registries[to].Receive(content, from)
	}
}

func targetsOf(versions ...shelfshelf.TargetVersion) []shelfshelf.Target {
	var targets []shelfshelf.Target
	for _, version := range versions {
		targets = append(targets, shelfshelf.Target{Name: shelfshelf.TargetName("t" + version), Pool: "p", Version: version})
	}
	return targets
}

func setAll(list []*Registry, versions ...shelfshelf.TargetVersion) {
	for _, r := range list {
		r.SetTargets(targetsOf(versions...))
	}
}

func begun(id shelfshelf.RequestID, version shelfshelf.TargetVersion) shelfshelf.StreamOrigin {
	return shelfshelf.StreamOrigin{Key: shelfshelf.KeyOfStream("c", "p", id), Pool: "p", Version: version, Lifetime: 10 * time.Second}
}

func (r *Registry) find(id shelfshelf.RequestID) (shelfshelf.FoundOrigin, error) {
	return r.Find(context.Background(), "c", "p", id)
}

// Two streams with the same ID began at two versions: which one a caller means can't be told. Another
// customer's stream of that ID is another stream.
func TestIDsThatCallersChooseMixNoStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, list := newGroup(7)
		setAll(list, "v1", "v2")
		list[1].Begun(begun("twice", "v1"))
		list[2].Begun(begun("twice", "v2"))
		list[1].Begun(begun("once", "v2"))
		for i, r := range list {
			if found, err := r.find("twice"); !errors.Is(err, shelfshelf.ErrOriginUnknown) {
				t.Errorf("%d goes on at %+v", i, found)
			}
			if found, err := r.find("once"); err != nil || found.Version != "v2" {
				t.Errorf("%d: %+v, %v", i, found, err)
			}
			if found, err := r.Find(context.Background(), "other", "p", "once"); !errors.Is(err, shelfshelf.ErrOriginUnknown) {
				t.Errorf("%d: another customer's stream goes on at %+v", i, found)
			}
			if found, err := r.find("never"); !errors.Is(err, shelfshelf.ErrOriginUnknown) || r.Count() > 2 {
				t.Errorf("%d: a stream that never began goes on at %+v, %d records", i, found, r.Count())
			}
		}
	})
}

// With one version nothing is sent but by callers that name an attempt; once there is a second one, the
// streams that began before are known to others.
func TestStreamsThatBeganBeforeTheSecondVersionAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, list := newGroup(7)
		for _, r := range list {
			r.history.knownSince = time.Time{}
		}
		setAll(list, "v1")
		for i := range 50 {
			list[3].Begun(begun(shelfshelf.RequestID(fmt.Sprint(i)), "v1"))
		}
		if found, err := list[4].find(""); err != nil || found.Version != "v1" || g.sent != 2*found.Asked {
			t.Errorf("%+v, %v, %d datagrams", found, err, g.sent)
		}
		if loads := list[4].Store.(*memoryStore).loads; loads != 0 {
			t.Errorf("%d reads of the store on a calm day", loads)
		}
		g.sent, g.bytes = 0, 0
		setAll(list, "v1", "v2")
		t.Logf("%d datagrams of %d bytes for 50 streams", g.sent, g.bytes/max(g.sent, 1))
		setAll(list, "v2")
		g.lost[list[3].Self] = true
		for i := range 50 {
			if found, err := list[5].find(shelfshelf.RequestID(fmt.Sprint(i))); err != nil || found.Version != "v1" {
				t.Errorf("%+v, %v", found, err)
			}
		}
		time.Sleep(31 * time.Second)
		if found, err := list[4].find(""); err != nil || found.Version != "v2" {
			t.Errorf("after all streams of the first version: %+v, %v", found, err)
		}
	})
}

// An instance that learns of a second version from the store, before that is listed here, didn't tell others of the
// streams that had begun before.
func TestStreamsThatBeganBeforeTheStoreNamesTheSecondVersionAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, list := newGroup(7)
		setAll(list, "v1")
		r := list[3]
		r.Begun(begun("early", "v1"))
		r.Store = stored(time.Hour, map[shelfshelf.TargetVersion]time.Duration{"v1": 0, "v2": 0})
		r.AllLive = func() bool { return false }
		if found, err := r.find(""); !errors.Is(err, shelfshelf.ErrOriginUnknown) {
			t.Errorf("%+v, %v", found, err)
		}
		setAll(list, "v1", "v2")
		g.lost[r.Self] = true
		if found, err := list[5].find("early"); err != nil || found.Version != "v1" {
			t.Errorf("%+v, %v", found, err)
		}
	})
}

// An instance that has just started, or is cut off, doesn't take the one version that it knows for the only one.
func TestOneListedVersionIsNotTheOnlyOne(t *testing.T) {
	away := &memoryStore{err: shelfshelf.ErrUnavailable}
	oneVersion := stored(time.Hour, map[shelfshelf.TargetVersion]time.Duration{"v1": 0})
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			running time.Duration
			// cut are the instances whose datagrams are lost; the one that is asked is number 0.
			cut []int
			// fallen says that others have fallen silent.
			fallen  bool
			contact time.Duration
			stored  *memoryStore
			want    bool
		}{
			"started now, nothing stored":         {stored: &memoryStore{err: shelfshelf.ErrNotFound}},
			"started now, store away":             {stored: away},
			"started now, another one gone":       {stored: stored(time.Hour, map[shelfshelf.TargetVersion]time.Duration{"v1": 0, "v0": 5 * time.Second})},
			"started now, another one long":       {stored: stored(time.Hour, map[shelfshelf.TargetVersion]time.Duration{"v1": 0, "v0": time.Minute}), want: true},
			"started now, stored lately":          {stored: stored(time.Second, map[shelfshelf.TargetVersion]time.Duration{"v1": 0})},
			"started now, one version":            {stored: oneVersion, want: true},
			"running long":                        {running: time.Minute, stored: away, want: true},
			"running long, store away too long":   {running: time.Minute, contact: 31 * time.Second, stored: away},
			"running long, cut off just now":      {running: time.Minute, cut: []int{0}, contact: time.Second, stored: away},
			"running long, cut off for some time": {running: time.Minute, cut: []int{0}, fallen: true, contact: 4 * time.Second, stored: away},
			"the others gone, store answers":      {running: time.Minute, cut: []int{0}, fallen: true, contact: time.Second, stored: oneVersion, want: true},
			"the others gone, store away since":   {running: time.Minute, cut: []int{0}, fallen: true, contact: 5 * time.Second, stored: away},
			"a new version in the store only": {
				running: time.Minute, cut: []int{0}, fallen: true, stored: stored(time.Hour, map[shelfshelf.TargetVersion]time.Duration{"v1": 0, "v2": 0}),
			},
			"others of a build that doesn't answer":             {running: time.Minute, cut: []int{0}, contact: time.Second, stored: away},
			"others of a build that doesn't answer, store does": {running: time.Minute, cut: []int{0}, contact: time.Second, stored: oneVersion, want: true},
			"its data centre cut off just now":                  {running: time.Minute, cut: []int{1, 3, 5}, contact: time.Second, stored: away},
			"its data centre cut off, store answers":            {running: time.Minute, cut: []int{1, 3, 5}, fallen: true, contact: time.Second, stored: oneVersion, want: true},
			"all that are left answer, store away":              {running: time.Minute, fallen: true, contact: time.Second, stored: away},
		} {
			g, list := newGroup(7)
			r := list[0]
			r.Store = c.stored
			r.StoreContact = func() time.Time { return time.Now().Add(-c.contact) }
			r.AllLive = func() bool { return !c.fallen }
			setAll(list, "v1")
			time.Sleep(c.running)
			for _, i := range c.cut {
				g.lost[list[i].Self] = true
			}
			if found, err := r.find(""); (err == nil) != c.want {
				t.Errorf("%s: %+v, %v", name, found, err)
			}
		}
	})
}

// The records of an instance are bounded, those that are dropped are counted and logged, expired ones make room.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, list := newGroup(1)
		r := list[0]
		var lines bytes.Buffer
		r.Log = log.New(&lines)
		setAll(list, "v1", "v2")
		for i := range maxRecords + 100 {
			r.Begun(begun(shelfshelf.RequestID(fmt.Sprint(i)), "v1"))
		}
		if r.Count() != maxRecords || r.Dropped() != 100 || strings.Count(lines.String(), "no room") != 1 {
			t.Errorf("%d records, %d dropped: %s", r.Count(), r.Dropped(), lines.String())
		}
		time.Sleep(11 * time.Second)
		r.Begun(begun("later", "v1"))
		if r.Count() != 1 {
			t.Errorf("%d records after all have expired", r.Count())
		}
	})
}

// Messages that this build doesn't know or can't read change nothing and break nothing.
func TestUnreadableMessagesAreDropped(t *testing.T) {
	t.Parallel()
	_, list := newGroup(2)
	unknown, err := encode(message{kind: 99, id: 7})
	if err != nil {
		t.Fatal(err)
	}
	for _, content := range [][]byte{{}, {Marker}, {Marker, 0xff, 0x00}, unknown, []byte("\x02not a message")} {
		list[0].Receive(content, list[1].Self)
	}
	if list[0].Count() > 0 {
		t.Errorf("%d records", list[0].Count())
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range []message{
		{kind: kindAsk, id: 1, pool: "p"},
		{kind: kindAnswer, id: 1, state: stateKnown, version: "v1", several: true},
		{kind: kindTell, records: []sharedRecord{{StreamOrigin: begun("x", "v1")}}},
	} {
		content, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		m, err := decode(content)
		if err != nil {
			return
		}
		for _, told := range m.records {
			if told.Lifetime < 0 || told.Lifetime > maxLifetime {
				t.Errorf("lifetime %v", told.Lifetime)
			}
		}
	})
}

// Telling of a stream costs the same few datagrams at any size, and asking for one a few more.
func TestDatagramsOfAStreamDontGrow(t *testing.T) {
	t.Parallel()
	const (
		streams = 200
		// mostTold and mostAsked are the datagrams of a stream that is told, and of one that is asked for,
		// answers included.
		mostTold  = holderCount + 1
		mostAsked = 2 * mostTold
		mostBytes = 100
	)
	for _, count := range []int{7, 85, 300, 985} {
		g, list := newGroup(count)
		setAll(list, "v1", "v2")
		began := time.Now()
		for i := range streams {
			list[i%count].Begun(begun(shelfshelf.RequestID(fmt.Sprint(i)), "v1"))
		}
		tellTime := time.Since(began) / streams
		told, bytes := g.sent, g.bytes
		for i := range streams {
			if found, err := list[(i+count/2)%count].find(shelfshelf.RequestID(fmt.Sprint(i))); err != nil || found.Version != "v1" {
				t.Errorf("%+v, %v", found, err)
			}
		}
		asked := g.sent - told
		t.Logf("%d instances: %.1f datagrams of %d bytes a stream, %v of processor time; %.1f datagrams of %d bytes a look-up", count,
			float64(told)/streams, bytes/told, tellTime, float64(asked)/streams, (g.bytes-bytes)/asked)
		if told > mostTold*streams || asked > mostAsked*streams || bytes > mostBytes*told {
			t.Errorf("%d instances: %d and %d datagrams, %d bytes for %d streams", count, told, asked, bytes, streams)
		}
	}
}

// BenchmarkRecord measures the memory of a record.
func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	_, list := newGroup(1)
	setAll(list, "v1")
	for i := range b.N {
		list[0].Begun(begun(shelfshelf.RequestID(fmt.Sprint(i%maxRecords)), "v1"))
	}
}
