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

// idleConns closes callers' connections that have been idle for longer than the configuration in force allows. The
// server's own idle timeout cannot change while it runs. Each connection holds buffers and a goroutine.
type idleConns struct {
	source config.Source
	mu     sync.Mutex
	since  map[net.Conn]time.Time
}

func newIdleConns(source config.Source) *idleConns {
	return &idleConns{source: source, since: make(map[net.Conn]time.Time)}
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
			conn.Close() //nolint:errcheck // the caller has gone if this fails
		}
	}
}
