package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
)

// Limits of the events of one stream that its caller has not taken over.
const (
	maxQueuedBytes = 512 << 10
	// unreadTime limits how long a caller may take over nothing. A steady slow reader takes over nothing for 1 to 3 s while its receive
	// buffer is full, because a TCP receiver announces free space in large steps.
	unreadTime = 5 * time.Second
	// fullTime limits how long the queue may be full. During that time the endpoint's answer is not read, and an endpoint cuts off an
	// answer that stays unread for some seconds. It is shorter than minSilence, so that the endpoint does not count as silent.
	fullTime = time.Second
	// queuePiece is how many bytes are written at once. Each piece makes room in the queue and has unreadTime.
	queuePiece = 32 << 10
	// abortTime limits the writing of the queued events of a stream that was broken off.
	abortTime = 100 * time.Millisecond
)

// eventQueue writes the events of a stream to its caller, so that the endpoint's answer can be read while the caller doesn't read.
// Each queue belongs to one request; put, finish and abort are called by the request's goroutine only.
type eventQueue struct {
	w  http.ResponseWriter
	rc *http.ResponseController

	mu      sync.Mutex
	queued  *buffer
	err     error         // of the last write
	closed  bool          // no event will follow
	abortBy time.Time     // end of the time to write what is queued, zero unless the stream was broken off
	changed chan struct{} // has a value when the writer has to look at the queue
	taken   chan struct{} // has a value when the writer has taken the queued events or failed
	ended   chan struct{} // closed when the writer has ended
}

// newEventQueue returns a queue and starts its writer. The caller must call finish or abort.
func (q *request) newEventQueue() *eventQueue {
	e := &eventQueue{w: q.w, rc: http.NewResponseController(q.w), queued: q.newBuffer(), changed: make(chan struct{}, 1),
		taken: make(chan struct{}, 1), ended: make(chan struct{})}
	writing := q.newBuffer()
	go func() {
		defer close(e.ended)
		for range e.changed {
			e.mu.Lock()
			n := min(len(e.queued.data), queuePiece)
			writing.data = writing.data[:0]
			err := writing.write(e.queued.data[:n])
			e.queued.data = e.queued.data[:copy(e.queued.data, e.queued.data[n:])]
			left := len(e.queued.data)
			closed := e.closed && left == 0
			e.mu.Unlock()
			notify(e.taken)
			if err == nil {
				err = e.write(writing.data)
			}
			if err == nil && left > 0 {
				notify(e.changed)
			}
			if err != nil {
				e.mu.Lock()
				e.err = err
				e.mu.Unlock()
				notify(e.taken)
			}
			if err != nil || closed {
				return
			}
		}
	}()
	return e
}

// notify puts a value into a channel with a buffer of one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write writes events to the caller.
func (e *eventQueue) write(events []byte) error {
	if len(events) == 0 {
		return nil
	}
	e.mu.Lock()
	deadline := e.abortBy
	if deadline.IsZero() {
		deadline = time.Now().Add(unreadTime)
	}
	_ = e.rc.SetWriteDeadline(deadline) // a writer without deadlines has no limit
	e.mu.Unlock()
	if _, err := e.w.Write(events); err != nil {
		return err
	}
	return e.rc.Flush()
}

// put queues an event. It returns an error if the caller left, doesn't read, or no memory is left.
func (e *eventQueue) put(event []byte) error {
	var full <-chan time.Time
	for {
		e.mu.Lock()
		if e.err != nil {
			defer e.mu.Unlock()
			return e.err
		}
		if n := len(e.queued.data); n == 0 || n+len(event) <= maxQueuedBytes {
			err := e.queued.write(event)
			e.mu.Unlock()
			notify(e.changed)
			return err
		}
		e.mu.Unlock()
		if full == nil {
			full = time.After(fullTime)
		}
		select {
		case <-e.taken:
		case <-full:
			return errUnread
		}
	}
}

// errUnread is the error of a stream whose caller doesn't read.
var errUnread = errors.New("the caller does not read the stream")

// finish waits until all events are written.
func (e *eventQueue) finish() error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	notify(e.changed)
	<-e.ended
	_ = e.rc.SetWriteDeadline(time.Time{}) // the connection can be used for further requests
	return e.err
}

// abort ends the writer soon.
func (e *eventQueue) abort() {
	e.mu.Lock()
	e.abortBy = time.Now().Add(abortTime)
	_ = e.rc.SetWriteDeadline(e.abortBy)
	e.mu.Unlock()
	_ = e.finish() // the stream has failed anyway
}

// finish waits until the caller has taken over the whole stream. It returns false, and counts the caller as gone, if that fails.
func (d *delivery) finish() bool {
	if d.queue == nil {
		return true
	}
	err := d.queue.finish()
	d.queue = nil
	if err != nil {
		d.q.log().WithError(err).WithField("events", d.events).Info("forward: the caller left")
		d.q.h.refused(string(customer.ReasonCallerGone)).Inc(1)
	}
	return err == nil
}

// abort ends a stream that was broken off.
func (d *delivery) abort() {
	if d.queue != nil {
		d.queue.abort()
		d.queue = nil
	}
}
