package forward

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/operator"
)

// Limits of heads and bodies. A client within the configured limits of a head's and a body's size does not meet them.
const (
	// maxHeaderFields limits the fields of a head. One of 16 KiB can have 4,000, each of which takes far more memory than its bytes.
	maxHeaderFields = 256
	// fieldBytes is about the memory of a header field and its copies beside the bytes of its name and value.
	fieldBytes = 256
	// headCopies is how many copies of a head's bytes a request has: as received, decoded and as sent.
	headCopies = 3
	// bodyTimeout limits how long a client may take to send a body.
	bodyTimeout = 20 * time.Second
	// Within each progressTime, minProgressBytes of a body or its end must arrive.
	progressTime     = 3 * time.Second
	minProgressBytes = 1 << 10
	// discardTimeout limits the time to discard the rest of a refused body, so that its client can read the refusal.
	discardTimeout = 500 * time.Millisecond
)

// errSlowBody is the error of a body that arrives too slowly, or whose client was cut off because memory was short.
var errSlowBody = &BadRequestError{Status: http.StatusRequestTimeout, Message: "the body did not arrive in time"}

// checkHead returns an error if the head exceeds the limits, and accounts for its memory until the request ends.
func (q *request) checkHead(r *http.Request, limits operator.CallerLimits) error {
	size, fields := headerSize(r), 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if limits.HeaderBytes > 0 && size > limits.HeaderBytes {
		return &BadRequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Message: "the header is above the configured limit"}
	}
	if fields > maxHeaderFields {
		return &BadRequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Message: "the header has too many fields"}
	}
	need := headCopies*size + fieldBytes*fields
	if !q.h.memory.require(need) {
		return errMemory
	}
	q.headBytes = need
	return nil
}

// bodyReader reads a body whose client must make progress. It is a holder of memory while the body arrives.
type bodyReader struct {
	r       io.Reader
	rc      *http.ResponseController
	buf     *buffer // nil if the body is discarded
	hold    *Holder
	end     time.Time // of the time for the whole body
	pending int       // bytes since the last progress

	mu     sync.Mutex
	cut    bool // the read deadline is final
	closed bool // the read deadline belongs to what follows the body
}

// newBodyReader returns a reader for the body of r. The caller must call close.
func (q *request) newBodyReader(r *http.Request, body io.Reader, buf *buffer) *bodyReader {
	b := &bodyReader{r: body, rc: http.NewResponseController(q.w), buf: buf, end: q.call.ArrivedAt.Add(bodyTimeout)}
	b.hold = q.h.memory.Hold(HoldsBody, r.Context().Value(http.ServerContextKey), r.RemoteAddr, initialBufferBytes, func() { b.cutAt(time.Now()) })
	b.extend(time.Now())
	return b
}

// extend sets the read deadline for the next progress, unless the client was cut off.
func (b *bodyReader) extend(now time.Time) {
	deadline := now.Add(progressTime)
	if deadline.After(b.end) {
		deadline = b.end
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.cut && !b.closed {
		_ = b.rc.SetReadDeadline(deadline) // without deadlines, as in tests, bodies have no time limit
	}
}

// cutAt sets a last read deadline.
func (b *bodyReader) cutAt(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = true
	if !b.closed {
		_ = b.rc.SetReadDeadline(t)
	}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	now := time.Now()
	if n > 0 {
		b.hold.Progress(now)
	}
	if b.pending += n; b.pending >= minProgressBytes {
		b.pending = 0
		b.extend(now)
	}
	if b.buf != nil && cap(b.buf.data) > initialBufferBytes {
		b.hold.bytes.Store(int64(cap(b.buf.data)))
	}
	return n, err
}

// close ends the limits on the progress of the body.
func (b *bodyReader) close(complete bool) {
	b.hold.Release()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if complete {
		_ = b.rc.SetReadDeadline(time.Time{})
	}
}

// readBody reads the request's body into the call, or discards it if keep is false, which takes no memory.
func (q *request) readBody(r *http.Request, limits operator.CallerLimits, keep bool) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return errBodyTooLarge
	}
	var buf *buffer
	if keep {
		buf = q.newBuffer()
		if r.ContentLength > 0 {
			buf.expected = int(r.ContentLength) + 1 // one more byte to read the end
		}
	}
	body := q.newBodyReader(r, http.MaxBytesReader(q.w, r.Body, int64(limit)), buf)
	defer q.h.limitBody(body)()
	var err error
	if keep {
		err = buf.readFrom(body, limit)
	} else {
		_, err = io.Copy(io.Discard, body)
	}
	body.close(err == nil)
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		if keep {
			q.call.Body = buf.data
		}
		return nil
	case errors.As(err, &tooLong):
		return errBodyTooLarge
	case errors.Is(err, errMemory):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		if body.hold.WasCut() {
			return errMemory // its client may be a proper one
		}
		if q.h.stop.due.Err() == nil {
			q.h.RecordCut(Cut{Reason: "slowBody", Address: r.RemoteAddr, Bytes: body.hold.bytes.Load(), Stalled: progressTime})
		}
		return errSlowBody
	}
	return &BadRequestError{Status: http.StatusBadRequest, Message: "reading the body failed: " + err.Error()}
}

var errBodyTooLarge = &BadRequestError{Status: http.StatusRequestEntityTooLarge, Message: "the body is above the configured limit"}

// headerSize returns the size of the request's header as received.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// discardBody limits the time for which the rest of a refused request's body is read, and closes the connection after the answer. Without
// a limit, a client that does not send the rest holds the connection, because net/http reads on before it sends the answer.
func (q *request) discardBody(r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(discardTimeout)) // without deadlines, as in tests, there is no limit
	q.w.Header().Set("Connection", "close")
}

// refuseUnread frees the request's memory and answers a request whose head or body has not been accepted. Its connection is closed
// after the answer, because the rest of the body is not read.
func (q *request) refuseUnread(err error) {
	q.freeBuffers()
	q.buffers = nil
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(discardTimeout))
	q.w.Header().Set("Connection", "close")
	switch {
	case q.h.stop.due.Err() != nil:
		q.h.refuse(q.w, q.call, refuseStopping())
	case errors.Is(err, errMemory):
		q.h.refuse(q.w, q.call, refuseMemory())
	default:
		q.h.refuseBad(q.w, q.call, err)
	}
}
