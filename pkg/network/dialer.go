package network

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux option TCP_USER_TIMEOUT; package syscall does not name it.
const tcpUserTimeout = 0x12

// Probes of idle connections. A path that loses everything without a reset is noticed after Idle and Count intervals.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Dialer returns a dialer whose connections fail when the peer acknowledges nothing for silence: a peer behind a
// partition sends no reset.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
