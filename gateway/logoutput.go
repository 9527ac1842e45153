package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Bounds of the log output, above which lines are dropped.
const (
	maxQueuedLines    = 512 // lines that wait for a slow writer
	maxLinesPerSecond = 400 // lines written per second
)

// boundedOutput writes log lines to a writer without blocking the goroutine that logs. Lines above the bounds are
// dropped, and their number is logged.
type boundedOutput struct {
	lines   chan []byte
	dropped atomic.Int64  // lines dropped since their number was last logged
	done    chan struct{} // closed when all queued lines have been written
}

func newBoundedOutput(w io.Writer) *boundedOutput {
	o := &boundedOutput{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		windowStart, written := time.Now(), 0
		for line := range o.lines {
			if now := time.Now(); now.Sub(windowStart) >= time.Second {
				windowStart, written = now, 0
				if n := o.dropped.Swap(0); n > 0 {
					fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log: lines suppressed\",\"fields\":{\"count\":%d}}\n", n)
				}
			}
			if written++; written > maxLinesPerSecond {
				o.dropped.Add(1)
				continue
			}
			_, _ = w.Write(line) // there is no other place to report the error
		}
	}()
	return o
}

// Write implements io.Writer.
func (o *boundedOutput) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines have been written. Write must not be called after Close.
func (o *boundedOutput) Close() {
	close(o.lines)
	<-o.done
}
