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
	linkOK linkFault = iota
	// linkSlow delays each chunk in both directions.
	linkSlow
	// linkStalled holds back all bytes until the fault ends; connections are still accepted.
	linkStalled
	// linkStalledIn holds back the bytes to the target, linkStalledOut those from the target.
	linkStalledIn
	linkStalledOut
	// linkReset resets all open and new connections.
	linkReset
)

// linkDelay is the delay of each chunk on a slow link: dozens of times the latency between two availability zones.
const linkDelay = 60 * time.Millisecond

// chunkSize is the size of a link's read buffer in bytes; a fault can cut larger responses in the middle.
const chunkSize = 8 << 10

// link forwards connections from its listener to a target and applies a fault to them.
type link struct {
	target   string
	listener net.Listener

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
	l := &link{target: target, listener: ln, changed: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

// setFault changes the fault; linkReset resets the open connections at once.
func (l *link) setFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	if f == linkReset {
		for c := range l.conns {
			reset(c)
		}
	}
}

func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.setFault(linkReset)
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // Fails only if the connection is closed already.
	_ = c.Close()
}

// track registers connections. It returns false if the fault is linkReset and the connections must be reset.
func (l *link) track(conns ...*net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return l.fault != linkReset
}

func (l *link) untrack(conns ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

func (l *link) serve(from *net.TCPConn) {
	if !l.track(from) {
		l.untrack(from)
		reset(from)
		return
	}
	defer l.untrack(from)
	c, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(from)
		return
	}
	to := c.(*net.TCPConn)
	defer l.untrack(to)
	if !l.track(to) {
		reset(from)
		reset(to)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(to, from, linkStalledIn) })
	wg.Go(func() { l.copy(from, to, linkStalledOut) })
	wg.Wait()
	from.Close()
	to.Close()
}

// copy forwards bytes of one direction until its source ends. It passes an error at one end on to the other end as a
// reset. stalledBy is the fault that stalls this direction.
func (l *link) copy(to, from *net.TCPConn, stalledBy linkFault) {
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if !l.awaitFault(stalledBy) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // Fails only if the connection is closed already.
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// awaitFault waits while the fault stalls or delays this direction. It returns false if the link is closed or resets
// its connections.
func (l *link) awaitFault(stalledBy linkFault) bool {
	for {
		l.mu.Lock()
		f, changed, closed := l.fault, l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed || f == linkReset:
			return false
		case f == linkSlow:
			time.Sleep(linkDelay)
			return true
		case f == linkStalled || f == stalledBy:
			<-changed
		default:
			return true
		}
	}
}
