package oplog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"goldcrestpath/http1/http1test"
	"goldcrestpath/standin"
)

// startLog starts a stand-in log server and returns it with a client.
func startLog(t testing.TB, opts ...standin.LogOption) (*standin.Log, *HTTPLog) {
	t.Helper()
	server, err := standin.NewLog("127.0.0.1:0", opts...)
	if err != nil {
		t.Fatal(err)
	}
	l := NewHTTPLog(server.Address())
	t.Cleanup(server.Close)
	return server, l
}

// Guards against a client that retries an append, reports a call with a lost response as not sent, or reports a call that was
// not sent as sent.
func TestHTTPLog(t *testing.T) {
	server, l := startLog(t)
	if offset, err := l.Append(t.Context(), [][]byte{[]byte("a"), []byte("b")}); err != nil || offset != 0 {
		t.Fatalf("append: offset %d, %v", offset, err)
	}
	want := Batch{Entries: []Entry{{1, []byte("b")}}, Next: 2, Identity: "log-1"}
	if got, err := l.Read(t.Context(), 1, 10); err != nil || !cmp.Equal(want, got) {
		t.Errorf("read: %v\n%s", err, cmp.Diff(want, got))
	}
	var unsent *UnsentError
	server.DropResponses(1)
	if _, err := l.Append(t.Context(), [][]byte{[]byte("c")}); err == nil || errors.As(err, &unsent) {
		t.Errorf("append with a lost response: %v", err)
	}
	if n := len(server.Records()); n != 3 {
		t.Errorf("the log holds %d records, want 3", n)
	}
	server.SetOutage(standin.OutageRefuse)
	var status *StatusError
	if _, err := l.Append(t.Context(), [][]byte{[]byte("d")}); !errors.As(err, &status) || status.Status != 503 {
		t.Errorf("append in an outage: %v", err)
	}
	server.Close()
	if _, err := l.Append(t.Context(), [][]byte{[]byte("e")}); !errors.As(err, &unsent) {
		t.Errorf("append without a server: %v", err)
	}
}

// Guards against a reader that makes no progress when the records of one read don't fit into one response.
func TestLongAnswers(t *testing.T) {
	server, l := startLog(t)
	l.http.responseLimit = 8 << 10
	for range 20 {
		if _, err := l.Append(t.Context(), [][]byte{make([]byte, 4<<10)}); err != nil {
			t.Fatal(err)
		}
	}
	s := NewStore(l, discardLogger())
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for !s.LogReachable() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if got, want := s.Snapshot().Offset(), uint64(len(server.Records())); got != want {
		t.Errorf("applied up to offset %d, want %d", got, want)
	}
}

// Guards against clients that decode the VM list or the responses of the weight store incorrectly.
func TestVMListAndWeightStore(t *testing.T) {
	vms, err := standin.NewVMList("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer vms.Close()
	vms.Set(standin.ListedVM{Name: "jm-a/1", Instance: "i-17", Address: "127.0.0.1:7001", State: "leaving"})
	list := NewVMList(vms.Address())
	want := []ListedVM{{Name: "jm-a/1", Instance: "i-17", Address: "127.0.0.1:7001", State: VMLeaving}}
	if got, err := list.Get(t.Context()); err != nil || !cmp.Equal(want, got.VMs) {
		t.Errorf("VM list: %v\n%s", err, cmp.Diff(want, got.VMs))
	}

	weights, err := standin.NewWeightStore("127.0.0.1:0", 1000, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer weights.Close()
	store := NewWeightStore(weights.Address())
	if _, err := store.Reserve(t.Context(), "small", 10_000); err != nil {
		t.Errorf("first download: %v", err)
	}
	var busy *WeightStoreBusyError
	if _, err := store.Reserve(t.Context(), "small", 1); !errors.As(err, &busy) || busy.RetryAfter <= 0 {
		t.Errorf("download while too many others are waiting: %v", err)
	}
}

// BenchmarkChange measures the time from the publication of a document until nine VMs have applied it.
func BenchmarkChange(b *testing.B) {
	_, l := startLog(b)
	stores := make([]*Store, 9)
	for i := range stores {
		stores[i] = NewStore(l, discardLogger())
		defer stores[i].Close()
	}
	for !stores[0].LogReachable() {
		time.Sleep(time.Millisecond)
	}
	base := uint64(0)
	for b.Loop() {
		revision, err := stores[0].Publish(b.Context(), FleetDocument, base, make([]byte, 4096))
		if err != nil {
			b.Fatal(err)
		}
		base = revision
		for _, s := range stores {
			for {
				if d, _ := s.Snapshot().Document(FleetDocument); d.Revision >= revision {
					break
				}
				<-s.Changed()
			}
		}
	}
}

// BenchmarkClaims measures the rate of claims by 200 concurrent requests on one VM, and the rate of appends that they cause.
func BenchmarkClaims(b *testing.B) {
	const workers = 200
	_, l := startLog(b)
	s := NewStore(l, discardLogger())
	defer s.Close()
	for !s.LogReachable() {
		time.Sleep(time.Millisecond)
	}
	var n atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for range workers {
		wg.Go(func() {
			for {
				i := n.Add(1)
				if i > int64(b.N) {
					return
				}
				if _, err := s.Claim(context.Background(), Claim{Key: fmt.Sprint(i), Digest: "d", Holder: "jm-a/1"}); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(s.Counters().Appends)/b.Elapsed().Seconds(), "appends/s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// TestMalformedHead guards against records that count as appended or read although the head of the response is malformed, and against an
// error that states that an append was not sent.
func TestMalformedHead(t *testing.T) {
	http1test.CheckClient(t, "{}", func(t *testing.T, address string) map[string]error {
		l := NewHTTPLog(address)
		_, appendErr := l.Append(t.Context(), [][]byte{[]byte("a")})
		_, readErr := l.Read(t.Context(), 0, 0)
		var unsent *UnsentError
		if errors.As(appendErr, &unsent) || errors.As(readErr, &unsent) {
			t.Error("the error states that the request was not sent")
		}
		return map[string]error{"Append": appendErr, "Read": readErr}
	})
}
