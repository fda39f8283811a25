package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a response whose head broke off and that counts as whole, with an empty or short body: the server stops at any
// byte of the head, or of the body, and closes the connection.
func TestResponseCutAtAnyByteIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		// wholeFrom is the number of bytes from which on the response is whole.
		wholeFrom int
	}{
		"length":             {response: "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Server-Seal: s\r\nContent-Length: 12\r\n\r\nwhole answer"},
		"no body":            {response: "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"},
		"length comes last":  {response: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Server-Seal: s\r\nX-Id: a\r\n\r\nw"},
		"chunks":             {response: "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n"},
		"chunks and trailer": {response: "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"},
		"folded line":        {response: "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Server-Seal: s\r\n  and more\r\nContent-Length: 5\r\n\r\nwhole"},
		"bare line feeds":    {response: "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 5\n\nwhole"},
		"after an interim":   {response: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole"},
		"no length":          {response: "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole", wholeFrom: len("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			wholeFrom := c.wholeFrom
			if wholeFrom == 0 {
				wholeFrom = len(c.response)
			}
			for n := 0; n <= len(c.response); n++ {
				pool := NewPool(Settings{Dial: func(context.Context, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						_, _ = far.Read(make([]byte, bufferSize)) // The request.
						_, _ = io.WriteString(far, c.response[:n])
					}()
					return near, nil
				}})
				ex := newGet("a")
				ex.RequireEcho = true
				res := pool.Do(t.Context(), "desk", ex)
				if (res.Response != nil) != (n >= wholeFrom) {
					t.Errorf("cut after %d of %d bytes, %q: %+v", n, len(c.response), c.response[max(0, n-20):n], res)
				}
				if res.Response != nil && !strings.HasSuffix(c.response[:n], string(res.Response.Body)) && !strings.Contains(c.response, "chunked") {
					t.Errorf("cut after %d bytes: body %q", n, res.Response.Body)
				}
			}
		})
	}
}
