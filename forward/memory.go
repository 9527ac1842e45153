package forward

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Memory for connections, heads, bodies and answers.
const (
	// smallBufferBytes is the size up to which a buffer may use all of the memory. Larger ones leave smallShare of it, so that small
	// requests are served when large ones have used up theirs.
	smallBufferBytes = 64 << 10
	smallShare       = 0.25
	// initialBufferBytes is the initial size of the buffer for a body.
	initialBufferBytes = 4 << 10
	// defaultMemory limits the memory of a handler without WithMemory.
	defaultMemory = 64 << 20
	// maxBodyBytes limits the body of a request if the configuration does not.
	maxBodyBytes = 32 << 20
	// roomWait is how long a buffer waits for the memory of a client that was cut off, and roomTries how many are cut off for it.
	roomWait  = 50 * time.Millisecond
	roomTries = 4
)

// errMemory is the error for bytes for which no memory is left.
var errMemory = errors.New("the memory for connections, bodies and answers is used up")

// Memory is the account of the memory that clients and answers hold: connections, heads, and the buffers of bodies and answers. Without
// it, many clients or endless answers could exhaust the memory of the process, although each of them is limited.
type Memory struct {
	limit   int64
	used    atomic.Int64
	holders holders
}

// NewMemory returns an account with a limit in bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, holders: holders{all: map[*Holder]struct{}{}, released: make(chan struct{})}}
}

// Limit returns the limit in bytes.
func (m *Memory) Limit() int64 { return m.limit }

// Used returns the bytes that are accounted for.
func (m *Memory) Used() int64 { return m.used.Load() }

// Reserve accounts for n bytes until Release is called. If the memory is used up, it cuts off the client that holds the most without
// progress, and returns false if that doesn't free enough at once. It does not wait, so that a listener can go on accepting.
func (m *Memory) Reserve(n int) bool {
	return m.resize(0, n) || m.CutWorst(time.Now(), nil, MinStall) && m.resize(0, n)
}

// Release returns n bytes that Reserve accounted for.
func (m *Memory) Release(n int) { m.resize(n, 0) }

// resize changes the size of a buffer. It changes nothing and returns false if that would exceed the limit.
func (m *Memory) resize(from, to int) bool {
	limit := m.limit
	if to > smallBufferBytes {
		limit -= int64(smallShare * float64(limit))
	}
	change := int64(to - from)
	if m.used.Add(change) > limit && change > 0 {
		m.used.Add(-change)
		return false
	}
	return true
}

// require is like resize from 0, but cuts off the clients that hold the most without progress if the memory is used up.
func (m *Memory) require(size int) bool {
	for range roomTries {
		released := m.holders.nextRelease()
		if m.resize(0, size) {
			return true
		}
		if now := time.Now(); !m.stalledHolds(now, size) || !m.cutWorst(now, nil, MinStall, false) {
			return false
		}
		select {
		case <-released:
		case <-time.After(roomWait):
		}
	}
	return m.resize(0, size)
}

// buffer is a buffer whose memory counts until free is called.
type buffer struct {
	m        *Memory
	data     []byte
	expected int // size that is sufficient, 0 if it is not known
}

// reserve makes room for n more bytes.
func (b *buffer) reserve(n int) error {
	if need := len(b.data) + n; need > cap(b.data) {
		size := max(need, 2*cap(b.data), initialBufferBytes)
		if b.expected >= need {
			size = min(size, b.expected)
		}
		// Until the bytes are copied, both arrays exist.
		if !b.m.require(size) {
			return errMemory
		}
		old := cap(b.data)
		grown := make([]byte, len(b.data), size)
		copy(grown, b.data)
		b.data = grown
		b.m.resize(old, 0)
	}
	return nil
}

// write appends bytes.
func (b *buffer) write(p []byte) error {
	if err := b.reserve(len(p)); err != nil {
		return err
	}
	b.data = append(b.data, p...)
	return nil
}

// readFrom appends the bytes of r until its end or until the buffer holds more than limit bytes.
func (b *buffer) readFrom(r io.Reader, limit int) error {
	for len(b.data) <= limit {
		if len(b.data) == cap(b.data) {
			if err := b.reserve(1); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// free ends the use of the buffer.
func (b *buffer) free() {
	b.m.resize(cap(b.data), 0)
	b.data = nil
}

// newBuffer returns a buffer that is in use until the request ends.
func (q *request) newBuffer() *buffer {
	b := &buffer{m: q.h.memory}
	q.buffers = append(q.buffers, b)
	return b
}

// freeBuffers frees the buffers of a request that has ended.
func (q *request) freeBuffers() {
	for _, b := range q.buffers {
		b.free()
	}
}
