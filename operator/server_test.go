package operator

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
)

const testToken = "0123456789abcdef"

// fakeAdmin is an Admin that keeps only the newest revision of each document. If err is set, Publish returns it.
type fakeAdmin struct {
	documents map[string]oplog.Document
	drain     oplog.Drain
	err       error
}

var _ Admin = (*fakeAdmin)(nil)

func (a *fakeAdmin) Publish(_ context.Context, name string, base uint64, content []byte) (uint64, error) {
	current := a.documents[name].Revision
	switch {
	case a.err != nil:
		return 0, a.err
	case base != current:
		return 0, &oplog.ConflictError{Document: name, Base: base, Current: current}
	}
	a.documents[name] = oplog.Document{Name: name, Revision: base + 1, Content: content}
	return base + 1, nil
}

func (a *fakeAdmin) Document(name string) (oplog.Document, bool) {
	d, ok := a.documents[name]
	return d, ok
}

func (a *fakeAdmin) Documents() []oplog.Document { return a.History("fleet") }

func (a *fakeAdmin) History(name string) []oplog.Document {
	return []oplog.Document{a.documents[name]}
}

func (a *fakeAdmin) SetDrain(_ context.Context, target string, drained bool) (oplog.Drain, error) {
	a.drain = oplog.Drain{Target: target, Generation: a.drain.Generation + 1, Drained: drained}
	return a.drain, nil
}

func (a *fakeAdmin) Status(context.Context) (Status, error) {
	return Status{VMName: "jm-a/1", Ready: true, Drains: []DrainStatus{NewDrainStatus(a.drain)}}, nil
}

// startServer serves the API of an Admin on a loopback port and returns its address.
func startServer(t *testing.T, a Admin, r metrics.Registry, opts ...Option) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	withoutLogs := WithLogger(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	s := NewServer(a, r, append([]Option{WithToken(testToken), withoutLogs}, opts...)...)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// Guards against errors whose type, current revision or problems are lost between server and client.
func TestPublishOverHTTP(t *testing.T) {
	a := &fakeAdmin{documents: map[string]oplog.Document{}}
	c := NewClient(startServer(t, a, metrics.NewRegistry()), testToken)
	defer c.Close()
	contract := readSample(t, "contract.ini")
	if revision, err := c.Publish(t.Context(), "contract/deskTeam", 0, contract); err != nil || revision != 1 {
		t.Fatalf("publish: revision %d, %v", revision, err)
	}
	var conflict *oplog.ConflictError
	_, err := c.Publish(t.Context(), "contract/deskTeam", 0, contract)
	if want := (oplog.ConflictError{Document: "contract/deskTeam", Current: 1}); !errors.As(err, &conflict) || *conflict != want {
		t.Errorf("publish with an outdated base: %v", err)
	}
	var problems customer.Problems
	if _, err := c.Publish(t.Context(), "contract/other", 0, contract); !errors.As(err, &problems) || problems[0].Value != "deskTeam" {
		t.Errorf("publish with a name that differs from the contract: %v", err)
	}
	if _, err := c.Publish(t.Context(), "fleet", 0, []byte("[x]\n")); !errors.As(err, &problems) || problems[0].Section != "x" {
		t.Errorf("publish of an invalid fleet: %v", err)
	}
	d, err := c.Document(t.Context(), "contract/deskTeam")
	if err != nil || d.Revision != 1 || !bytes.Equal(d.Content, contract) {
		t.Errorf("get document: %+v, %v", d, err)
	}
	var apiErr *APIError
	if _, err := c.Document(t.Context(), "fleet"); !errors.As(err, &apiErr) || apiErr.Code != codeNotFound {
		t.Errorf("get unknown document: %v", err)
	}
	a.err = errors.Wrap(oplog.NewUnknownError(errors.New("lost")), "publish")
	if _, err := c.Publish(t.Context(), "contract/deskTeam", 1, contract); !errors.As(err, &apiErr) || apiErr.Code != codeUnknown {
		t.Errorf("publish with unknown outcome: %v", err)
	}
}

// Guards against an API that accepts calls without the right token.
func TestToken(t *testing.T) {
	a := &fakeAdmin{}
	for name, address := range map[string]string{
		"token":    startServer(t, a, metrics.NewRegistry()),
		"no token": startServer(t, a, metrics.NewRegistry(), WithToken("")),
	} {
		for _, token := range []string{"", "0123456789abcdee", testToken + "0"} {
			c := NewClient(address, token)
			var apiErr *APIError
			if _, err := c.SetDrain(t.Context(), "vm/jm-a/1", true); !errors.As(err, &apiErr) || apiErr.Status != http.StatusUnauthorized {
				t.Errorf("%s: call with token %q: %v", name, token, err)
			}
			c.Close()
		}
	}
	if a.drain.Generation != 0 {
		t.Error("a refused call took effect")
	}
}

// Guards against metrics that Prometheus cannot parse, and against metrics that are lost or merged.
func TestMetrics(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("caller.refused.tokenRate", r).Inc(3)
	metrics.GetOrRegisterGauge("entry.members.alive", r).Update(2)
	metrics.GetOrRegisterHistogram("caller.ttftMillis.short", r, metrics.NewUniformSample(10)).Update(7)
	metrics.GetOrRegisterTimer("caller.time", r)
	c := NewClient(startServer(t, &fakeAdmin{}, r), testToken)
	defer c.Close()
	text, err := c.Metrics(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		t.Fatalf("%v in:\n%s", err, text)
	}
	got := map[string]float64{}
	for name, f := range families {
		m := f.Metric[0]
		got[name] = m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetSummary().GetSampleSum()
	}
	want := map[string]float64{
		"goldcrest_caller_refused_tokenRate": 3, "goldcrest_entry_members_alive": 2, "goldcrest_caller_ttftMillis_short": 7, "goldcrest_caller_time": 0,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics:\n%s", diff)
	}
	asJSON, err := c.roundTrip(t.Context(), http.MethodGet, "/metrics?format=json", nil)
	if err != nil || !strings.Contains(string(asJSON), `"caller.refused.tokenRate":{"count":3}`) {
		t.Errorf("JSON: %s, %v", asJSON, err)
	}
}

// Guards against paths that are dispatched to the wrong call, against bodies without a size limit, and against names that are
// not unescaped.
func TestCallDispatch(t *testing.T) {
	a := &fakeAdmin{documents: map[string]oplog.Document{"contract/a b": {Name: "contract/a b", Revision: 7}}}
	c := NewClient(startServer(t, a, metrics.NewRegistry()), testToken)
	defer c.Close()
	long := bytes.Repeat([]byte(" "), maxDocumentBytes+1)
	for _, tt := range []struct {
		method, path string
		body         []byte
		status       int
		text         string // expected in the response or error
	}{
		{http.MethodGet, "/documents", nil, http.StatusOK, "["},
		{http.MethodGet, "/documents/contract/a%20b", nil, http.StatusOK, `"revision":7`},
		{http.MethodGet, "/documents/", nil, http.StatusNotFound, codeNotFound},
		{http.MethodGet, "/status/x", nil, http.StatusNotFound, codeNotFound},
		{http.MethodGet, "/history", nil, http.StatusNotFound, codeNotFound},
		{http.MethodGet, "/drains/vm/x", nil, http.StatusMethodNotAllowed, "allowed is PUT"},
		{http.MethodDelete, "/documents/fleet", nil, http.StatusMethodNotAllowed, "allowed is GET, PUT"},
		{http.MethodPut, "/documents/fleet", nil, http.StatusBadRequest, "base: allowed is"},
		{http.MethodPut, "/documents/fleet?base=0", long, http.StatusBadRequest, "body is longer than"},
		{http.MethodPut, "/drains/vm/x", long, http.StatusBadRequest, "body is longer than"},
		{http.MethodPut, "/drains/vm/x", []byte("{"), http.StatusBadRequest, "decode drain"},
	} {
		data, err := c.roundTrip(t.Context(), tt.method, tt.path, tt.body)
		status, text := http.StatusOK, string(data)
		var e *APIError
		if errors.As(err, &e) {
			status, text = e.Status, e.Error()
		} else if err != nil {
			text = err.Error()
		}
		if status != tt.status || !strings.Contains(text, tt.text) {
			t.Errorf("%s %s: status %d, %s; want %d, %s", tt.method, tt.path, status, text, tt.status, tt.text)
		}
	}
	if a.drain.Generation != 0 {
		t.Error("a refused call took effect")
	}
}
