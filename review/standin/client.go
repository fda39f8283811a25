package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is one client attempt.
type request struct {
	method, host, path string
	header             map[string]string
	body               []byte
	deadline           time.Duration
}

// result is what the client has seen of an attempt. A status of 0 means no complete answer.
type result struct {
	id         string
	status     int
	sealed     bool
	retryAfter time.Duration
	body       []byte
	err        error
	took       time.Duration
}

// clientTransfer is how long a client waits beyond the deadline that it names, for the transfer of the answer.
const clientTransfer = 100 * time.Millisecond

// caller is a client that keeps its connection to a node.
type caller struct {
	w    *world
	node *node
	conn net.Conn
	br   *bufio.Reader
}

// send makes one attempt at a node over a new connection.
func (w *world) send(n *node, r request) result {
	c := &caller{w: w, node: n}
	defer c.close()
	return c.send(r)
}

// send makes one attempt.
func (c *caller) send(r request) result {
	res := result{id: fmt.Sprintf("%016x", rand.Uint64())}
	start := time.Now()
	c.w.logf("client", "sends %s at %s: %s %s (%d bytes, deadline %d ms)", res.id, c.node.name, r.method, r.path, len(r.body), r.deadline.Milliseconds())
	keep := false
	if keep, res.err = c.exchange(r, &res); !keep {
		c.close()
	}
	res.took = time.Since(start)
	c.w.logf("client", "gets %s: status %d, sealed %v, after %d ms, error %v", res.id, res.status, res.sealed, res.took.Milliseconds(), res.err)
	return res
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends the request and reads the answer. It reports whether the connection may be used again.
func (c *caller) exchange(r request, res *result) (keep bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.node.addr(portOutbound), time.Second); err != nil {
			return false, err
		}
		c.br = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + clientTransfer)) // Cannot fail on an open connection.
	if _, err := c.conn.Write(r.encode(res.id)); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return false, err
	}
	if res.body, err = io.ReadAll(resp.Body); err != nil {
		return false, err
	}
	res.status, res.sealed = resp.StatusCode, resp.Header.Get("X-Server-Seal") != ""
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	res.retryAfter = time.Duration(seconds * float64(time.Second))
	return !resp.Close, nil
}

func (r request) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, id, r.deadline.Milliseconds())
	for k, v := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}
