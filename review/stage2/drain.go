package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// lingering is how long a server serves beyond DrainMs, and work how long a request takes.
	lingering = 400 * time.Millisecond
	work      = 120 * time.Millisecond
	serverCnt = 8
	perSender = 6
)

// leaving is a server that said that it drains.
type leaving struct {
	server *server
	acked  time.Time
}

// world starts six machines in four zones and the servers, and has clients send for a while.
func world(ctx context.Context, s *stage) (stop func(), err error) {
	zones := []string{"amber", "birch", "cedar", "cedar", "delta", "delta"}
	if err := s.open(zones...); err != nil {
		return nil, err
	}
	for i := range serverCnt {
		if _, err := s.addServer(zones[i%len(zones)], work); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	s.note("all machines are ready")
	sending, cancel := context.WithCancel(ctx)
	running := s.send(sending, perSender)
	stop = func() {
		cancel()
		running.Wait()
	}
	time.Sleep(6 * time.Second)
	return stop, s.awaitFlow()
}

// replace starts a new server and has an old one drain half a second later, as a release does, and end after its time.
func replace(s *stage, old *server) (leaving, error) {
	fresh, err := s.addServer(old.zone, work)
	if err != nil {
		return leaving{}, err
	}
	s.note("%s is ready in the place of %s", fresh.id, old.id)
	time.Sleep(500 * time.Millisecond)
	return drain(s, old, lingering), nil
}

// drain has a server say that it drains, serve on for DrainMs and a little longer, and end.
func drain(s *stage, old *server, longer time.Duration) leaving {
	old.leaves.Store(true)
	gone := leaving{server: old, acked: s.store.put("servers", old.id, old.row("draining"))}
	s.noteAt(gone.acked, "%s is draining: acknowledged by the store", old.id)
	time.AfterFunc(drainBound+longer, func() {
		s.store.drop("servers", old.id)
		s.note("%s ends", old.id)
		old.end()
	})
	return gone
}

// judge counts the requests that machines in touch took and that reached a draining server too late. A machine is in
// touch for requests that were sent to it from a moment on.
func judge(s *stage, gone []leaving, inTouch func(machine string, sent time.Time) bool) {
	calls := make(map[string]call)
	for _, one := range s.clients.all() {
		calls[one.id] = one
	}
	lost := 0
	for _, l := range gone {
		for _, a := range l.server.all() {
			late := a.at.Sub(l.acked)
			one, known := calls[a.id]
			if !known || late <= drainBound || !inTouch(one.machine, one.sent) {
				continue
			}
			s.broken++
			outcome := "answered"
			if one.status != 200 {
				lost++
				outcome = "lost"
			}
			s.noteAt(a.at, "DRAIN: %s, sent to %s at %.3f s, reaches %s %d ms after its leaving was acknowledged (bound %d ms); %s with %d", a.id, one.machine,
				one.sent.Sub(s.began).Seconds(), a.server, late.Milliseconds(), drainBound.Milliseconds(), outcome, one.status)
		}
	}
	answers := make(map[int]int)
	for _, one := range calls {
		answers[one.status]++
	}
	s.note("%d requests by status %v; %d reached a leaving server too late, %d of them were not answered with success", len(calls), answers, s.broken, lost)
}

// leaders cuts the machines of the two zones that come first by name off from the store during a release.
func leaders(s *stage) error {
	stop, err := world(context.Background(), s)
	if err != nil {
		return err
	}
	var gone []leaving
	for i, old := range append([]*server(nil), s.servers[:3]...) {
		if i == 1 && s.trouble {
			time.AfterFunc(200*time.Millisecond, func() { cutFromStore(s, s.machines[:2], 5500*time.Millisecond) })
		}
		l, err := replace(s, old)
		if err != nil {
			return err
		}
		gone = append(gone, l)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	stop()
	judge(s, gone, func(machine string, _ time.Time) bool {
		return machine != s.machines[0].name && machine != s.machines[1].name
	})
	s.writeCalls()
	return nil
}

// cutFromStore partitions machines from the store for a while.
func cutFromStore(s *stage, cut []*machine, within time.Duration) {
	for _, m := range cut {
		m.store.cut()
		s.note("%s is partitioned from the store", m.name)
	}
	time.Sleep(within)
	for _, m := range cut {
		if err := m.store.mend(); err != nil {
			s.fail(fmt.Errorf("the link of %s did not come back: %w", m.name, err))
		}
	}
	s.note("they reach the store again")
}

// silence has all open connections to the store go silent; new ones work.
func silence(s *stage) error {
	stop, err := world(context.Background(), s)
	if err != nil {
		return err
	}
	// A server is added, so that those that wait for changes of the list have just begun to.
	if _, err := s.addServer("cedar", work); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	if s.trouble {
		for _, m := range s.machines {
			m.store.silence()
		}
		s.note("all open connections to the store are silent; new ones work")
	}
	var gone []leaving
	for _, old := range append([]*server(nil), s.servers[:2]...) {
		time.Sleep(475 * time.Millisecond)
		gone = append(gone, drain(s, old, 600*time.Millisecond))
	}
	time.Sleep(6 * time.Second)
	stop()
	judge(s, gone, func(_ string, sent time.Time) bool { return !s.trouble || sent.Sub(at) > contact })
	s.writeCalls()
	return nil
}
