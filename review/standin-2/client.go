package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt and what became of it.
type request struct {
	id, method, path string
	from             *vm
	sent             time.Time
	// whole is set when all bytes of the request were accepted by the connection.
	whole bool
	// status is that of a complete answer, or zero.
	status int
	seal   string
	err    error
	ended  time.Time
}

// client sends requests to the outbound address of its VM on a connection that it keeps. It closes the connection only when
// an answer says so or when the connection fails.
type client struct {
	w    *world
	vm   *vm
	host string
	conn net.Conn
	br   *bufio.Reader
}

const idDigits = 16

func newID() string { return fmt.Sprintf("%0*x", idDigits, rand.Uint64()) }

// do sends a request and waits for its answer until the deadline.
func (c *client) do(method, path, body string, deadline time.Duration) *request {
	r := &request{id: newID(), method: method, path: path, from: c.vm, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.vm.address(portOutbound), time.Second)
		if err != nil {
			r.err = err
			return r
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
		r.sent = time.Now()
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, c.host, r.id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = c.conn.SetDeadline(r.sent.Add(deadline)) // Fails only on a closed connection.
	if _, r.err = io.WriteString(c.conn, head+"\r\n"+body); r.err != nil {
		c.close()
		return r
	}
	r.whole = true
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.status, r.seal = resp.StatusCode, resp.Header.Get("X-Server-Seal")
	if resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
	}
	return r
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (r *request) String() string {
	end := fmt.Sprintf("answered %d seal %q", r.status, r.seal)
	if r.status == 0 {
		end = fmt.Sprintf("not answered: %v", r.err)
	}
	return fmt.Sprintf("request %s %s %s to %s, %s after %d ms", r.id, r.method, r.path, r.from.name, end, r.ended.Sub(r.sent).Milliseconds())
}
