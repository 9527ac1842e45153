package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/operator"
	"goldcrestpath/standin"
)

// fakeController is a VMController with simple servers in place of the entry VMs. They send prompts to the engines in turn without
// regard to their free memory, and each booking once per idempotency key. A fault makes them break one of the invariants that the lab
// checks.
type fakeController struct {
	lab     *lab
	fault   string // fault to inject, or empty: overcommit, notRun, drain or booking
	servers []*httptest.Server

	mu      sync.Mutex
	next    int
	drained map[string]bool
	claims  map[string][]byte
}

// startFakeController starts a server on the caller address of each VM of the lab.
func startFakeController(l *lab, fault string) (VMController, error) {
	f := &fakeController{lab: l, fault: fault, drained: map[string]bool{}, claims: map[string][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/completions", f.complete)
	mux.HandleFunc("POST /services/booking/bookings", f.book)
	for _, v := range l.vms {
		ln, err := net.Listen("tcp", v.caller)
		if err != nil {
			return nil, err
		}
		s := &httptest.Server{Listener: ln, Config: &http.Server{Handler: mux}}
		s.Start()
		f.servers = append(f.servers, s)
	}
	return f, nil
}

func (f *fakeController) Start(string) error                       { return nil }
func (f *fakeController) Stop(context.Context, string, bool) error { return nil }

func (f *fakeController) Publish(context.Context, string, string) error { return nil }

func (f *fakeController) CallerAddresses(string) []string {
	var all []string
	for _, v := range f.lab.vms {
		all = append(all, v.caller)
	}
	return all
}

func (f *fakeController) SetDrained(_ context.Context, target string, drained bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained[strings.TrimPrefix(target, "dataCentre/")] = drained && f.fault != "drain"
	return nil
}

func (f *fakeController) Close() {
	for _, s := range f.servers {
		s.Close()
	}
}

// nextEngine returns the next engine that is not in a drained data centre.
func (f *fakeController) nextEngine() *standin.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		f.next++
		dc := f.lab.cfg.dataCentres[f.next%len(f.lab.cfg.dataCentres)]
		if !f.drained[dc] {
			return f.lab.engines[dc][f.next/3%len(f.lab.engines[dc])]
		}
	}
}

// complete forwards a prompt to an engine and translates the stream of its answer.
func (f *fakeController) complete(w http.ResponseWriter, r *http.Request) {
	var request map[string]any
	json.NewDecoder(r.Body).Decode(&request)
	e := f.nextEngine()
	id := r.Header.Get("X-Request-Id") + "-1"
	tokens := len(request["prompt"].(string))/standin.TokenBytes + int(request["max_tokens"].(float64))
	request["request_id"], request["holder"], request["reserved_tokens"] = id, "fake", tokens
	if f.fault != "overcommit" {
		request["group_tokens"] = max(0, tokens-1000)
		request["reserved_tokens"] = tokens - request["group_tokens"].(int)
	}
	body, _ := json.Marshal(request)
	resp, err := http.Post("http://"+e.Address()+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil || f.fault == "notRun" && tokens > 1_500 { // the prompt of awaitReady is shorter
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"reason":"noEndpoint","verdict":"notRun"}}`)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
		return
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var ev struct {
			Text string
			End  bool
		}
		json.Unmarshal([]byte(data), &ev)
		if ev.End {
			fmt.Fprint(w, "data: [DONE]\n\n")
			continue
		}
		out, _ := json.Marshal(map[string]any{"choices": []map[string]any{{"text": ev.Text}}})
		fmt.Fprintf(w, "data: %s\n\n", out)
		http.NewResponseController(w).Flush()
	}
}

// book forwards a booking to a service instance once per idempotency key, and then repeats the recorded answer.
func (f *fakeController) book(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	answer, known := f.claims[key]
	if !known || f.fault == "booking" {
		b := f.lab.bookings[f.lab.cfg.dataCentres[0]][0]
		out, _ := http.NewRequest(http.MethodPost, "http://"+b.Address()+"/bookings", r.Body)
		out.Header = r.Header
		resp, err := http.DefaultClient.Do(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		answer, _ = io.ReadAll(resp.Body)
		f.claims[key] = answer
	}
	w.WriteHeader(http.StatusCreated)
	w.Write(answer)
}

// TestLabFindsViolations guards against a lab that misses the violation of an invariant, or reports one although none occurred.
func TestLabFindsViolations(t *testing.T) {
	defer func(f func(context.Context, *lab) (VMController, error)) { newVMController = f }(newVMController)
	for _, c := range []struct{ fault, want string }{
		{"", ""}, {"booking", "invariant 7"}, {"notRun", "invariant 6"}, {"overcommit", "invariant 2"}, {"drain", "invariant 4"},
	} {
		newVMController = func(_ context.Context, l *lab) (VMController, error) { return startFakeController(l, c.fault) }
		cfg := newLabConfig("affinity")
		cfg.timeScale, cfg.enginesPerDataCentre = 1000, 1
		l, err := startLab(t.Context(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		load := l.loadConfig(0, time.Second, 1)
		load.Rate, load.BookingRate, load.DuplicateShare = 100, 50, 0.5
		load.MaxPromptTokens = 600_000
		load.ClassShares = map[customer.Class]float64{customer.Short: 0.97, customer.VeryLong: 0.03}
		var check drainCheck
		first, last := check.sampleEvents(l, "jm-a", 400*time.Millisecond, 800*time.Millisecond)
		r, err := l.run(t.Context(), c.fault, load, nil, event{200 * time.Millisecond, l.drainAction("jm-a", true)}, first, last)
		if err != nil {
			t.Fatal(err)
		}
		r.checkAtMost(check.acceptedRequests(), 0, "invariant 4: %d requests started in the drained data centre")
		got := strings.Join(r.summary.Violations, "\n")
		if !strings.HasPrefix(got, c.want) || (c.want == "") != (got == "") {
			t.Errorf("fault %q: violations %q, want %q", c.fault, got, c.want)
		}
		l.close()
	}
}

// TestLabFiles guards against settings, contracts and fleet documents of the lab that the parsers reject.
func TestLabFiles(t *testing.T) {
	defer func(f func(context.Context, *lab) (VMController, error)) { newVMController = f }(newVMController)
	newVMController = func(_ context.Context, l *lab) (VMController, error) { return startFakeController(l, "") }
	l, err := startLab(t.Context(), newLabConfig("affinity"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	for _, c := range l.cfg.customers {
		if _, err := customer.ParseContract(c.load.Name, []byte(l.contract(c))); err != nil {
			t.Error(err)
		}
	}
	for _, v := range l.vms {
		if _, err := operator.ParseSettings(v.name, []byte(l.settings(v))); err != nil {
			t.Error(err)
		}
	}
	if _, err := operator.ParseFleet("fleet", []byte(l.fleet())); err != nil {
		t.Error(err)
	}
}
