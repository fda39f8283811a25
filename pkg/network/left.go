package network

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a TCP connection that neither end has closed; from the Linux header tcp_states.h.
const tcpEstablished = 1

// PeerLeft reports whether the other end of a TCP connection has closed it. Unlike a read it notices that also while data
// from before the close has not been read. For other connections, and if the state is not known, it returns false.
func PeerLeft(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && info.State != tcpEstablished
	})
	return err == nil && left
}
