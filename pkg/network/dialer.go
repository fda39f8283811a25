package network

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// Keep-alive probes of idle connections. A network path that drops all packets without a reset is detected
// after keepAliveIdle + keepAliveCount * keepAliveInterval.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Dialer returns a dialer whose connections fail when sent data stays unacknowledged for ackTimeout. Without this
// limit, a connection to a peer behind a network partition would hang, since no reset arrives.
func Dialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
