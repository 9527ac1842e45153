package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ListedVM is one entry of the VM list.
type ListedVM struct {
	Name     string `json:"place"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	State    string `json:"state"` // live or leaving
}

// VMList is a stand-in for the platform's list of VMs. Clients see each change of the list after a configurable lag.
type VMList struct {
	*server
	outageSwitch

	mu      sync.Mutex
	lag     time.Duration
	history []vmListState // oldest first
}

// vmListState is the content of the list from a time on.
type vmListState struct {
	since time.Time
	vms   []ListedVM
}

// NewVMList starts an empty list on address.
func NewVMList(address string, lag time.Duration) (*VMList, error) {
	l := &VMList{lag: lag, history: []vmListState{{vms: []ListedVM{}}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		vms, lag := l.visible(time.Now())
		writeJSON(w, http.StatusOK, struct {
			VMs       []ListedVM `json:"vms"`
			AgeMillis int64      `json:"ageMillis"`
		}{vms, lag.Milliseconds()})
	})
	s, err := newServer(address, l.wrap(mux))
	if err != nil {
		return nil, err
	}
	l.server = s
	return l, nil
}

// Close stops the list.
func (l *VMList) Close() { l.stop() }

// Set replaces the list. Clients see the change after the lag.
func (l *VMList) Set(vms ...ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, vmListState{since: time.Now(), vms: append([]ListedVM{}, vms...)})
}

// SetLag sets the time after which clients see a change of the list.
func (l *VMList) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// visible returns the list that clients see at the given time, and the lag.
func (l *VMList) visible(now time.Time) ([]ListedVM, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.history) - 1
	for i > 0 && now.Sub(l.history[i].since) < l.lag {
		i--
	}
	return l.history[i].vms, l.lag
}

// WeightStore is a stand-in for the rate-limited store of model weights.
type WeightStore struct {
	*server
	outageSwitch

	mu             sync.Mutex
	bytesPerSecond float64
	maxWait        time.Duration
	busyUntil      time.Time // end of the last reserved download
	reservations   int
	refused        int
}

// NewWeightStore starts a store on address with a bandwidth of bytesPerSecond. It refuses reservations that would have to wait
// longer than maxWait.
func NewWeightStore(address string, bytesPerSecond float64, maxWait time.Duration) (*WeightStore, error) {
	w := &WeightStore{bytesPerSecond: bytesPerSecond, maxWait: maxWait}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /weights/reservations", w.serveReserve)
	s, err := newServer(address, w.wrap(mux))
	if err != nil {
		return nil, err
	}
	w.server = s
	return w, nil
}

// Close stops the store.
func (s *WeightStore) Close() { s.stop() }

// Reservations returns the numbers of accepted and refused reservations.
func (s *WeightStore) Reservations() (accepted, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reservations, s.refused
}

// serveReserve handles a request to reserve a download. The answer contains the wait until the download can start.
func (s *WeightStore) serveReserve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model string `json:"model"`
		Bytes int64  `json:"bytes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Model == "" || body.Bytes <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, ok := s.reserve(time.Now(), body.Bytes)
	if !ok {
		w.Header().Set("Retry-After", strconv.Itoa(int(wait/time.Second)+1))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		WaitMillis int64 `json:"waitMillis"`
	}{wait.Milliseconds()})
}

// reserve reserves a download of n bytes and returns the wait until it can start. It returns false, and reserves nothing, if the
// wait exceeds maxWait.
func (s *WeightStore) reserve(now time.Time, n int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	wait := s.busyUntil.Sub(now)
	if wait > s.maxWait {
		s.refused++
		return wait, false
	}
	s.reservations++
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(n) / s.bytesPerSecond * float64(time.Second)))
	return wait, true
}
