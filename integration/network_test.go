package integration

import (
	"net"
	"sync"
	"testing"

	"goldcrestpath/standin"
)

// front is the address under which VMs reach one node. It carries every connection to the node and can hold the data in either
// direction, as a network does that drops packets, or reset its connections.
type front struct {
	node, target string
	ln           net.Listener
	wg           sync.WaitGroup

	mu      sync.Mutex
	held    [2]bool       // by direction
	changed chan struct{} // closed by the next change of held
	links   map[*link]struct{}
	closed  bool
}

// direction is one of the two ways through a front.
type direction int

const (
	toNode direction = iota
	fromNode
)

// link is one connection through a front.
type link struct {
	client, server net.Conn
	once           sync.Once
	closed         chan struct{}
}

// close ends both connections. After a reset the client sees an error and no end, and data that is held is lost.
func (l *link) close(reset bool) {
	l.once.Do(func() {
		close(l.closed)
		if reset {
			l.client.(*net.TCPConn).SetLinger(0)
			l.server.(*net.TCPConn).SetLinger(0)
		}
		l.client.Close()
		l.server.Close()
	})
}

// newFront starts a front that leads to a node at target.
func newFront(t *testing.T, node, target string) *front {
	t.Helper()
	ln := reserve(t)
	f := &front{node: node, target: target, ln: ln, changed: make(chan struct{}), links: map[*link]struct{}{}}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				f.connect(c)
			}()
		}
	}()
	t.Cleanup(f.close)
	return f
}

func (f *front) address() string { return f.ln.Addr().String() }

func (f *front) close() {
	f.ln.Close()
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.reset()
	f.wg.Wait()
}

func (f *front) connect(c net.Conn) {
	server, err := net.Dial("tcp", f.target)
	if err != nil {
		c.Close()
		return
	}
	l := &link{client: c, server: server, closed: make(chan struct{})}
	f.mu.Lock()
	f.links[l] = struct{}{}
	closed := f.closed
	f.mu.Unlock()
	if closed {
		l.close(true)
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.pass(l, server, c, toNode)
	}()
	f.pass(l, c, server, fromNode)
	f.mu.Lock()
	delete(f.links, l)
	f.mu.Unlock()
}

// pass copies data in one direction until either end closes. The end of a connection travels as data does, so it is held too.
func (f *front) pass(l *link, to, from net.Conn, d direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !f.await(l, d) {
			return
		}
		if n > 0 {
			if _, e := to.Write(buf[:n]); err == nil {
				err = e
			}
		}
		if err != nil {
			l.close(false)
			return
		}
	}
}

// await waits until data may pass and returns false where the link was closed meanwhile.
func (f *front) await(l *link, d direction) bool {
	for {
		f.mu.Lock()
		held, changed := f.held[d], f.changed
		f.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// hold holds the data in the given directions.
func (f *front) hold(directions ...direction) { f.set(true, directions...) }

// heal lets held data pass.
func (f *front) heal() { f.set(false, toNode, fromNode) }

func (f *front) set(held bool, directions ...direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range directions {
		f.held[d] = held
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// reset resets all connections and returns their number.
func (f *front) reset() int {
	f.mu.Lock()
	var links []*link
	for l := range f.links {
		links = append(links, l)
	}
	f.mu.Unlock()
	for _, l := range links {
		l.close(true)
	}
	return len(links)
}

// reserve listens on a free port below the ephemeral range. Test processes of other packages choose ports at the same time, so a
// port that is to be used later stays reserved until then.
func reserve(t *testing.T) net.Listener {
	t.Helper()
	for range 100 {
		address, err := standin.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if ln, err := net.Listen("tcp", address); err == nil {
			return ln
		}
	}
	t.Fatal("no free loopback port")
	return nil
}
