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
	// defaultIdleTimeout is the idle timeout of callers' connections if the configuration sets none.
	defaultIdleTimeout = 15 * time.Second
	// idleTimeoutMargin is how long a connection is kept beyond its idle timeout, so that a request that was sent just
	// before the timeout is still read.
	idleTimeoutMargin = time.Second
	// idleCheckPeriod is the interval between checks for idle connections.
	idleCheckPeriod = time.Second
)

// pastDeadline is a deadline in the past.
var pastDeadline = time.Unix(1, 0)

// idleConnCloser closes callers' connections that have been idle for longer than the configuration in force allows,
// since each connection holds buffers and a goroutine. The idle timeout of http.Server cannot change while the server
// runs.
type idleConnCloser struct {
	source    config.Source
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// expired holds the connections whose read deadline has been set to the past, so that the server closes them.
	expired map[net.Conn]bool
}

func newIdleConnCloser(source config.Source) *idleConnCloser {
	return &idleConnCloser{source: source, idleSince: make(map[net.Conn]time.Time), expired: make(map[net.Conn]bool)}
}

// track is the server's ConnState hook.
func (c *idleConnCloser) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
	if c.expired[conn] {
		delete(c.expired, conn)
		if state == http.StateActive {
			// A request arrived before the deadline took effect; the connection stays open.
			_ = conn.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
		}
	}
}

func (c *idleConnCloser) run(ctx context.Context) {
	tick := time.NewTicker(idleCheckPeriod)
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

func (c *idleConnCloser) closeIdle(now time.Time) {
	timeout := defaultIdleTimeout
	if snap := c.source.Current(); snap != nil && snap.Configuration.Limits.IdleTimeout > 0 {
		timeout = snap.Configuration.Limits.IdleTimeout.Std()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > timeout+idleTimeoutMargin {
			delete(c.idleSince, conn)
			c.expired[conn] = true
			// The deadline makes the server's pending read fail, upon which the server closes the connection. Closing
			// it here could abort a request that the server has just read.
			_ = conn.SetReadDeadline(pastDeadline) // Fails only if the connection is closed.
		}
	}
}
