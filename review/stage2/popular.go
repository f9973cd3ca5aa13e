package main

import (
	"context"
	"fmt"
	"time"
)

const (
	boardServers = 18
	boardWork    = 1200 * time.Millisecond
	boardSenders = 8
	// crashGap is the time between two crashes.
	crashGap = 2 * time.Millisecond
	// downFor is how long the servers are down, and after how long the requests that are sent later are looked at.
	downFor   = 4500 * time.Millisecond
	afterwork = 40 * time.Second
)

// popular crashes all servers of a service at once, while they run the requests of many clients for the same page, and
// has them start again. Another service goes on.
func popular(s *stage) error {
	zones := []string{"amber", "birch", "cedar", "cedar", "delta", "delta"}
	if err := s.open(zones...); err != nil {
		return err
	}
	for i := range 4 {
		if _, err := s.addServer(zones[i], 50*time.Millisecond); err != nil {
			return err
		}
	}
	if err := s.startBoard("first", zones); err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	s.note("all machines are ready")
	sending, cancel := context.WithCancel(context.Background())
	defer cancel()
	others := s.send(sending, 3)
	for _, m := range s.machines {
		for range boardSenders {
			others.Go(func() { s.clients.run(sending, m, "GET", boardPath, 100*time.Millisecond, 3*time.Second) })
		}
	}
	time.Sleep(5 * time.Second)
	if err := s.awaitFlow(); err != nil {
		return err
	}
	if s.trouble {
		first := s.processes
		for _, p := range first {
			_ = p.command.Process.Kill()
			time.Sleep(crashGap)
		}
		s.note("all %d servers of the service have crashed", len(first))
		time.Sleep(downFor)
		for _, p := range first {
			s.store.drop("servers", p.id)
		}
		if err := s.startBoard("second", zones); err != nil {
			return err
		}
		s.note("%d servers of the service are back, under new ids", boardServers)
	}
	time.Sleep(afterwork)
	cancel()
	others.Wait()
	judgeStarved(s)
	s.writeCalls()
	return nil
}

// startBoard starts the servers of the service.
func (s *stage) startBoard(name string, zones []string) error {
	for i := range boardServers {
		p, err := newProcess(fmt.Sprintf("i-%s-%02d", name, i), "board", zones[i%len(zones)], boardWork, 0)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		s.store.put("servers", p.id, p.row())
	}
	return nil
}

// judgeStarved compares how often a kind of request was served with how often all were.
func judgeStarved(s *stage) {
	sent, served := make(map[string]int), make(map[string]int)
	answers := make(map[string]map[int]int)
	all, allServed := 0, 0
	for _, one := range s.clients.all() {
		if answers[one.path] == nil {
			answers[one.path] = make(map[int]int)
		}
		answers[one.path][one.status]++
		sent[one.path]++
		all++
		if one.status == 200 && one.failure == "" {
			served[one.path]++
			allServed++
		}
	}
	share := float64(allServed) / float64(all)
	for path, count := range sent {
		own := float64(served[path]) / float64(count)
		s.note("%s: %d of %d served (%.3f), by status %v; of all %.3f", path, served[path], count, own, answers[path], share)
		if own < share/4 {
			s.broken++
			s.note("Starved: %s is served less than a quarter as often as all requests are", path)
		}
	}
}
