package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/endpoint"
	"goldcrestpath/forward"
)

// trials grants a number of trials. It implements forward.Trials.
type trials struct {
	mu       sync.Mutex
	left     int
	released []endpoint.PromptPart
}

func (t *trials) TakeTrial(endpoint.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left--
	return t.left >= 0
}

func (t *trials) Release(part endpoint.PromptPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.released = append(t.released, part)
}

var crashingPart = endpoint.PromptPartOf("crashing")

// counted returns a handler that calls h and counts the requests.
func counted(n *int, mu *sync.Mutex, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		*n++
		mu.Unlock()
		h(w, r)
	}
}

// shortStream answers with a complete stream of events.
func shortStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerAuthentic, "1")
	for i := range 3 {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		w.(http.Flusher).Flush()
	}
}

// TestPromptWithAQuarantinedPart guards against a prompt that reaches an engine although one of its parts is in quarantine, on any kind of
// route, against a trial that is sent twice or after its time, and against a part that stays in quarantine after a trial was answered.
func TestPromptWithAQuarantinedPart(t *testing.T) {
	since := time.Now()
	for name, c := range map[string]struct {
		part         string
		quarantined  time.Time // when the part was quarantined
		trials       int
		handler      http.HandlerFunc
		path         string
		wantStatus   int
		wantRequests int
		wantReleased int
	}{
		"stream":            {part: "crashing", quarantined: since, trials: 1, handler: shortStream, path: "/stream/", wantStatus: 503},
		"call":              {part: "crashing", quarantined: since, trials: 1, handler: echo, path: "/read/", wantStatus: 503},
		"another part":      {part: "sound", quarantined: since, handler: shortStream, path: "/stream/", wantStatus: 200, wantRequests: 1},
		"trial":             {part: "crashing", quarantined: since.Add(-time.Hour), trials: 1, handler: shortStream, path: "/stream/", wantStatus: 200, wantRequests: 1, wantReleased: 1},
		"trial is taken":    {part: "crashing", quarantined: since.Add(-time.Hour), handler: shortStream, path: "/stream/", wantStatus: 503},
		"trial breaks off":  {part: "crashing", quarantined: since.Add(-time.Hour), trials: 5, handler: raw(""), path: "/stream/", wantStatus: 502, wantRequests: 1},
		"trial is rejected": {part: "crashing", quarantined: since.Add(-time.Hour), trials: 1, handler: rejectNotRun, path: "/once/", wantStatus: 503, wantRequests: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			requests := 0
			q := endpoint.NewQuarantine()
			q.SetState(endpoint.QuarantinedPart{Part: crashingPart, Revision: 1, ChangedAt: c.quarantined})
			tr := &trials{left: c.trials}
			h := counted(&requests, &mu, c.handler)
			s := newSiteWith(t, []forward.Option{forward.WithQuarantine(q, tr)}, h, h)
			got, err := s.do("POST", c.path, "", headerPart, c.part)
			if err != nil {
				t.Fatal(err)
			}
			mu.Lock()
			defer mu.Unlock()
			if diff := cmp.Diff([]int{c.wantStatus, c.wantRequests, c.wantReleased}, []int{got.Status, requests, len(tr.released)}); diff != "" {
				t.Errorf("status, requests at endpoints, released parts (-want +got):\n%s%s", diff, strings.Join(s.logs.lines, "\n"))
			}
			if got.Status == 503 && !got.Retry {
				t.Error("the refusal has no Retry-After")
			}
		})
	}
}

// endingEngine is an endpoint whose process ends when it has begun to answer.
type endingEngine struct {
	listener net.Listener
	framing  string // header line, or "" for an answer that ends with its connection
}

func (e *endingEngine) serve(end bool) {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		_, _ = conn.Read(buf)
		if end {
			e.listener.Close()
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: call-1\r\n%s: 1\r\n%s\r\n", headerID, headerAuthentic, e.framing)
		conn.Close()
	}
}

// TestEngineThatEndsUnderAPrompt guards against an engine's end that is not reported as evidence, and against evidence from an engine that
// breaks a connection but goes on. The prompt is not sent to an engine any more once its part is in quarantine, although the route allows it.
func TestEngineThatEndsUnderAPrompt(t *testing.T) {
	for _, c := range []struct {
		ends    bool
		framing string
	}{{true, "Transfer-Encoding: chunked\r\n"}, {true, ""}, {false, "Transfer-Encoding: chunked\r\n"}, {false, ""}} {
		q := endpoint.NewQuarantine()
		s := newSiteWith(t, []forward.Option{forward.WithQuarantine(q, &trials{})})
		for i := range 4 {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go (&endingEngine{listener: l, framing: c.framing}).serve(c.ends)
			s.fleet.SetEntry(time.Now(), endpoint.Entry{ID: fmt.Sprint("engine-", i), Service: "desk", Address: l.Addr().String(), DataCentre: "dc", Slots: 4}, 0)
		}
		for range 2 {
			if got, err := s.do("POST", "/stream/", "", headerPart, "crashing"); err == nil && got.Status == 200 {
				t.Errorf("engines end: %v, framing %q: a stream without events looks complete", c.ends, c.framing)
			}
			time.Sleep(200 * time.Millisecond) // separate ends of engines are counted separately
		}
		s.handler.Close()
		want := 0
		if c.ends {
			want = 4
		}
		if got := len(q.TakeReports(true).Suspects); got != want {
			t.Errorf("engines end: %v, framing %q: %d suspect prompts, want %d", c.ends, c.framing, got, want)
		}
	}
}

// TestPartsOfALongList guards against a prompt with very many parts whose first or last ones are overlooked, or whose report does not fit into
// a datagram.
func TestPartsOfALongList(t *testing.T) {
	const n = 300
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%x", i)
	}
	for i := range ids {
		considered := i < forward.MaxSharedParts/2 || i >= n-forward.MaxSharedParts/2
		q := endpoint.NewQuarantine()
		q.SetState(endpoint.QuarantinedPart{Part: endpoint.PromptPartOf(ids[i]), Revision: 1, ChangedAt: time.Now()})
		s := newSiteWith(t, []forward.Option{forward.WithQuarantine(q, &trials{})}, shortStream)
		got, err := s.do("POST", "/stream/", "", headerPart, strings.Join(ids, ","))
		if err != nil {
			t.Fatal(err)
		}
		if refused := got.Status == http.StatusServiceUnavailable; refused != considered {
			t.Errorf("part %d of %d in quarantine: status %d", i, n, got.Status)
		}
		s.server.Close()
	}
}
