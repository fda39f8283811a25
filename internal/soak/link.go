package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is what a link does to the connections through it.
type linkFault int

const (
	linkSound linkFault = iota
	// linkSlow adds a delay to each chunk in both directions.
	linkSlow
	// linkSilent holds all bytes back; connections are still accepted.
	linkSilent
	// linkDeafIn and linkDeafOut hold back what goes to the target, or what comes from it.
	linkDeafIn
	linkDeafOut
	// linkBroken resets all connections, old and new.
	linkBroken
)

// linkDelay is what a slow link adds to each chunk: some dozen times the way between two availability zones.
const linkDelay = 60 * time.Millisecond

// chunkSize is how much a link reads at once; larger answers can be cut in the middle.
const chunkSize = 8 << 10

// link forwards the connections at an address to a target and misbehaves on demand.
type link struct {
	target string
	ln     net.Listener

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{}
	conns   map[*net.TCPConn]struct{}
	closed  bool
}

func newLink(address, target string) (*link, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{target: target, ln: ln, changed: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

// set changes the fault; connections that it breaks are reset at once.
func (l *link) set(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	if f == linkBroken {
		for c := range l.conns {
			reset(c)
		}
	}
}

func (l *link) close() {
	l.ln.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.set(linkBroken)
}

// reset closes a connection so that the other end gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // The connection is gone if this fails.
	_ = c.Close()
}

// track adds connections, or reports that the link is broken.
func (l *link) track(conns ...*net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return l.fault != linkBroken
}

func (l *link) forget(conns ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

func (l *link) serve(from *net.TCPConn) {
	if !l.track(from) {
		l.forget(from)
		reset(from)
		return
	}
	defer l.forget(from)
	c, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(from)
		return
	}
	to := c.(*net.TCPConn)
	defer l.forget(to)
	if !l.track(to) {
		reset(from)
		reset(to)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(to, from, linkDeafIn) })
	wg.Go(func() { l.copy(from, to, linkDeafOut) })
	wg.Wait()
	from.Close()
	to.Close()
}

// copy moves bytes until the source ends. A reset of one end is passed on as a reset.
func (l *link) copy(to, from *net.TCPConn, deaf linkFault) {
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if !l.pass(deaf) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // The other end is gone if this fails.
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// pass waits as the fault demands and reports whether the link still serves.
func (l *link) pass(deaf linkFault) bool {
	for {
		l.mu.Lock()
		f, changed, closed := l.fault, l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed || f == linkBroken:
			return false
		case f == linkSlow:
			time.Sleep(linkDelay)
			return true
		case f == linkSilent || f == deaf:
			<-changed
		default:
			return true
		}
	}
}
