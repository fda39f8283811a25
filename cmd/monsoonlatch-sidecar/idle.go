package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

const (
	// defaultIdle is how long a caller's connection may idle where the configuration sets no limit.
	defaultIdle = 15 * time.Second
	// idleSlack is how much longer the node keeps a connection: a request that is on its way when the limit passes is
	// still read.
	idleSlack = time.Second
	// idlePeriod is how often idle connections are looked for.
	idlePeriod = time.Second
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// idleConns ends callers' connections that have been idle for longer than the configuration in force allows. The server's
// own idle timeout cannot change while it runs. Each connection holds buffers and a goroutine.
type idleConns struct {
	source config.Source
	mu     sync.Mutex
	since  map[net.Conn]time.Time
	// ended holds the connections that the server has been told to end.
	ended map[net.Conn]bool
}

func newIdleConns(source config.Source) *idleConns {
	return &idleConns{source: source, since: make(map[net.Conn]time.Time), ended: make(map[net.Conn]bool)}
}

// track is the server's ConnState hook.
func (c *idleConns) track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
	if c.ended[conn] {
		delete(c.ended, conn)
		if s == http.StateActive {
			// A request came first. Its connection stays.
			_ = conn.SetReadDeadline(time.Time{}) // The connection has gone if this fails.
		}
	}
}

func (c *idleConns) run(ctx context.Context) {
	tick := time.NewTicker(idlePeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			c.closeIdle(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *idleConns) closeIdle(now time.Time) {
	limit := defaultIdle
	if snap := c.source.Current(); snap != nil && snap.Configuration.Limits.IdleTimeout > 0 {
		limit = snap.Configuration.Limits.IdleTimeout.Std()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit+idleSlack {
			delete(c.since, conn)
			c.ended[conn] = true
			// The server closes a connection whose read ends. To close it here would cut off a request that the server
			// has just read and passes on.
			_ = conn.SetReadDeadline(longAgo) // The connection has gone if this fails.
		}
	}
}
