package main

import (
	"context"
	"strings"
	"time"
)

const (
	answerTime = 400 * time.Millisecond
	processCnt = 6
	// eachSender is how many clients send to each machine at once, and resting how many connections of other callers
	// rest at each server; it accepts 100.
	eachSender = 6
	resting    = 80
)

// crash kills one server in the middle of its answers. The answers have no length.
func crash(s *stage) error {
	zones := []string{"amber", "birch", "cedar", "cedar", "delta", "delta"}
	if err := s.open(zones...); err != nil {
		return err
	}
	for i := range processCnt {
		p, err := newProcess("i-000"+string(rune('1'+i)), "app", zones[i], answerTime, false)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.rest(resting); err != nil {
			return err
		}
		s.store.put("servers", p.id, p.row())
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	s.note("all machines are ready; %d connections of other callers rest at each server", resting)
	sending, cancel := context.WithCancel(context.Background())
	running := s.send(sending, eachSender)
	time.Sleep(6 * time.Second)
	if s.trouble {
		p, atWork := s.busiest()
		p.kill()
		s.note("server %s has crashed with %d requests at work or more", p.id, atWork)
	}
	time.Sleep(4 * time.Second)
	cancel()
	running.Wait()
	judgeBodies(s)
	s.writeCalls()
	return nil
}

// busiest returns the server with the most requests that have begun lately, and their number.
func (s *stage) busiest() (busiest *process, most int) {
	for _, p := range s.processes {
		count := 0
		for _, a := range p.all() {
			if time.Since(a.at) < answerTime*3/4 {
				count++
			}
		}
		if busiest == nil || count > most {
			busiest, most = p, count
		}
	}
	return busiest, most
}

// judgeBodies counts the successes whose body isn't the server's whole body, although they looked complete.
func judgeBodies(s *stage) {
	answers := make(map[int]int)
	for _, one := range s.clients.all() {
		answers[one.status]++
		server, _, _ := strings.Cut(one.signed, ".")
		if one.status != 200 || one.failure != "" || one.body == bodyOf(server, one.id) {
			continue
		}
		s.broken++
		s.noteAt(one.ended, "MIXED: %s, sent to %s at %.3f s, has 200 with the signature %s and, complete by its length, the body %q; the server's whole body is %q",
			one.id, one.machine, one.sent.Sub(s.began).Seconds(), one.signed, one.body, bodyOf(server, one.id))
	}
	s.note("%d requests by status %v; %d successes without the server's whole body", len(s.clients.all()), answers, s.broken)
}
