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

// ListenOption configures the connections that a listener accepts.
type ListenOption func(*listenOptions)

type listenOptions struct {
	unackedTimeout            time.Duration
	receiveBuffer, sendBuffer int // 0 for the system's defaults
}

// WithUnreadTimeout sets how long sent data may stay unacknowledged, in place of the default of 1.5 s. A peer that reads slowly
// acknowledges nothing while its receive buffer is full.
func WithUnreadTimeout(d time.Duration) ListenOption {
	return func(o *listenOptions) { o.unackedTimeout = d }
}

// WithSocketBuffers sets the sizes in bytes of the system's buffers for received and sent data. They otherwise grow to several MiB for a
// connection that is not read.
func WithSocketBuffers(receive, send int) ListenOption {
	return func(o *listenOptions) { o.receiveBuffer, o.sendBuffer = receive, send }
}

// NewListenConfig returns a configuration for listeners that applies the same limits to accepted connections.
func NewListenConfig(opts ...ListenOption) *net.ListenConfig {
	o := listenOptions{unackedTimeout: unackedTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: func(_, _ string, c syscall.RawConn) error {
		options := [][3]int{{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.unackedTimeout.Milliseconds())}}
		if o.receiveBuffer > 0 {
			options = append(options, [3]int{unix.SOL_SOCKET, unix.SO_RCVBUF, o.receiveBuffer})
		}
		if o.sendBuffer > 0 {
			options = append(options, [3]int{unix.SOL_SOCKET, unix.SO_SNDBUF, o.sendBuffer})
		}
		return setOptions(c, options)
	}}
}

// setUnackedTimeout sets the TCP_USER_TIMEOUT option of a socket.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	return setOptions(c, [][3]int{{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())}})
}

// setOptions sets options of a socket, each given by its level, name and value.
func setOptions(c syscall.RawConn, options [][3]int) error {
	var err error
	if ctlErr := c.Control(func(fd uintptr) {
		for _, o := range options {
			if err = unix.SetsockoptInt(int(fd), o[0], o[1], o[2]); err != nil {
				return
			}
		}
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}
