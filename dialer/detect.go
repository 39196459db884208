package dialer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds after which the kernel gives up a connection on which the other end acknowledges nothing.
const (
	UnacknowledgedLimit = 1500 * time.Millisecond
	KeepAliveIdle       = 3 * time.Second
	KeepAliveInterval   = time.Second
	KeepAliveProbes     = 2
)

// DetectSilence sets a socket to fail once the other end acknowledges nothing, as a control function of net.Dialer.
func DetectSilence(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnacknowledgedLimit/time.Millisecond))
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(KeepAliveIdle/time.Second))
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(KeepAliveInterval/time.Second))
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, KeepAliveProbes)
	})
}
