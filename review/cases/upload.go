package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uploadTime is how long a client takes to send a body, in uploadPieces pieces; its deadline is 12 s.
	uploadTime     = 8 * time.Second
	uploadPieces   = 16
	uploadDeadline = 12 * time.Second
	// revokeDelay is how long after the uploads have begun the key is taken away.
	revokeDelay = 500 * time.Millisecond
)

// playUpload takes a key away while clients are sending bodies with it, and looks for requests that were sent to
// their end later than the bound after the acknowledgement and that a target ran all the same.
func playUpload(w *world) (bool, error) {
	err := w.configure(map[string][]string{"lehu": {"key-1"}, "sese": {"key-2"}})
	if err == nil {
		err = w.addTargets(func(string, int) []string { return nil })
	}
	if err == nil {
		err = w.addNodes()
	}
	if err != nil {
		return false, err
	}
	var uploads []*reply
	var running sync.WaitGroup
	for i, n := range w.nodes {
		r := &reply{id: fmt.Sprintf("%016x", 0xb0d1<<32+i), path: "/candidature/1", node: n}
		uploads = append(uploads, r)
		running.Add(1)
		go func() {
			defer running.Done()
			w.upload(r, "key-1")
		}()
	}
	time.Sleep(revokeDelay)
	if w.trouble {
		if err := w.configure(map[string][]string{"lehu": {"key-3"}, "sese": {"key-2"}}); err != nil {
			return false, err
		}
		w.note("the store acknowledged the configuration that takes key-1 away")
	}
	acknowledged := time.Now()
	running.Wait()
	for i, n := range w.nodes {
		r := &reply{id: fmt.Sprintf("%016x", 0xcec5<<32+i), path: "/candidature/1", node: n}
		w.upload(r, "key-1")
	}
	// The last lines of the targets are on their way.
	time.Sleep(200 * time.Millisecond)
	return w.judgeUpload(uploads, acknowledged), nil
}

// slowBody is a body that is sent piece by piece.
type slowBody struct {
	pieces int
	pause  time.Duration
	ended  func()
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	if b.pieces == 0 {
		b.ended()
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.pieces--
	return copy(buffer, strings.Repeat("x", 40)), nil
}

// upload sends one request: one of the uploads slowly, any other at once.
func (w *world) upload(r *reply, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), uploadDeadline)
	defer cancel()
	body := &slowBody{pieces: uploadPieces, pause: uploadTime / uploadPieces, ended: func() { r.lastByteAt = time.Now() }}
	if strings.HasPrefix(r.id, "0000cec5") {
		body.pause = 0
	}
	request, err := newRequest(ctx, r, key, uploadDeadline, body)
	if err != nil {
		r.err = errors.Join(r.err, err)
		return
	}
	transport := &http.Transport{DisableKeepAlives: true}
	r.sentAt = time.Now()
	w.note("client begins to send %s to %s with %s", r.id, r.node.name, key)
	r.receive(transport, request)
	w.note("client got for %s, whose last byte was sent after %.3f s: status %d, signature %q, end of connection %v",
		r.id, r.lastByteAt.Sub(r.sentAt).Seconds(), r.status, r.signature, r.err)
}

// judgeUpload looks for uploads whose last byte was sent later than the bound after the acknowledgement and that ran.
func (w *world) judgeUpload(uploads []*reply, acknowledged time.Time) bool {
	broken, ran := 0, 0
	for _, r := range uploads {
		runs := w.runsOf(r.id)
		if len(runs) == 0 {
			continue
		}
		ran++
		if late := r.lastByteAt.Sub(acknowledged); w.trouble && late > revokeBound {
			broken++
			w.note("BROKEN: %s: its last byte was sent %.3f s after the acknowledgement, and %s ran it for tenant %q", r.id, late.Seconds(), runs[0].Target, runs[0].Tenant)
		}
	}
	w.note("%d uploads, %d run, %d of them too late", len(uploads), ran, broken)
	return broken > 0
}
