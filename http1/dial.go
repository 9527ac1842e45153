package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout ends a connection whose peer acknowledges nothing for so long. A partition drops packets without a reset,
// and a write to such a connection would otherwise hang for minutes.
const unackedTimeout = 1500 * time.Millisecond

// keepAlive probes a silent connection: idle time before the first probe, time between probes, probes that fail.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Dialer returns a dialer whose connections end soon after their peer becomes unreachable.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
}

// ListenConfig returns the like for accepted connections.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}
