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
			for _, l := range p.snapshot() {
				p.maintain(l, now)
			}
		}
	}
}

func (p *Pool) snapshot() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		out = append(out, l)
	}
	return out
}

// maintain closes an idle connection and probes one that has received nothing for ProbeInterval. A connection can stop
// carrying data while new ones work, and TCP reports that only after minutes.
func (p *Pool) maintain(l *link, now time.Time) {
	select {
	case <-l.ready:
	default:
		return
	}
	if l.err != nil || l.conn.broken.Load() {
		p.remove(l)
		return
	}
	l.mu.Lock()
	idle := l.inFlight == 0 && now.Sub(l.lastUsed) >= p.settings.IdleTimeout
	sinceRead := now.Sub(time.Unix(0, l.conn.lastRead.Load()))
	probe := sinceRead >= p.settings.ProbeInterval && !l.probing
	l.probing = l.probing || probe
	l.mu.Unlock()
	switch {
	case idle:
		p.drop(l)
	case probe:
		go p.probe(l)
	}
}

func (p *Pool) probe(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.ProbeTimeout)
	defer cancel()
	var answer Ping
	p.metrics.Counter("control.client.probes").Inc(1)
	if err := p.do(ctx, l, pingMethod, &Ping{N: 1}, &answer); err != nil {
		p.metrics.Counter("control.client.probes_failed").Inc(1)
		p.drop(l)
	}
	l.mu.Lock()
	l.probing = false
	l.mu.Unlock()
}
