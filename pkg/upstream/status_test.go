package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// Guards against a response whose status is outside the range of HTTP: taken for an interim response, it makes the exchange wait
// until its deadline, and what follows it on the connection, such as its own body, is taken for the response. Taken for a final one,
// it reaches the caller as an answer.
func TestStatusOutsideTheRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		for name, rest := range map[string]string{
			"no body":              "\r\n",
			"body":                 "Content-Length: 5\r\n\r\nhello",
			"body like a response": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(rawResponse("a", "inner")), rawResponse("a", "inner")),
			"response after it":    "\r\n" + rawResponse("a", "second"),
			"not-run response":     "Ml-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				var connections atomic.Int64
				addr := serve(t, func(n int, _ *http.Request, c net.Conn) {
					if n == 0 {
						connections.Add(1)
						_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Trouble\r\nX-Id: a\r\n"+rest)
						return
					}
					_, _ = io.WriteString(c, rawResponse("b", "on the same connection"))
				})
				pool, start := NewPool(Settings{}), time.Now()
				ex := newGet("a")
				ex.Deadline = start.Add(5 * time.Second)
				res := pool.Do(t.Context(), addr, ex)
				if res.Response != nil || res.Failure != FailMalformed || res.Outcome != idempotency.OutcomeUnknown {
					t.Errorf("got %+v, want a malformed response and an unknown outcome", res)
				}
				if !time.Now().Before(ex.Deadline) {
					t.Error("the exchange waited until its deadline")
				}
				if pool.Do(t.Context(), addr, newGet("b")); connections.Load() != 2 {
					t.Error("the connection was used again")
				}
			})
		}
	}
}

// Guards against valid responses that a check of the status rejects: interim ones, and each kind of final one.
func TestStatusWithinTheRange(t *testing.T) {
	for _, status := range []int{200, 204, 299, 304, 404, 499, 500, 599} {
		addr := serve(t, func(_ int, _ *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %d Status\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", status)
		})
		if res := NewPool(Settings{}).Do(t.Context(), addr, newGet("a")); res.Response == nil || res.Response.Status != status {
			t.Errorf("status %d: got %+v", status, res)
		}
	}
}
