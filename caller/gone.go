package caller

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchCaller calls gone when the peer closes conn or breaks it. A handler that waits does not read, so nothing else notices.
// The watch waits in the runtime's poller and reads nothing. It has to be stopped before conn is read again. A connection
// without a descriptor is not watched.
func watchCaller(conn net.Conn, gone func()) (stop func()) {
	// TLS is above the connection that has the descriptor.
	for {
		inner, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = inner.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	// The deadline for reading the request would end the watch.
	conn.SetReadDeadline(time.Time{})
	var stopped atomic.Bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := raw.Read(func(fd uintptr) bool { return stopped.Load() || peerClosed(int(fd)) })
		// An error other than the deadline of stop means that this side closed the connection.
		if err != nil && stopped.Load() {
			return
		}
		if !stopped.Load() {
			gone()
		}
	}()
	return func() {
		stopped.Store(true)
		conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		conn.SetReadDeadline(time.Time{})
	}
}

// peerClosed says whether the peer of the socket has closed it or reset it.
func peerClosed(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	// Unread bytes hide the end behind them: a further request that was sent early, or the close notification of TLS.
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	if _, err := unix.Poll(fds, 0); err != nil {
		return false
	}
	return fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
