package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for longer than the configured limit. The limit can
// change while connections are open, which http.Server does not support.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time // start of the idle time of each idle connection
	busy  map[net.Conn]bool      // connections with a request whose answer has not been written completely
}

func newIdleConns() *idleConns {
	return &idleConns{since: map[net.Conn]time.Time{}, busy: map[net.Conn]bool{}}
}

// track records when a connection becomes idle. It is a callback for http.Server.ConnState.
func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.since, conn)
	delete(c.busy, conn)
	switch state {
	case http.StateNew, http.StateIdle:
		c.since[conn] = time.Now()
	case http.StateActive:
		c.busy[conn] = true
	}
}

// busyPollInterval is the time between two checks for busy connections.
const busyPollInterval = 2 * time.Millisecond

// awaitAnswers waits until no connection is busy. It returns false if one still is after the timeout.
func (c *idleConns) awaitAnswers(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(busyPollInterval) {
		c.mu.Lock()
		n := len(c.busy)
		c.mu.Unlock()
		if n == 0 || time.Now().After(deadline) {
			return n == 0
		}
	}
}

// sweep closes the connections that have been idle for at least the limit.
func (c *idleConns) sweep(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) >= limit {
			delete(c.since, conn)
			conn.Close()
		}
	}
}
