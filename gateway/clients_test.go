package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestConnectionLimits guards against limits that exceed the descriptors or memory of a VM, or that allow no callers on a small one.
func TestConnectionLimits(t *testing.T) {
	for _, c := range []struct {
		descriptors, memoryMiB int
		want                   connectionLimits
	}{
		{64, 64, connectionLimits{callers: 8, ready: 8, metrics: 8, peers: 8, relays: 4}},
		{500, 96, connectionLimits{callers: 119, ready: 8, metrics: 8, peers: 31, relays: 15}},
		{2870, 136, connectionLimits{callers: 812, ready: 44, metrics: 44, peers: 179, relays: 89}}, // limited by memory
		{8192, 536, connectionLimits{callers: 3201, ready: 128, metrics: 128, peers: 512, relays: 256}},
	} {
		account := int64(accountRatio * float64(c.memoryMiB) * (1 << 20))
		if diff := cmp.Diff(c.want, newConnectionLimits(c.descriptors, account), cmp.AllowUnexported(connectionLimits{})); diff != "" {
			t.Errorf("%d descriptors, %d MiB (-want +got):\n%s", c.descriptors, c.memoryMiB, diff)
		}
	}
}

// TestCountLines guards against lines of a body, or of the next request, that count as lines of a head.
func TestCountLines(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n":               2,
		"GET / HTTP/1.1\r\nA: b\r\n\r\n\n\nx\ny\n": 2,
		"GET / HTTP/1.1\nA: b\n\nx\n":              2,
	} {
		for size := 1; size <= len(text); size++ {
			c, got := &clientConn{}, 0
			for rest := text; len(rest) > 0 && !c.headDone; {
				n := min(size, len(rest))
				got += c.countLines([]byte(rest[:n]))
				rest = rest[n:]
			}
			if got != want {
				t.Errorf("%q in pieces of %d: %d lines, want %d", text, size, got, want)
			}
		}
	}
}
