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
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// track records when a connection becomes idle. It is a callback for http.Server.ConnState.
func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

// sweep closes the connections that have been idle for longer than the limit.
func (c *idleConns) sweep(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit {
			delete(c.since, conn)
			conn.Close()
		}
	}
}
