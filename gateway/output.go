package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Bounds of the log.
const (
	linesQueued = 512 // lines that wait for a slow output
	linesASec   = 400 // lines written in a second; what is above is counted
)

// boundedOutput writes lines to an output without ever blocking its caller. Lines above the bounds are dropped, and their
// number is written.
type boundedOutput struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newBoundedOutput(w io.Writer) *boundedOutput {
	o := &boundedOutput{lines: make(chan []byte, linesQueued), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		second, written := time.Now(), 0
		for line := range o.lines {
			if now := time.Now(); now.Sub(second) >= time.Second {
				second, written = now, 0
				if n := o.dropped.Swap(0); n > 0 {
					fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log: lines suppressed\",\"fields\":{\"count\":%d}}\n", n)
				}
			}
			if written++; written > linesASec {
				o.dropped.Add(1)
				continue
			}
			_, _ = w.Write(line) // there is nowhere to report a log that cannot be written
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

// Close writes the lines that wait. Nothing may be written after it.
func (o *boundedOutput) Close() {
	close(o.lines)
	<-o.done
}
