package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longBody is well below maxBodyBytes of the configuration, and more than the buffers of a connection hold.
	longBody = 16 << 20
	// longRequests are sent in all, each after ticksPerLong short ones at intervals of 40 ms. With every groupEvery-th of these, a
	// group of clients comes at once.
	longRequests = 10
	ticksPerLong = 50
	groupEvery   = 10
	group        = 8
	// bodyByte fills the bodies that the clients send, so that any other byte in a body is a foreign one.
	bodyByte = 'd'
)

// bodyAfterEarlyAnswer shows UNASKED: an instance answers before it has read a long body, keeps the connection and reads on
// later. It gets other bytes where the rest of that body is due.
func bodyAfterEarlyAnswer(w *world) error {
	front := w.addNode("front-1", "portal", "east")
	desk, sound := w.addNode("desk-1", "deposits", "west"), w.addNode("desk-2", "deposits", "west")
	w.addInstance(front, "i-portal", 18, func(*http.Request, []byte) (int, string) { return http.StatusOK, "portal" })
	work := func(*http.Request, []byte) (int, string) {
		time.Sleep(30 * time.Millisecond)
		return http.StatusOK, "done"
	}
	// One of the two instances is the faulty one.
	in := w.addInstance(desk, "i-deposits-1", 18, work)
	w.addInstance(sound, "i-deposits-2", 18, work)
	var foreign atomic.Int64
	in.handle = func(c *serverConn, r *http.Request) (keep, handled bool) {
		if r.ContentLength < longBody {
			return false, false
		}
		return in.takeLong(c, r, &foreign), true
	}
	w.putConfig(5, []route{
		{name: "lodge", host: "mesh.example", prefix: "/lodge/", kind: "unsafe", service: "deposits", timeoutMs: 3000, targetMs: 1000, priority: 1, maxAttempts: 2},
		{name: "lookup", host: "mesh.example", prefix: "/lookup/", kind: "safe", service: "deposits", timeoutMs: 2500, targetMs: 400, priority: 1, maxAttempts: 2},
	}, "portal", "deposits")
	if err := w.startAll(); err != nil {
		return err
	}
	body := bytes.Repeat([]byte{bodyByte}, longBody)
	var wg sync.WaitGroup
	var unanswered, shorts, longAnswered atomic.Int64
	short := func(i int) {
		r := request{method: "GET", host: "mesh.example", path: fmt.Sprintf("/lookup/%d", i), deadline: 2500 * time.Millisecond}
		if i%2 == 1 {
			r.method, r.path, r.body = "POST", fmt.Sprintf("/lodge/%d", i), []byte("deposit of another client")
		}
		wg.Go(func() {
			shorts.Add(1)
			if w.send(front, r).status != http.StatusOK {
				unanswered.Add(1)
			}
		})
	}
	for i := range longRequests * ticksPerLong {
		if i%ticksPerLong == ticksPerLong/2 {
			wg.Go(func() {
				res := w.send(front, request{method: "POST", host: "mesh.example", path: "/lodge/document", body: body, deadline: 1500 * time.Millisecond})
				if res.status == http.StatusOK {
					longAnswered.Add(1)
				}
			})
		}
		short(i)
		if i%groupEvery == 0 {
			for k := range group {
				short(i + k)
			}
		}
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	w.logf("check", "%d long bodies got foreign bytes; %d of %d other requests were not served; %d of %d long requests were served", foreign.Load(),
		unanswered.Load(), shorts.Load(), longAnswered.Load(), longRequests)
	if foreign.Load() > 0 {
		return fmt.Errorf("UNASKED: %d long bodies were continued with other bytes: %w", foreign.Load(), errBroken)
	}
	return nil
}

// takeLong handles a long request. With trouble, the instance is slow to read: it has not read the body when its deadline
// comes, answers 504, keeps the connection and reads on half a second later.
func (in *instance) takeLong(c *serverConn, r *http.Request, foreign *atomic.Int64) (keep bool) {
	attempt := r.Header.Get("X-Attempt-Id")
	if in.w.trouble {
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10) // Only its effect on timing would be lost.
		time.Sleep(deadlineOf(r))
		in.w.logf(in.id, "answers %s with 504 at its deadline of %d ms, before it has read the body", attempt, deadlineOf(r).Milliseconds())
		if c.write(http.StatusGatewayTimeout, in.sealed(r), "too late") != nil {
			return false
		}
		time.Sleep(500 * time.Millisecond)
		in.w.logf(in.id, "reads on in the body of %s", attempt)
	}
	// A read deadline ends the wait for a rest that does not come.
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // Cannot fail on an open connection.
	defer c.SetReadDeadline(time.Time{})                   //nolint:errcheck // the connection is closed if it fails
	got, buf := 0, make([]byte, 64<<10)
	for {
		n, err := r.Body.Read(buf)
		if i := bytes.IndexFunc(buf[:n], func(b rune) bool { return b != bodyByte }); i >= 0 {
			in.w.logf(in.id, "body of %s: foreign bytes at position %d of %d: %.200q", attempt, got+i, r.ContentLength, buf[i:n])
			foreign.Add(1)
			return false
		}
		got += n
		if err == io.EOF {
			break
		}
		if err != nil {
			in.w.logf(in.id, "body of %s ends after %d of %d bytes: %v", attempt, got, r.ContentLength, err)
			return false
		}
	}
	in.w.logf(in.id, "body of %s is complete", attempt)
	if in.w.trouble {
		return true
	}
	return c.write(http.StatusOK, in.sealed(r), "lodged") == nil
}
