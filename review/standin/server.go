package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// instance is a stand-in for an application instance beside a node.
type instance struct {
	w     *world
	node  *node
	id    string
	slots int
	// work runs a request that the instance has accepted and returns the status and the body of its answer. The request's
	// body has been read.
	work func(r *http.Request, body []byte) (status int, answer string)
	// handle, if set, handles a request in place of work and writes the answer itself. It reports whether the connection
	// stays open.
	handle func(c *serverConn, r *http.Request) (keep, handled bool)
	// holdHeartbeat, if set, returns how long the heartbeat is held up on its way.
	holdHeartbeat func(sequence int64) time.Duration

	born     int64
	sequence atomic.Int64
	mu       sync.Mutex
	state    string
	stopped  chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
}

// serverConn is a connection that the instance has accepted.
type serverConn struct {
	net.Conn
	br *bufio.Reader
}

func (w *world) addInstance(n *node, id string, slots int, work func(*http.Request, []byte) (int, string)) *instance {
	in := &instance{w: w, node: n, id: id, slots: slots, work: work, state: "ready", stopped: make(chan struct{}), conns: make(map[net.Conn]bool)}
	w.instances = append(w.instances, in)
	return in
}

func (in *instance) listen() error {
	in.born = time.Now().UnixMilli()
	ln, err := net.Listen("tcp", in.node.addr(portApp))
	if err != nil {
		return err
	}
	in.listener = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go in.serve(c)
		}
	}()
	return nil
}

func (in *instance) currentState() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state
}

func (in *instance) serve(nc net.Conn) {
	c := &serverConn{Conn: nc, br: bufio.NewReader(nc)}
	in.mu.Lock()
	in.conns[nc] = true
	in.mu.Unlock()
	defer func() {
		_ = nc.Close()
		in.mu.Lock()
		delete(in.conns, nc)
		in.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			status := http.StatusOK
			if in.currentState() != "ready" {
				status = http.StatusServiceUnavailable
			}
			if c.write(status, map[string]string{"X-Instance-Id": in.id}, "") != nil {
				return
			}
			continue
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != in.id {
			if c.write(http.StatusMisdirectedRequest, map[string]string{"X-Instance-Id": in.id, "X-Not-Executed": "1",
				"X-Attempt-Id": r.Header.Get("X-Attempt-Id")}, "") != nil {
				return
			}
			continue
		}
		if in.handle != nil {
			if keep, handled := in.handle(c, r); handled && keep {
				continue
			} else if handled {
				return
			}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		in.w.logf(in.id, "runs %s %s %s", attempt, r.Method, r.URL.Path)
		status, text := in.work(r, body)
		in.w.logf(in.id, "answers %s with %d", attempt, status)
		if c.write(status, in.sealed(r), text) != nil {
			return
		}
	}
}

// sealed returns the headers of an answer of the instance.
func (in *instance) sealed(r *http.Request) map[string]string {
	return map[string]string{"X-Attempt-Id": r.Header.Get("X-Attempt-Id"), "X-Server-Seal": in.id + "." + r.Header.Get("X-Attempt-Id"),
		"X-Instance-Id": in.id}
}

func (c *serverConn) write(status int, header map[string]string, body string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.Write(b.Bytes())
	return err
}

// heartbeats announces the instance until stopped is closed.
func (in *instance) heartbeats() {
	for {
		sequence := in.sequence.Add(1)
		body := in.announcement(sequence)
		hold := time.Duration(0)
		if in.holdHeartbeat != nil {
			hold = in.holdHeartbeat(sequence)
		}
		in.w.logf(in.id, "heartbeat %d sent: %s", sequence, in.currentState())
		go func() {
			time.Sleep(hold)
			acked := in.call("instances.heartbeat", body)
			in.w.logf(in.id, "heartbeat %d arrived %d ms after it was sent, acknowledged %v", sequence, hold.Milliseconds(), acked)
		}()
		select {
		case <-time.After(heartbeatInterval):
		case <-in.stopped:
			return
		}
	}
}

func (in *instance) announcement(sequence int64) string {
	body, _ := json.Marshal(map[string]any{"service": in.node.service, "address": in.node.addr(portApp), "zone": in.node.zone, "version": "v1",
		"slots": in.slots, "state": in.currentState(), "coldLeftMs": 0, "sequence": sequence, "born": in.born}) // Cannot fail.
	return string(body)
}

// call sends an announcement to the node and reports whether it was acknowledged within a second.
func (in *instance) call(name, body string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+in.node.addr(portControl)+"/rpc?call="+name+"&of="+in.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// deregister announces the departure first, without a drain, and reports whether it was acknowledged. The instance sends
// no heartbeats any more and goes on serving.
func (in *instance) deregister() bool {
	in.mu.Lock()
	in.state = "leaving"
	in.mu.Unlock()
	close(in.stopped)
	body, _ := json.Marshal(map[string]any{"born": in.born}) // Cannot fail.
	return in.call("instances.deregister", string(body))
}

// exit ends the instance: it accepts no connections, and those that it has are closed.
func (in *instance) exit() {
	_ = in.listener.Close() // Fails only if it is closed.
	in.mu.Lock()
	defer in.mu.Unlock()
	for c := range in.conns {
		_ = c.Close()
	}
	in.w.logf(in.id, "exits")
}

// deadlineOf returns how long the instance may work on a request.
func deadlineOf(r *http.Request) time.Duration {
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	return time.Duration(ms) * time.Millisecond
}
