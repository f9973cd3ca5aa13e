package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runFields is how many words a server says of a run.
const runFields = 3

// bodyOf is the whole body of a server's answer.
func bodyOf(server, id string) string {
	return "begin " + server + " " + id + " end"
}

// serve is a server in a process of its own. Half of the body comes at once, the rest after the time that the work
// takes. A share of the answers lacks a length and ends with its connection. Each run is told on standard output.
func serve(id string, work time.Duration, unframed float64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println("address", listener.Addr())
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go answerAll(connection, id, work, unframed)
	}
}

// answerAll serves the requests of a connection, one after the other.
func answerAll(connection net.Conn, server string, work time.Duration, unframed float64) {
	defer func() { _ = connection.Close() }()
	for reader := bufio.NewReader(connection); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		framed := rand.Float64() >= unframed
		answer(connection, request, server, work, framed)
		if !framed {
			return
		}
	}
}

// answer serves one request.
func answer(connection net.Conn, request *http.Request, server string, work time.Duration, framed bool) {
	if request.URL.Path == healthPath {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Shelfshelf-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", server)
		return
	}
	id := request.Header.Get("X-Shelfshelf-Request-Id")
	head := "X-Shelfshelf-Request-Id: " + id + "\r\n"
	if request.Header.Get("X-Shelfshelf-Expect-Instance") != server {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\n%sX-Shelfshelf-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", head, server)
		return
	}
	kind := "whole"
	body := bodyOf(server, id)
	if framed {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	} else {
		kind = "unframed"
		head += "Connection: close\r\n"
	}
	fmt.Println("run", id, kind)
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sX-Shelfshelf-Response-Signature: %s.%s\r\n\r\n%s", head, server, id, body[:len(body)/2])
	time.Sleep(work)
	_, _ = fmt.Fprint(connection, body[len(body)/2:])
}

// process is such a server as the case sees it.
type process struct {
	id      string
	service string
	zone    string
	address string
	// unframed is the share of answers without a length.
	unframed float64
	command  *exec.Cmd
	started  time.Time
	// down says that it was killed.
	down bool
	// resting are connections of other callers.
	resting []net.Conn

	mu   sync.Mutex
	runs []arrival
}

// newProcess starts a server; unframed is the share of its answers without a length.
func newProcess(id, service, zone string, work time.Duration, unframed float64) (*process, error) {
	p := &process{id: id, service: service, zone: zone, unframed: unframed, started: time.Now()}
	p.command = exec.Command(os.Args[0], "serve", id, work.String(), strconv.FormatFloat(unframed, 'f', -1, 64))
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s told no address", id)
	}
	p.address = strings.TrimPrefix(lines.Text(), "address ")
	go p.read(lines)
	return p, nil
}

// read notes the runs that the process tells.
func (p *process) read(lines *bufio.Scanner) {
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != runFields {
			continue
		}
		p.mu.Lock()
		p.runs = append(p.runs, arrival{id: fields[1], server: p.id, at: time.Now(), unframed: fields[2] == "unframed"})
		p.mu.Unlock()
	}
}

// rest opens connections on which nothing is sent.
func (p *process) rest(count int) error {
	for range count {
		connection, err := net.Dial("tcp", p.address)
		if err != nil {
			return err
		}
		p.resting = append(p.resting, connection)
	}
	return nil
}

// row is the server's entry in the store.
func (p *process) row() map[string]any {
	return map[string]any{
		"Service": p.service, "Address": p.address, "Zone": p.zone, "Version": "v1", "Slots": 16, "State": "ready", "ColdMs": 0, "Sequence": 1,
	}
}

// kill ends the process.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// all returns what has run.
func (p *process) all() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.runs...)
}
