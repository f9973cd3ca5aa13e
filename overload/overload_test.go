package overload_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/overload"
)

// processor is one on which work waits as the test says.
type processor struct {
	mu    sync.Mutex
	until time.Time
	delay func(now time.Time) time.Duration
}

// busyFor has work wait for so long each time, for a while.
func (p *processor) busyFor(span, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(span)
	p.delay = func(time.Time) time.Duration { return delay }
}

// shared has the processor stand still for the rest of each tenth of a second once it has run for a while.
func (p *processor) shared(runs time.Duration) {
	const period = 100 * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(3 * time.Second)
	p.delay = func(now time.Time) time.Duration {
		if in := now.Sub(now.Truncate(period)); in > runs {
			return period - in
		}
		return 0
	}
}

func (p *processor) Yield() {
	p.mu.Lock()
	now, delay := time.Now(), time.Duration(0)
	if now.Before(p.until) {
		delay = p.delay(now)
	}
	p.mu.Unlock()
	time.Sleep(delay)
}

// newGate returns a gate of an instance without others, and its processor.
func newGate() (*overload.Gate, *processor) {
	p := &processor{}
	clock, logger := clockwork.NewRealClock(), log.New(io.Discard)
	meter := &overload.Meter{Clock: clock, Log: logger, Processor: p, Peers: func() []string { return nil }}
	return &overload.Gate{Clock: clock, Log: logger, Meter: meter}, p
}

// come has connections come for a while, so many a second, and returns how many were taken. Each of them measures.
func come(g *overload.Gate, span time.Duration, perSecond int) (taken, all int) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		all++
		if wait, _ := g.Next(); wait == 0 {
			g.Taken()
			taken++
		}
	}
	return taken, all
}

// Short bursts, and a processor that is given as a share of each tenth of a second, hold nobody back.
func TestShortDelaysHoldNobodyBack(t *testing.T) {
	cases := map[string]func(p *processor){
		"a burst":               func(p *processor) { p.busyFor(150*time.Millisecond, 60*time.Millisecond) },
		"a long turn":           func(p *processor) { p.busyFor(time.Millisecond, 200*time.Millisecond) },
		"a stand-still":         func(p *processor) { p.busyFor(time.Millisecond, 3500*time.Millisecond) },
		"little work at a time": func(p *processor) { p.busyFor(3*time.Second, 15*time.Millisecond) },
		"a share":               func(p *processor) { p.shared(20 * time.Millisecond) },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, p := newGate()
				come(g, time.Second, 200)
				set(p)
				if taken, all := come(g, 5*time.Second, 200); taken < all {
					t.Errorf("%d of %d were taken", taken, all)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// A late instance takes hardly any connections, but some; then fewer than before, and all once nobody is held back.
func TestLateInstancesTakeFewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGate()
		come(g, 2*time.Second, 200)
		p.busyFor(2*time.Second, 100*time.Millisecond)
		come(g, 300*time.Millisecond, 200)
		late, all := come(g, 1700*time.Millisecond, 200)
		if late == 0 || late > all/4 {
			t.Errorf("late: %d of %d were taken", late, all)
		}
		come(g, 200*time.Millisecond, 200)
		after, all := come(g, time.Second, 200)
		if after < all/3 || after > all*9/10 {
			t.Errorf("in the second after: %d of %d were taken", after, all)
		}
		come(g, 7*time.Second, 200)
		if later, all := come(g, 3*time.Second, 200); later < all || g.Limit() > 0 {
			t.Errorf("%d of %d were taken, the limit is %v", later, all, g.Limit())
		}
	})
}

// However large a crowd is, a late instance takes about as few of it.
func TestLateInstancesTakeAsFewOfAnyCrowd(t *testing.T) {
	for _, perSecond := range []int{400, 5000, 20000} {
		t.Run(fmt.Sprint(perSecond, " a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, p := newGate()
				come(g, time.Second, perSecond)
				p.busyFor(3*time.Second, 100*time.Millisecond)
				come(g, 500*time.Millisecond, perSecond)
				taken, _ := come(g, 2*time.Second, perSecond)
				if taken < 8 || taken > 80 {
					t.Errorf("%d were taken in 2 s", taken)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// A limit ends soon after the crowd has gone.
func TestLimitsEndWithTheCrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGate()
		come(g, time.Second, 400)
		p.busyFor(time.Second, 100*time.Millisecond)
		come(g, time.Second, 400)
		come(g, time.Second, 20)
		if taken, all := come(g, 2*time.Second, 20); taken < all || g.Limit() > 0 {
			t.Errorf("%d of %d were taken, the limit is %v", taken, all, g.Limit())
		}
	})
}

// errGone is what a peer answers that takes no connections.
var errGone = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// newLinked returns a meter whose other instances answer after the times given, in turn; a negative one refuses.
func newLinked(answers ...time.Duration) *overload.Meter {
	peers := make([]string, len(answers))
	byAddress := make(map[string]time.Duration)
	for i, answer := range answers {
		peers[i] = string(rune('a' + i))
		byAddress[peers[i]] = answer
	}
	return &overload.Meter{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Processor: &processor{},
		Peers: func() []string { return append([]string(nil), peers...) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			answer := byAddress[address]
			if answer < 0 {
				return nil, errGone
			}
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(answer):
				here, _ := net.Pipe()
				return here, nil
			}
		},
	}
}

// Slow connections to targets show that the own links are late only if those to other instances are slow too.
func TestLinksAreLateIfNoInstanceAnswersInTime(t *testing.T) {
	cases := map[string]struct {
		answers []time.Duration
		late    bool
	}{
		"all slow":           {answers: []time.Duration{150 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond}, late: true},
		"cut off":            {answers: []time.Duration{time.Hour, time.Hour, time.Hour}},
		"far too slow":       {answers: []time.Duration{700 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond}, late: true},
		"one in time":        {answers: []time.Duration{time.Hour, 20 * time.Millisecond, time.Hour}},
		"all refuse":         {answers: []time.Duration{-1, -1, -1}},
		"no others":          {},
		"of the next region": {answers: []time.Duration{26 * time.Millisecond, 26 * time.Millisecond}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newLinked(c.answers...)
				late := false
				for range 300 {
					m.Dialed(150 * time.Millisecond)
					time.Sleep(10 * time.Millisecond)
					late = late || m.IsLate()
				}
				if late != c.late {
					t.Errorf("late: %v", late)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Others are given more time while an instance is late, up to a bound, and no more soon after.
func TestLateInstancesAllowOthersMoreTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGate()
		if allowed := g.Meter.Allowance(); allowed != 0 {
			t.Errorf("%v before it measured", allowed)
		}
		p.busyFor(300*time.Millisecond, 50*time.Millisecond)
		come(g, 300*time.Millisecond, 100)
		if allowed := g.Meter.Allowance(); allowed < 80*time.Millisecond || allowed > 200*time.Millisecond {
			t.Errorf("%v while work waits for 50 ms", allowed)
		}
		p.busyFor(time.Second, 400*time.Millisecond)
		come(g, time.Second, 100)
		if allowed := g.Meter.Allowance(); allowed != 300*time.Millisecond {
			t.Errorf("%v while work waits for 400 ms", allowed)
		}
		come(g, 3*time.Second, 100)
		if allowed := g.Meter.Allowance(); allowed > time.Millisecond {
			t.Errorf("%v after it is in time again", allowed)
		}
	})
}

// An address that can't be opened again is told, so that the instance isn't ready; it opens as soon as it can.
func TestAddressesThatStayClosedAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGate()
		network := fake.NewNetwork(g.Clock)
		var failing atomic.Bool
		listener := &overload.Listener{
			Clock: g.Clock, Log: g.Log, Gate: g, Address: "10.0.0.1:80",
			Listen: func(address string) (net.Listener, error) {
				if failing.Load() {
					return nil, syscall.EMFILE
				}
				return network.Machine("10.0.0.1").Listen(address)
			},
		}
		if err := listener.Open(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_ = conn.Close()
			}
		}()
		dial := network.Machine("10.0.0.2").Dial
		p.busyFor(time.Second, 100*time.Millisecond)
		failing.Store(true)
		for range 200 {
			if conn, err := dial(t.Context(), "tcp", "10.0.0.1:80"); err == nil {
				_ = conn.Close()
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !listener.Failing() {
			t.Error("a closed address isn't told")
		}
		failing.Store(false)
		time.Sleep(100 * time.Millisecond)
		if _, err := dial(t.Context(), "tcp", "10.0.0.1:80"); err != nil || listener.Failing() {
			t.Errorf("%v, failing: %v", err, listener.Failing())
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		<-ended
		time.Sleep(3 * time.Second)
	})
}

// With the operating system's sockets, an address that was closed for a while is the same one after that, and
// connections that were open stay open.
func TestConnectionsOutlastTheirAddress(t *testing.T) {
	g, p := newGate()
	listener := &overload.Listener{
		Clock: g.Clock, Log: g.Log, Gate: g, Address: "127.0.0.1:0",
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
	}
	if err := listener.Open(); err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	taken := make(chan net.Conn, 1000)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			taken <- conn
		}
	}()
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	served := <-taken
	p.busyFor(600*time.Millisecond, 60*time.Millisecond)
	refused := 0
	for range 300 {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
		} else {
			refused++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if refused == 0 {
		t.Error("nobody was refused")
	}
	if _, err := first.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if count, err := served.Read(make([]byte, 1)); count != 1 || err != nil {
		t.Errorf("%d bytes, %v", count, err)
	}
	for tries := 0; ; tries++ {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			break
		}
		if tries > 500 {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	<-ended
}

// Callers that come without a pause don't keep the address open: each of them that was there already was taken as it
// closed, and by then there was the next.
func TestCrowdsWithoutAPauseAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGate()
		network := fake.NewNetwork(g.Clock)
		listener := &overload.Listener{
			Clock: g.Clock, Log: g.Log, Gate: g, Address: "10.0.0.1:80", Listen: network.Machine("10.0.0.1").Listen,
		}
		if err := listener.Open(); err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_ = conn.Close()
			}
		}()
		dial := network.Machine("10.0.0.2").Dial
		p.busyFor(2*time.Second, 100*time.Millisecond)
		refused := 0
		for range 10000 {
			conn, err := dial(t.Context(), "tcp", "10.0.0.1:80")
			if err == nil {
				_ = conn.Close()
			} else {
				refused++
			}
			time.Sleep(100 * time.Microsecond)
		}
		if refused < 5000 {
			t.Errorf("%d of 10,000 were refused within a second", refused)
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
	})
}

// While the address is closed, callers are refused at once; it is the same one after that, and closing ends Accept.
func TestLateInstancesRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newGate()
		network := fake.NewNetwork(g.Clock)
		listener := &overload.Listener{
			Clock: g.Clock, Log: g.Log, Gate: g, Address: "10.0.0.1:80", Listen: network.Machine("10.0.0.1").Listen,
		}
		if err := listener.Open(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					ended <- err
					return
				}
				_ = conn.Close()
			}
		}()
		dial := network.Machine("10.0.0.2").Dial
		p.busyFor(time.Second, 100*time.Millisecond)
		refused := 0
		for range 200 {
			conn, err := dial(t.Context(), "tcp", "10.0.0.1:80")
			if err == nil {
				_ = conn.Close()
			} else if errors.Is(err, syscall.ECONNREFUSED) {
				refused++
			} else {
				t.Error(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if refused < 100 || refused > 190 {
			t.Errorf("%d of 200 were refused", refused)
		}
		time.Sleep(3 * time.Second)
		conn, err := dial(t.Context(), "tcp", "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
}
