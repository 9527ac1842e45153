package vm_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestpath/operator"
	"goldcrestpath/oplog"
	"goldcrestpath/standin"
	"goldcrestpath/vm"
)

const (
	apiKey = "test-key"
	// Key, token rate and burst of the customer few, whose contract is small.
	fewKey, fewRate, fewBurst = "few-key", 100, 1000
)

// contractText returns the content of a contract with the given limits.
func contractText(name, key string, rate, burst, concurrent int) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("[contract]\nname = %s\nweight = 1\npriority = 1\ntokensPerSecond = %d\nburst = %d\nconcurrent = %d\nlongestPrompt = %d\n"+
		"models = small\nservices = booking\n[keys]\nk = %s\n[firstToken]\nshort = 20s\nmedium = 20s\nlong = 60s\nveryLong = 5m\n"+
		"[deadline]\nshort = 60s\nmedium = 60s\nlong = 2m\nveryLong = 10m\n", name, rate, burst, concurrent, min(burst, 1_000_000), hex.EncodeToString(sum[:]))
}

// site is one data centre on loopback addresses with VMs, engines, a booking service and a log. fleet is the content
// of its fleet document.
type site struct {
	log          *standin.Log
	engines      []*standin.Engine
	bookingStore *standin.BookingStore
	vms          []*vm.VM
	fleet        string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newSite starts a site with n VMs and waits until all of them are ready. The platform lines are added to the
// settings' section [platform].
func newSite(t *testing.T, n int, platformLines ...string) *site {
	t.Helper()
	s := &site{bookingStore: standin.NewBookingStore()}
	var err error
	if s.log, err = standin.NewLog("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.log.Close)
	var fleet strings.Builder
	fmt.Fprintf(&fleet, "[dataCentre a]\nregion = r\n")
	for i := range 2 {
		cfg := standin.DefaultEngineConfig(fmt.Sprintf("e%d", i), "small")
		e, err := standin.NewEngine("127.0.0.1:0", cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		s.engines = append(s.engines, e)
		fmt.Fprintf(&fleet, "[engine e%d]\ndataCentre = a\naddress = %s\nmodel = small\nkvTokens = %d\nsequences = %d\nprefillRate = %g\ndecodeRate = %g\ncoldSequences = %d\n",
			i, e.Address(), cfg.KVTokens, cfg.BatchSlots, cfg.PrefillRate*cfg.TimeScale, cfg.DecodeRate()*cfg.TimeScale, cfg.ColdMaxStreams)
	}
	b, err := standin.NewBookingService("127.0.0.1:0", s.bookingStore)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	fmt.Fprintf(&fleet, "[service b0]\nservice = booking\ndataCentre = a\naddress = %s\nconcurrent = 8\n", b.Address())
	peers := make([]string, n)
	for i := range n {
		peers[i] = freeAddress(t)
		fmt.Fprintf(&fleet, "[vm a/%d]\ndataCentre = a\naddress = %s\n", i+1, peers[i])
	}
	s.fleet = fleet.String()
	s.publish(t, "fleet", 0, s.fleet)
	s.publish(t, "contract/team", 0, contractText("team", apiKey, 100_000, 5_000_000, 50))
	s.publish(t, "contract/few", 0, contractText("few", fewKey, fewRate, fewBurst, 50))
	for i := range n {
		s.vms = append(s.vms, startVM(t, fmt.Sprintf("a/%d", i+1), peers[i], strings.Join(append([]string{s.log.Address()}, platformLines...), "\n"), peers))
	}
	for _, v := range s.vms {
		waitFor(t, "readiness of every VM", v.Ready)
	}
	return s
}

// publish publishes a document whose latest revision is base. It retries until the log can be read and written.
func (s *site) publish(t *testing.T, document string, base uint64, content string) {
	t.Helper()
	store := oplog.NewStore(oplog.NewHTTPLog(s.log.Address()))
	defer store.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		if _, err := store.Publish(ctx, document, base, []byte(content)); err == nil {
			return
		} else if ctx.Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startVM starts a VM of data centre a. log is the address of the log, which further lines of the section [platform] may
// follow.
func startVM(t *testing.T, name, peer, log string, contacts []string) *vm.VM {
	t.Helper()
	text := fmt.Sprintf("[vm]\nplace = %s\ndataCentre = a\nstopDelay = 10ms\n[caller]\nlisten = %s\n[peer]\nlisten = %s\ncontacts = %s\n"+
		"[operator]\nlisten = %s\ntokenFile = token\n[platform]\nlog = %s\n", name, freeAddress(t), peer, strings.Join(contacts, ", "), freeAddress(t), log)
	return launch(t, t.TempDir(), text)
}

const operatorToken = "0123456789abcdef"

// launch starts a VM with the given settings. It writes the operators' token file to dir, which may also contain
// certificates.
func launch(t *testing.T, dir, text string) *vm.VM {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, "token"), []byte(operatorToken), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := operator.ParseSettings(filepath.Join(dir, "settings.ini"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	v, err := vm.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	return v
}

// waitFor waits until f returns true. Its limit of about 30 s only ends a test that would otherwise hang.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no %s", what)
}

// post sends a request to a VM and returns the status and body of the response.
func post(t *testing.T, v *vm.VM, path, body string, header map[string]string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+v.CallerAddress()+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Content-Type", "application/json")
	for k, val := range header {
		r.Header.Set(k, val)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// TestWholePath guards against a failure anywhere between a caller and an endpoint. It sends plain and streamed
// completions, and a call with an idempotency key that is repeated through another VM and must run once.
func TestWholePath(t *testing.T) {
	s := newSite(t, 2)
	for i, v := range s.vms {
		status, body := post(t, v, "/v1/completions", `{"model":"small","prompt":"hello there","max_tokens":8}`, map[string]string{"X-Request-Id": fmt.Sprintf("plain-%d", i)})
		if want := standin.AnswerText(fmt.Sprintf("plain-%d", i), "small", 8); status != http.StatusOK || !strings.Contains(body, want) {
			t.Errorf("VM %d: plain completion: status %d, body %s; want text %q", i, status, body, want)
		}
		status, body = post(t, v, "/v1/chat/completions", `{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":8,"stream":true}`, nil)
		if status != http.StatusOK || !strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") {
			t.Errorf("VM %d: streamed chat completion: status %d, body %s", i, status, body)
		}
	}
	first, body := post(t, s.vms[0], "/services/booking/bookings", `{"slot":1}`, map[string]string{"Idempotency-Key": "k1"})
	second, again := post(t, s.vms[1], "/services/booking/bookings", `{"slot":1}`, map[string]string{"Idempotency-Key": "k1"})
	if first != second || body != again || len(s.bookingStore.All()) != 1 {
		t.Errorf("repeated booking: %d %s, then %d %s, with %d bookings recorded", first, body, second, again, len(s.bookingStore.All()))
	}
	checkLimits(t, s)
	checkRestart(t, s) // last, since it leaves a cold engine behind
	for _, v := range s.vms {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if err := v.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		cancel()
	}
}

// checkRestart guards against an answer that is not streamed and fails when its engine crashes, although another
// engine could start the answer again.
func checkRestart(t *testing.T, s *site) {
	generated := func(e *standin.Engine) int { return e.Counters().DecodeTokens }
	before := []int{generated(s.engines[0]), generated(s.engines[1])}
	var wg sync.WaitGroup
	wg.Go(func() {
		status, body := post(t, s.vms[0], "/v1/completions", `{"model":"small","prompt":"hello there","max_tokens":60}`, map[string]string{"X-Request-Id": "restart"})
		if want := standin.AnswerText("restart", "small", 60); status != http.StatusOK || !strings.Contains(body, want) {
			t.Errorf("after the engine's crash: status %d, body %s; want text %q", status, body, want)
		}
	})
	waitFor(t, "part of the answer", func() bool {
		for i, e := range s.engines {
			if generated(e) > before[i]+20 {
				e.Crash()
				return true
			}
		}
		return false
	})
	wg.Wait()
}

// checkLimits guards against VMs that each enforce the whole contract on their own, and against a VM that
// refuses a customer's first request because it has no share of the contract yet.
func checkLimits(t *testing.T, s *site) {
	began, used, largest := time.Now(), 0, 0
	var mu sync.Mutex
	send := func(n int, first bool) {
		status, body := post(t, s.vms[n], "/v1/completions", `{"model":"small","prompt":"hello there","max_tokens":100}`, map[string]string{"Authorization": "Bearer " + fewKey})
		var answer struct {
			Usage struct {
				Tokens int `json:"total_tokens"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte(body), &answer); err != nil {
			t.Error(err)
		}
		if (status != http.StatusOK && status != http.StatusTooManyRequests) || (first && status != http.StatusOK) {
			t.Errorf("VM %d: status %d, body %s", n, status, body)
		}
		mu.Lock()
		defer mu.Unlock()
		used, largest = used+answer.Usage.Tokens, max(largest, answer.Usage.Tokens)
	}
	var wg sync.WaitGroup
	for n := range s.vms {
		send(n, true)
		for range 20 {
			wg.Go(func() { send(n, false) })
		}
	}
	wg.Wait()
	bound := int(fewRate*time.Since(began).Seconds()) + fewBurst + len(s.vms)*largest
	t.Logf("%d tokens within %v, bound %d", used, time.Since(began), bound)
	if used > bound {
		t.Errorf("the site served %d tokens, the contract allows %d in this time", used, bound)
	}
}
