package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout closes a connection whose peer has left sent data unacknowledged for this long. A network partition
// drops packets without a reset, and a write to such a connection would otherwise block for minutes.
const unackedTimeout = 1500 * time.Millisecond

// keepAlive detects an unreachable peer on an idle connection. Idle is the time before the first probe, Interval the
// time between probes, and Count the number of unanswered probes after which the connection is closed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// NewDialer returns a dialer whose connections are closed soon after their peer becomes unreachable.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
}

// NewListenConfig returns a configuration for listeners that applies the same limits to accepted connections.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
}

// setUnackedTimeout sets the TCP_USER_TIMEOUT option of a socket.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}
