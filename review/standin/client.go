package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	id     string
	status int
	sealed bool
	body   []byte
	err    error
	took   time.Duration
}

// clientTransfer is how long a client waits beyond the deadline that it names, for the transfer of the answer.
const clientTransfer = 100 * time.Millisecond

// send makes one attempt at a node over a new connection.
func (w *world) send(n *node, r request) result {
	res := result{id: fmt.Sprintf("%016x", rand.Uint64())}
	start := time.Now()
	w.logf("client", "sends %s at %s: %s %s (%d bytes, deadline %d ms)", res.id, n.name, r.method, r.path, len(r.body), r.deadline.Milliseconds())
	res.status, res.sealed, res.body, res.err = exchange(n, r, res.id)
	res.took = time.Since(start)
	w.logf("client", "gets %s: status %d, sealed %v, after %d ms, error %v", res.id, res.status, res.sealed, res.took.Milliseconds(), res.err)
	return res
}

func exchange(n *node, r request, id string) (status int, sealed bool, body []byte, err error) {
	c, err := net.DialTimeout("tcp", n.addr(portOutbound), time.Second)
	if err != nil {
		return 0, false, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline + clientTransfer)) // Cannot fail on an open connection.
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
	if _, err := c.Write(b.Bytes()); err != nil {
		return 0, false, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return 0, false, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, false, nil, err
	}
	return resp.StatusCode, resp.Header.Get("X-Server-Seal") != "", body, nil
}
