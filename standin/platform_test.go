package standin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/standin"
)

// anyPort lets the system select a free port.
const anyPort = "127.0.0.1:0"

// call sends one request, decodes the JSON response into out and returns the status code, or 0 if the connection was dropped.
func call(t *testing.T, method, address, path string, in, out any, headers ...string) int {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if out != nil && len(data) > 0 {
		if err := json.Unmarshal(data, out); err != nil {
			t.Fatalf("%s %s answered %q: %v", method, path, data, err)
		}
	}
	return resp.StatusCode
}

// readBatch is the response of a log to a read.
type readBatch struct {
	Entries []struct {
		Offset uint64
		Data   []byte
	}
	Earliest, Next uint64
	Identity       string
}

// TestLogFaults guards against injected faults that lose or renumber log records differently from their documentation.
func TestLogFaults(t *testing.T) {
	log, err := standin.NewLog(anyPort, standin.WithMaxRecords(4))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	appendOne := func(s string) int {
		return call(t, "POST", log.Address(), "/log/append", map[string]any{"records": [][]byte{[]byte(s)}}, nil)
	}
	steps := []struct {
		name   string
		setup  func()
		record string // appended after setup, or ""
		status int
		from   uint64
		want   string // first offset, contents, earliest, next, identity
	}{
		{"append", func() {}, "a", 200, 0, "[0:a] 0 1 log-1"},
		{"lost answer", func() { log.DropResponses(1) }, "b", 0, 0, "[0:a 1:b] 0 2 log-1"},
		{"outage", func() { log.SetOutage(standin.OutageRefuse) }, "x", 503, 0, ""},
		{"after the outage", func() { log.SetOutage(standin.OutageNone) }, "c", 200, 1, "[1:b 2:c] 0 3 log-1"},
		{"retention by count", func() { appendOne("d") }, "e", 200, 0, "[1:b 2:c 3:d 4:e] 1 5 log-1"},
		{"retention by offset", func() { log.RemoveBefore(3) }, "", 0, 0, "[3:d 4:e] 3 5 log-1"},
		{"truncation", func() { log.Truncate(1) }, "f", 200, 4, "[4:f] 3 5 log-1"},
		{"recreation", func() { log.Recreate() }, "g", 200, 0, "[0:g] 0 1 log-2"},
		{"read beyond the end", func() {}, "", 0, 9, "[] 0 1 log-2"},
	}
	for _, s := range steps {
		s.setup()
		if s.record != "" {
			if status := appendOne(s.record); status != s.status {
				t.Errorf("%s: append answered %d, want %d", s.name, status, s.status)
			}
		}
		if s.want == "" {
			continue
		}
		var b readBatch
		call(t, "GET", log.Address(), fmt.Sprintf("/log/read?from=%d&max=10&waitMillis=1", s.from), nil, &b)
		var entries []string
		for _, e := range b.Entries {
			entries = append(entries, fmt.Sprintf("%d:%s", e.Offset, e.Data))
		}
		if got := fmt.Sprintf("%v %d %d %s", entries, b.Earliest, b.Next, b.Identity); got != s.want {
			t.Errorf("%s: read %s, want %s", s.name, got, s.want)
		}
	}
}

// TestLogWait guards against an append that does not wake a waiting read.
func TestLogWait(t *testing.T) {
	log, err := standin.NewLog(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	got := make(chan readBatch)
	go func() {
		var b readBatch
		call(t, "GET", log.Address(), "/log/read?from=0&max=1&waitMillis=60000", nil, &b)
		got <- b
	}()
	call(t, "POST", log.Address(), "/log/append", map[string]any{"records": [][]byte{[]byte("a")}}, nil)
	if b := <-got; len(b.Entries) != 1 {
		t.Errorf("waiting read got %d entries, want 1", len(b.Entries))
	}
}

// TestVMListLag guards against a list that shows changes before the lag has passed.
func TestVMListLag(t *testing.T) {
	list, err := standin.NewVMList(anyPort, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	vm := standin.ListedVM{Name: "jm-a/1", Instance: "i-1", Address: "127.0.0.1:7001", State: "live"}
	list.Set(vm)
	for _, c := range []struct {
		lag  time.Duration
		want []standin.ListedVM
	}{{time.Hour, []standin.ListedVM{}}, {0, []standin.ListedVM{vm}}} {
		list.SetLag(c.lag)
		var got struct{ VMs []standin.ListedVM }
		call(t, "GET", list.Address(), "/vms", nil, &got)
		if diff := cmp.Diff(c.want, got.VMs); diff != "" {
			t.Errorf("lag %v: %s", c.lag, diff)
		}
	}
}

// TestWeightStoreRate guards against a weight store that accepts a reservation whose wait exceeds the limit. At 1 byte per second,
// the second reservation waits for less than an hour and the third one for longer.
func TestWeightStoreRate(t *testing.T) {
	store, err := standin.NewWeightStore(anyPort, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	for i, want := range []int{200, 200, 429} {
		body := map[string]any{"model": "small", "bytes": 3000}
		if got := call(t, "POST", store.Address(), "/weights/reservations", body, nil); got != want {
			t.Errorf("reservation %d answered %d, want %d", i, got, want)
		}
	}
}

// TestBookingFaults guards against a booking that is executed although it was refused, and against one that is not executed
// when only its answer is lost.
func TestBookingFaults(t *testing.T) {
	store := standin.NewBookingStore()
	a, err := standin.NewBookingService(anyPort, store)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	for _, c := range []struct {
		name               string
		setup              func()
		key                string
		status             int
		booked, duplicates int
	}{
		{"first", func() {}, "k1", 201, 1, 0},
		{"same key again", func() {}, "k1", 201, 2, 1},
		{"refused", func() { a.SetRefusing(true) }, "k2", 503, 2, 1},
		{"lost answer", func() { a.SetRefusing(false); a.DropResponses(1) }, "k2", 0, 3, 1},
		{"without a key", func() {}, "", 201, 4, 1},
	} {
		c.setup()
		status := call(t, "POST", a.Address(), "/bookings", map[string]int{"seat": 1}, nil, "Idempotency-Key", c.key)
		if status != c.status || len(store.All()) != c.booked || store.Duplicates() != c.duplicates {
			t.Errorf("%s: status %d, %d booked, %d doubles; want %d, %d, %d", c.name, status, len(store.All()),
				store.Duplicates(), c.status, c.booked, c.duplicates)
		}
	}
}
