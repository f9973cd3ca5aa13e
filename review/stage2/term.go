package main

import (
	"context"
	"syscall"
	"time"
)

const (
	grace    = 8 * time.Second
	termWork = 700 * time.Millisecond
)

// term stops one machine as the platform does; the trouble is a second SIGTERM one second later.
func term(s *stage) error {
	zones := []string{"amber", "birch", "cedar"}
	if err := s.open(zones...); err != nil {
		return err
	}
	for i := range serverCnt {
		if _, err := s.addServer(zones[i%len(zones)], termWork); err != nil {
			return err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	s.note("all machines are ready")
	sending, cancel := context.WithCancel(context.Background())
	running := s.send(sending, perSender)
	time.Sleep(5 * time.Second)
	if err := s.awaitFlow(); err != nil {
		cancel()
		return err
	}
	stopped := s.machines[1]
	began := time.Now()
	stopped.signal(syscall.SIGTERM)
	s.note("SIGTERM to %s", stopped.name)
	if s.trouble {
		time.Sleep(time.Second)
		stopped.signal(syscall.SIGTERM)
		s.note("a second SIGTERM to %s", stopped.name)
	}
	select {
	case <-stopped.ended:
	case <-time.After(time.Until(began.Add(grace))):
		stopped.signal(syscall.SIGKILL)
	}
	s.note("%s has ended, %.3f s after the first", stopped.name, time.Since(began).Seconds())
	cancel()
	running.Wait()
	judgeLost(s, stopped, began)
	s.writeCalls()
	return nil
}

// judgeLost counts the requests to a stopping machine that had reached a server and whose connection ended without an
// answer, although the server was sound and the time was not over.
func judgeLost(s *stage, stopped *machine, began time.Time) {
	runs := make(map[string]arrival)
	for _, server := range s.servers {
		for _, a := range server.all() {
			runs[a.id] = a
		}
	}
	answers := make(map[int]int)
	for _, one := range s.clients.all() {
		if one.machine != stopped.name {
			continue
		}
		answers[one.status]++
		run, ran := runs[one.id]
		excused := one.ended.After(began.Add(grace*5/6)) || one.ended.Sub(one.sent) > 1500*time.Millisecond
		if one.failure == "" || !ran || excused || one.ended.After(began.Add(grace+time.Second)) {
			continue
		}
		s.broken++
		s.noteAt(one.ended, "LOST: %s, sent to %s at %.3f s, runs at %s since %.3f s; the connection ends without an answer: %s", one.id, one.machine,
			one.sent.Sub(s.began).Seconds(), run.server, run.at.Sub(s.began).Seconds(), one.failure)
	}
	s.note("requests to the machine that stops by status %v (0: no answer, most of them refused connections after its end); %d lost", answers, s.broken)
}
