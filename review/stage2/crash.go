package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	answerTime = 400 * time.Millisecond
	processCnt = 6
	// eachCrash is how many clients send to each machine at once, and resting how many connections of other callers
	// rest at each server; it accepts 100.
	eachCrash = 12
	resting   = 80
	// The servers whose answers may lack a length, the share of these answers, and for how long a server is down, are
	// what the site and the list of kinds allow: a share of 0.5, x = 0.05, and 4.5 s.
	unframedCnt   = 3
	unframedShare = 0.05
	crashDown     = 4500 * time.Millisecond
	crashes       = 12
	// freshFor is how long a new server isn't crashed: it takes much more than its share at first.
	freshFor = 4 * time.Second
)

// crash kills one server in the middle of its answers, twelve times, one after the other. Some of the answers of half
// of the servers have no length.
func crash(s *stage) error {
	zones := []string{"amber", "birch", "cedar", "cedar", "delta", "delta"}
	if err := s.open(zones...); err != nil {
		return err
	}
	for i := range processCnt {
		share := 0.0
		if i < unframedCnt {
			share = unframedShare
		}
		if _, err := s.addProcess(zones[i], share); err != nil {
			return err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	s.note("all machines are ready; %d connections of other callers rest at each server", resting)
	sending, cancel := context.WithCancel(context.Background())
	defer cancel()
	running := s.send(sending, eachCrash)
	time.Sleep(6 * time.Second)
	if err := s.awaitFlow(); err != nil {
		return err
	}
	for range crashes {
		if s.trouble {
			if err := s.crashBusiest(); err != nil {
				return err
			}
		} else {
			time.Sleep(crashDown)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	cancel()
	running.Wait()
	judgeBodies(s)
	s.writeCalls()
	return nil
}

// addProcess starts a server and writes its entry.
func (s *stage) addProcess(zone string, unframed float64) (*process, error) {
	p, err := newProcess(fmt.Sprintf("i-%04d", len(s.processes)+1), "app", zone, answerTime, unframed)
	if err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	if err := p.rest(resting); err != nil {
		return nil, err
	}
	s.store.put("servers", p.id, p.row())
	return p, nil
}

// crashBusiest kills the busiest of the servers that have answers without a length, and starts another in its place
// after a while, under a new id.
func (s *stage) crashBusiest() error {
	p, atWork, unframed := s.busiest()
	p.kill()
	p.down = true
	s.note("server %s has crashed with %d requests at work or more, %d of them without a length", p.id, atWork, unframed)
	time.Sleep(crashDown)
	s.store.drop("servers", p.id)
	_, err := s.addProcess(p.zone, p.unframed)
	return err
}

// busiest returns the server with the most requests that have begun lately, of those whose answers may lack a length;
// their number, and how many of their answers lack one.
func (s *stage) busiest() (busiest *process, most, unframed int) {
	for _, p := range s.processes {
		if p.down || p.unframed == 0 || time.Since(p.started) < freshFor {
			continue
		}
		count, without := 0, 0
		for _, a := range p.all() {
			if time.Since(a.at) >= answerTime*3/4 {
				continue
			}
			count++
			if a.unframed {
				without++
			}
		}
		if busiest == nil || count > most {
			busiest, most, unframed = p, count, without
		}
	}
	return busiest, most, unframed
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
