package rpcwire

import (
	"context"
	"time"
)

func (p *Pool) probeLoop() {
	tick := time.NewTicker(p.settings.ProbeInterval / 2)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-tick.C:
			for _, c := range p.listConns() {
				p.maintain(c, now)
			}
		}
	}
}

func (p *Pool) listConns() []*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*pooledConn, 0, len(p.conns))
	for _, c := range p.conns {
		out = append(out, c)
	}
	return out
}

// maintain closes an idle connection and probes one that has received nothing for ProbeInterval. A connection can stop
// carrying data while new ones work, and TCP reports that only after minutes.
func (p *Pool) maintain(c *pooledConn, now time.Time) {
	select {
	case <-c.ready:
	default:
		return
	}
	if c.err != nil || c.conn.broken.Load() {
		p.remove(c)
		return
	}
	c.mu.Lock()
	idle := c.inFlight == 0 && now.Sub(c.lastUsed) >= p.settings.IdleTimeout
	sinceRead := now.Sub(time.Unix(0, c.conn.lastRead.Load()))
	probe := sinceRead >= p.settings.ProbeInterval && !c.probing
	c.probing = c.probing || probe
	c.mu.Unlock()
	switch {
	case idle:
		p.drop(c)
	case probe:
		go p.probe(c)
	}
}

func (p *Pool) probe(c *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.ProbeTimeout)
	defer cancel()
	var reply Ping
	p.metrics.Counter("control.client.probes").Inc(1)
	if err := p.do(ctx, c, pingMethod, &Ping{N: 1}, &reply); err != nil {
		p.metrics.Counter("control.client.probes_failed").Inc(1)
		p.drop(c)
	}
	c.mu.Lock()
	c.probing = false
	c.mu.Unlock()
}
