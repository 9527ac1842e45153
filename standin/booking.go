package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// longestBooking is the most bytes of a booking that are recorded.
const longestBooking = 1 << 20

// BookingRecord is one booking that ran.
type BookingRecord struct {
	Number int    `json:"number"` // counts up from 1 over all instances with the same records
	Key    string `json:"key"`    // Idempotency-Key, or ""
	Body   string `json:"body"`
}

// Bookings are the records of a booking service. Several instances can share them, as they would share a database.
type Bookings struct {
	mu      sync.Mutex
	records []BookingRecord
	byKey   map[string]int
	doubles int
}

// NewBookings returns empty records.
func NewBookings() *Bookings { return &Bookings{byKey: map[string]int{}} }

func (b *Bookings) add(key, body string) BookingRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := BookingRecord{Number: len(b.records) + 1, Key: key, Body: body}
	b.records = append(b.records, r)
	if key != "" {
		if b.byKey[key] > 0 {
			b.doubles++
		}
		b.byKey[key]++
	}
	return r
}

// All returns the bookings in the order in which they ran.
func (b *Bookings) All() []BookingRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BookingRecord{}, b.records...)
}

// Doubles returns how many bookings ran with a key that had already been booked.
func (b *Bookings) Doubles() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doubles
}

// Count returns how many bookings ran with key.
func (b *Bookings) Count(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKey[key]
}

// Booking is a stand-in for a plain service with a non-idempotent call. It does not honour Idempotency-Key by itself: each
// call that reaches it books once more, so that a repeated call shows.
type Booking struct {
	*server
	bookings *Bookings

	mu     sync.Mutex
	delay  time.Duration
	drop   int
	refuse bool
}

// NewBooking starts an instance on address that adds to bookings.
func NewBooking(address string, bookings *Bookings) (*Booking, error) {
	b := &Booking{bookings: bookings}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", b.serveBook)
	mux.HandleFunc("GET /bookings", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Bookings []BookingRecord `json:"bookings"`
			Doubles  int             `json:"doubles"`
		}{b.bookings.All(), b.bookings.Doubles()})
	})
	s, err := newServer(address, mux)
	if err != nil {
		return nil, err
	}
	b.server = s
	return b, nil
}

// Close stops the instance.
func (b *Booking) Close() { b.stop() }

// Stop stops the instance as a crash does; Start lets it listen again on the same address.
func (b *Booking) Stop() { b.stop() }

// Start listens again after Stop.
func (b *Booking) Start() error { return b.start() }

// Bookings returns the records that the instance adds to.
func (b *Booking) Bookings() *Bookings { return b.bookings }

// SetDelay makes each booking take d before it is recorded.
func (b *Booking) SetDelay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// LoseAnswers makes the next n bookings take effect without an answer: the connection is dropped.
func (b *Booking) LoseAnswers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop = n
}

// SetRefuse makes the instance refuse bookings before running them.
func (b *Booking) SetRefuse(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuse = on
}

func (b *Booking) serveBook(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	delay, refuse := b.delay, b.refuse
	b.mu.Unlock()
	if refuse {
		w.Header().Set("Goldcrest-Verdict", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, longestBooking))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(delay)
	record := b.bookings.add(r.Header.Get("Idempotency-Key"), string(body))
	b.mu.Lock()
	lost := b.drop > 0
	if lost {
		b.drop--
	}
	b.mu.Unlock()
	if lost {
		dropConnection()
	}
	writeJSON(w, http.StatusCreated, record)
}
