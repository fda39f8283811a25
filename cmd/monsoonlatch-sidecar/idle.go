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
	// defaultIdle is the idle timeout of callers' connections if the configuration sets none.
	defaultIdle = 15 * time.Second
	// idleSlack is how long a connection is kept beyond its idle timeout, so that a request that was sent just before
	// the timeout is still read.
	idleSlack = time.Second
	// idlePeriod is the interval between checks for idle connections.
	idlePeriod = time.Second
)

// longAgo is a deadline in the past.
var longAgo = time.Unix(1, 0)

// idleConns closes callers' connections that have been idle for longer than the configuration in force allows, since
// each connection holds buffers and a goroutine. The idle timeout of http.Server cannot change while the server runs.
type idleConns struct {
	source config.Source
	mu     sync.Mutex
	since  map[net.Conn]time.Time
	// ended holds the connections whose read deadline has been set to the past, so that the server closes them.
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
			// A request arrived before the deadline took effect; the connection stays open.
			_ = conn.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
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
			// The deadline makes the server's pending read fail, upon which the server closes the connection. Closing it
			// here could abort a request that the server has just read.
			_ = conn.SetReadDeadline(longAgo) // Fails only if the connection is closed.
		}
	}
}
