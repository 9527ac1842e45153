package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// maxBookingBytes bounds how much of a request body is read and recorded.
const maxBookingBytes = 1 << 20

// BookingRecord describes one executed booking.
type BookingRecord struct {
	Number int    `json:"number"` // starts at 1 and increases across all instances that share the records
	Key    string `json:"key"`    // Idempotency-Key, or ""
	Body   string `json:"body"`
}

// BookingStore holds the records of a booking service. Several instances can share it, as they would share a database.
type BookingStore struct {
	mu         sync.Mutex
	records    []BookingRecord
	countByKey map[string]int // executed bookings by idempotency key
	duplicates int            // executed bookings beyond the first with the same key
}

// NewBookingStore returns a BookingStore without records.
func NewBookingStore() *BookingStore { return &BookingStore{countByKey: map[string]int{}} }

func (b *BookingStore) add(key, body string) BookingRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := BookingRecord{Number: len(b.records) + 1, Key: key, Body: body}
	b.records = append(b.records, r)
	if key != "" {
		if b.countByKey[key] > 0 {
			b.duplicates++
		}
		b.countByKey[key]++
	}
	return r
}

// All returns the bookings in the order in which they were executed.
func (b *BookingStore) All() []BookingRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BookingRecord{}, b.records...)
}

// Duplicates returns how many bookings were executed with an idempotency key that had been booked before.
func (b *BookingStore) Duplicates() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.duplicates
}

// Count returns how many bookings were executed with the given idempotency key.
func (b *BookingStore) Count(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.countByKey[key]
}

// BookingService is a stand-in for a plain service with a non-idempotent call. It records the Idempotency-Key but does not
// deduplicate by it. Every call that arrives is booked, so that the records show a call that was sent twice.
type BookingService struct {
	*server
	store *BookingStore

	mu           sync.Mutex
	delay        time.Duration
	pendingDrops int // number of bookings whose answer is still to be dropped
	refusing     bool
}

// NewBookingService starts an instance on address that records its bookings in store.
func NewBookingService(address string, store *BookingStore) (*BookingService, error) {
	b := &BookingService{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", b.serveBook)
	mux.HandleFunc("GET /bookings", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Bookings []BookingRecord `json:"bookings"`
			Doubles  int             `json:"doubles"`
		}{b.store.All(), b.store.Duplicates()})
	})
	s, err := newServer(address, mux)
	if err != nil {
		return nil, err
	}
	b.server = s
	return b, nil
}

// Close stops the instance.
func (b *BookingService) Close() { b.stop() }

// Stop stops the instance abruptly, as in a crash. Start makes it listen again on the same address.
func (b *BookingService) Stop() { b.stop() }

// Start makes the instance listen again after Stop.
func (b *BookingService) Start() error { return b.start() }

// Store returns the records of the instance, which other instances may share.
func (b *BookingService) Store() *BookingStore { return b.store }

// SetDelay sets the time between the receipt of a booking and its execution.
func (b *BookingService) SetDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// DropResponses makes the instance execute the next n bookings and drop the connection instead of answering.
func (b *BookingService) DropResponses(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pendingDrops = n
}

// SetRefusing sets whether the instance refuses bookings without executing them.
func (b *BookingService) SetRefusing(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusing = on
}

// serveBook executes a booking after the delay, unless the instance refuses bookings, and answers with its record.
func (b *BookingService) serveBook(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	delay, refusing := b.delay, b.refusing
	b.mu.Unlock()
	if refusing {
		w.Header().Set("Goldcrest-Verdict", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBookingBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(delay)
	record := b.store.add(r.Header.Get("Idempotency-Key"), string(body))
	b.mu.Lock()
	drop := b.pendingDrops > 0
	if drop {
		b.pendingDrops--
	}
	b.mu.Unlock()
	if drop {
		dropConnection()
	}
	writeJSON(w, http.StatusCreated, record)
}
