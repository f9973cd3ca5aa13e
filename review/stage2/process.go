package main

import (
	"bufio"
	"fmt"
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

// bodyOf is the whole body of a server's answer.
func bodyOf(server, id string) string {
	return "begin " + server + " " + id + " end"
}

// serve is a server in a process of its own. Half of the body comes at once, the rest after the time that the work
// takes. Without a length, an answer ends with its connection. Each run is told on standard output.
func serve(id string, work time.Duration, framed bool) error {
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
		go answer(connection, id, work, framed)
	}
}

// answer serves the one request of a connection.
func answer(connection net.Conn, server string, work time.Duration, framed bool) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	id := request.Header.Get("X-Shelfshelf-Request-Id")
	head := "X-Shelfshelf-Request-Id: " + id + "\r\n"
	if request.Header.Get("X-Shelfshelf-Expect-Instance") != server {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\n%sX-Shelfshelf-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", head, server)
		return
	}
	fmt.Println("run", id)
	body := bodyOf(server, id)
	if framed {
		head += "Connection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
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
	command *exec.Cmd
	// resting are connections of other callers.
	resting []net.Conn

	mu   sync.Mutex
	runs []arrival
}

// newProcess starts a server; framed says that its answers have a length.
func newProcess(id, service, zone string, work time.Duration, framed bool) (*process, error) {
	p := &process{id: id, service: service, zone: zone}
	p.command = exec.Command(os.Args[0], "serve", id, work.String(), strconv.FormatBool(framed))
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
		p.mu.Lock()
		p.runs = append(p.runs, arrival{id: strings.TrimPrefix(lines.Text(), "run "), server: p.id, at: time.Now()})
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
