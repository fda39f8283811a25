package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// extraShare is the share of its answers that the faulty instance follows with additional bytes.
	extraShare = 0.03
	// extraDelay is the longest time between a complete answer and the additional bytes, which are written separately.
	extraDelay = 300 * time.Microsecond
	// lodgeBytes is the length of the body of each request.
	lodgeBytes = 8000
	// lodgeTime is how long the clients send.
	lodgeTime = 75 * time.Second
	// lodgeClients is the number of clients, each with one request at a time.
	lodgeClients = 20
)

// extraBytes shows TWICE and REFUSED: a faulty instance sends additional bytes after some of its complete answers. A request
// that may run once, and that the instance runs, is taken for one that was not sent: it is sent to the other instance as well,
// or answered 503.
func extraBytes(w *world) error {
	front := w.addNode("front-1", "portal", "east")
	desks := []*node{w.addNode("desk-1", "deposits", "east"), w.addNode("desk-2", "deposits", "west")}
	w.addInstance(front, "i-portal", 18, func(*http.Request, []byte) (int, string) { return http.StatusOK, "portal" })
	var mu sync.Mutex
	runs := make(map[string][]string) // the instances that ran each request
	var extras atomic.Int64
	for i, n := range desks {
		in := w.addInstance(n, fmt.Sprintf("i-deposits-%d", i+1), 4, nil)
		in.handle = func(c *serverConn, r *http.Request) (keep, handled bool) {
			attempt := r.Header.Get("X-Attempt-Id")
			if _, err := io.ReadAll(r.Body); err != nil {
				return false, true
			}
			in.w.logf(in.id, "runs %s %s %s", attempt, r.Method, r.URL.Path)
			mu.Lock()
			runs[attempt] = append(runs[attempt], in.id)
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			in.w.logf(in.id, "answers %s with 200", attempt)
			if c.write(http.StatusOK, in.sealed(r), "lodged") != nil {
				return false, true
			}
			if w.trouble && i == 0 && rand.Float64() < extraShare {
				extras.Add(1)
				// A sleep would take longer.
				for start, delay := time.Now(), rand.N(extraDelay); time.Since(start) < delay; {
				}
				_, _ = c.Write([]byte("and more bytes, which belong to no answer\r\n\r\n")) // The node may have closed the connection.
				in.w.logf(in.id, "has sent additional bytes after the answer to %s", attempt)
			}
			return true, true
		}
	}
	w.putConfig(5, []route{{name: "lodge", host: "mesh.example", prefix: "/lodge/", kind: "unsafe", service: "deposits", timeoutMs: 3000, targetMs: 500, priority: 1, maxAttempts: 2}},
		"portal", "deposits")
	if err := w.startAll(); err != nil {
		return err
	}
	body := bytes.Repeat([]byte("d"), lodgeBytes)
	answers := make(map[string]int) // the statuses by request
	end := time.Now().Add(lodgeTime)
	var wg sync.WaitGroup
	for range lodgeClients {
		wg.Go(func() {
			c := &caller{w: w, node: front}
			defer c.close()
			for time.Now().Before(end) {
				res := c.send(request{method: "POST", host: "mesh.example", path: "/lodge/a", body: body, deadline: 3 * time.Second})
				mu.Lock()
				answers[res.id] = res.status
				mu.Unlock()
				time.Sleep(res.retryAfter)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, refused := 0, 0
	for id, by := range runs {
		if len(by) > 1 {
			twice++
			w.logf("check", "%s was run %d times, by %v, and answered %d", id, len(by), by, answers[id])
		}
		if answers[id] == http.StatusServiceUnavailable {
			refused++
			w.logf("check", "%s was run by %v and answered 503", id, by)
		}
	}
	w.logf("check", "%d requests; additional bytes after %d answers; %d requests were run twice, %d were run and answered 503", len(answers), extras.Load(), twice, refused)
	if twice+refused > 0 {
		return fmt.Errorf("TWICE: %d requests were run twice (REFUSED: %d were run and answered 503): %w", twice, refused, errBroken)
	}
	return nil
}
