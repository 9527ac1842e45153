package caller

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchDisconnect calls onDisconnect when the peer closes or resets conn. A handler that waits for the router does
// not read from conn and would not notice this. The watch waits in the runtime's network poller and consumes no bytes.
// It must be stopped before conn is read again. A connection without a file descriptor is not watched.
func watchDisconnect(conn net.Conn, onDisconnect func()) (stop func()) {
	// A TLS connection wraps the connection that has the file descriptor.
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
	// The read deadline that the server has set for the request would end the watch.
	conn.SetReadDeadline(time.Time{})
	var stopped atomic.Bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := raw.Read(func(fd uintptr) bool { return stopped.Load() || peerClosed(int(fd)) })
		// An error after stop was called comes from the deadline that stop sets. Any other error means that this side
		// closed the connection.
		if err != nil && stopped.Load() {
			return
		}
		if !stopped.Load() {
			onDisconnect()
		}
	}()
	return func() {
		stopped.Store(true)
		conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		conn.SetReadDeadline(time.Time{})
	}
}

// peerClosed reports whether the peer of the socket has closed or reset the connection.
func peerClosed(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	// Unread bytes, such as a pipelined request or the close notification of TLS, hide the end of the stream behind
	// them, so the state of the socket is polled.
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	if _, err := unix.Poll(fds, 0); err != nil {
		return false
	}
	return fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
