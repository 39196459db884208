package dialer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times, and a number of probes, after which the kernel drops a connection whose peer acknowledges nothing.
const (
	UnacknowledgedLimit = 1500 * time.Millisecond
	KeepAliveIdle       = 3 * time.Second
	KeepAliveInterval   = time.Second
	KeepAliveProbes     = 2
)

// SetTCPTimeouts sets socket options that make a connection fail once its peer stops acknowledging data
// or keep-alive probes. It is a Control function for net.Dialer.
// Options that the kernel refuses are left at their defaults.
func SetTCPTimeouts(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnacknowledgedLimit/time.Millisecond))
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(KeepAliveIdle/time.Second))
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(KeepAliveInterval/time.Second))
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, KeepAliveProbes)
	})
}
