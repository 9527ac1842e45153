package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// MinStall is the time without progress after which a client may be cut off if memory or connections are short. Proper clients pause
// for less while they send.
const MinStall = 500 * time.Millisecond

// HolderKind is what a client holds while it makes no progress.
type HolderKind uint8

// Kinds of holders. Clients that use nothing but an open connection between two requests are cut off last.
const (
	HoldsIdle   HolderKind = iota // a connection between two requests
	HoldsHead                     // a connection whose first request, or the head of a further one, has not arrived
	HoldsBody                     // a body that has not arrived completely
	HoldsAnswer                   // an answer that has not been read
)

// String returns the name that counters and log lines use.
func (k HolderKind) String() string {
	return [...]string{"idle", "head", "body", "answer"}[k]
}

// holders is the set of clients that can be cut off if memory or connections are short.
type holders struct {
	mu       sync.Mutex
	all      map[*Holder]struct{}
	released chan struct{} // closed and replaced when a holder that was cut off is released
	report   func(Cut)
}

// Cut describes a client that was refused or cut off because it made no progress.
type Cut struct {
	Reason  string // kind of the holder, or the limit that it met
	Address string // of the client
	Bytes   int64  // accounted memory
	Stalled time.Duration
}

// Holder is a client that holds memory and waits for the client's next bytes or for the client to read.
type Holder struct {
	m       *Memory
	kind    HolderKind
	group   any
	address string
	cut     func()
	bytes   atomic.Int64 // for the comparison of holders
	charged atomic.Int64 // part of bytes that Release returns to the account
	since   atomic.Int64 // time of the last progress, in Unix nanoseconds
	wasCut  atomic.Bool
}

// ReportTo sets the function that is told of the clients that are cut off.
func (m *Memory) ReportTo(report func(Cut)) { m.holders.report = report }

// Hold registers a client that holds so many bytes, which are already accounted for. The cut function must make the client's
// goroutine end soon and must not block. group is the *http.Server of the
// connection. The caller must release the holder.
func (m *Memory) Hold(kind HolderKind, group any, address string, bytes int, cut func()) *Holder {
	h := &Holder{m: m, kind: kind, group: group, address: address, cut: cut}
	h.bytes.Store(int64(bytes))
	h.Progress(time.Now())
	m.holders.mu.Lock()
	m.holders.all[h] = struct{}{}
	m.holders.mu.Unlock()
	return h
}

// Progress records progress of the client.
func (h *Holder) Progress(now time.Time) { h.since.Store(now.UnixNano()) }

// Charge accounts for more bytes until the holder is released. It returns false if the memory is used up.
func (h *Holder) Charge(n int) bool {
	if !h.m.resize(0, n) {
		return false
	}
	h.bytes.Add(int64(n))
	h.charged.Add(int64(n))
	return true
}

// WasCut reports whether the client was cut off.
func (h *Holder) WasCut() bool { return h.wasCut.Load() }

// Release ends the registration. It may be called more than once.
func (h *Holder) Release() {
	h.m.used.Add(-h.charged.Swap(0))
	h.m.holders.mu.Lock()
	defer h.m.holders.mu.Unlock()
	delete(h.m.holders.all, h)
	if h.wasCut.Load() {
		close(h.m.holders.released)
		h.m.holders.released = make(chan struct{})
	}
}

// nextRelease returns a channel that is closed when a holder that was cut off is released.
func (s *holders) nextRelease() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}

// stalledHolds reports whether the clients that hold more than an idle connection, and make no progress, hold that many bytes together.
// Cutting off others would not make room for a buffer.
func (m *Memory) stalledHolds(now time.Time, size int) bool {
	m.holders.mu.Lock()
	defer m.holders.mu.Unlock()
	sum := int64(0)
	for h := range m.holders.all {
		if h.kind != HoldsIdle && now.Sub(time.Unix(0, h.since.Load())) >= MinStall {
			sum += h.bytes.Load()
		}
	}
	return sum >= int64(size)
}

// CutWorst cuts off the client that holds the most bytes for the longest time without progress, among those of the group if it is not
// nil. It returns false if all clients have made progress within minStall.
func (m *Memory) CutWorst(now time.Time, group any, minStall time.Duration) bool {
	return m.cutWorst(now, group, minStall, true)
}

// cutWorst is like CutWorst. Clients with an idle connection are cut off only if idle is set.
func (m *Memory) cutWorst(now time.Time, group any, minStall time.Duration, idle bool) bool {
	m.holders.mu.Lock()
	var worst *Holder
	var worstScore float64
	var worstStall time.Duration
	for h := range m.holders.all {
		stall := now.Sub(time.Unix(0, h.since.Load()))
		if stall < minStall || group != nil && h.group != group || !idle && h.kind == HoldsIdle {
			continue
		}
		score := float64(h.bytes.Load()) * stall.Seconds()
		if worst == nil || (h.kind == HoldsIdle) != (worst.kind == HoldsIdle) && worst.kind == HoldsIdle ||
			(h.kind == HoldsIdle) == (worst.kind == HoldsIdle) && score > worstScore {
			worst, worstScore, worstStall = h, score, stall
		}
	}
	if worst == nil {
		m.holders.mu.Unlock()
		return false
	}
	delete(m.holders.all, worst)
	worst.wasCut.Store(true)
	report := m.holders.report
	m.holders.mu.Unlock()
	if report != nil {
		report(Cut{Reason: worst.kind.String(), Address: worst.address, Bytes: worst.bytes.Load(), Stalled: worstStall})
	}
	worst.cut()
	return true
}

// RecordCut counts and logs a client that was refused or cut off. The log lines are limited in number, the counters are complete.
func (h *Handler) RecordCut(c Cut) {
	h.clientsCut(c.Reason).Inc(1)
	if !h.cutLines.Allow() {
		return
	}
	h.logger.WithFields(log.Fields{"client": c.Address, "reason": c.Reason, "bytes": c.Bytes, "stalledMs": c.Stalled.Milliseconds(),
		"accounted": h.memory.Used()}).Warn("forward: a client without progress was cut off")
}
