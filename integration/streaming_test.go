package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/standin"
)

// TestStreamResumption guards against missing text, repeated text and text of another answer when the connection to the engine is reset
// during an answer. The VM must resume the stream after the text that it already has, and the engine must not run the request again.
func TestStreamResumption(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1})
	s.warmUp()
	answers := startCalls(6, func(i int) standin.Outcome { return s.vms[i%2].prompt(1_000, 1_000) })
	s.await("six running streams", func() bool { return s.runningStreams() == 6 })
	for round := 1; round <= 3; round++ {
		before := s.counters("").DecodeTokens
		s.await("generated tokens on the streams", func() bool { return s.counters("").DecodeTokens > before+200 })
		if n := s.proxies["engine-a-1"].resetConnections(); n == 0 {
			t.Error("no connection to the engine was open")
		}
	}
	outcomes := answers()
	s.wantAnswered("answers with reset connections", outcomes...)
	if c := s.counters(""); c.Resumed < 6 || c.Duplicates > 0 || c.LostStreams > 0 {
		t.Errorf("%d resumptions, %d repeated request IDs, %d lost streams; want at least 6 resumptions and no repeated ID or lost stream",
			c.Resumed, c.Duplicates, c.LostStreams)
	}
	s.checkInvariants(outcomes...)
}

// TestEngineCrashAfterText guards against an answer that appears complete, or that continues with text from another engine, when the
// engine crashes after part of the answer was delivered.
func TestEngineCrashAfterText(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 1, engines: 2})
	body := `{"model":"small","prompt":"how long is the way","max_tokens":2000,"stream":true}`
	r, err := http.NewRequest(http.MethodPost, "http://"+s.vms[0].callerAddress+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", "crash1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var text strings.Builder
	crashed, errorReceived, endMarkReceived := false, false, false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var ev struct {
			Choices []struct{ Text string }
			Error   *struct{ Verdict string }
		}
		if data == "[DONE]" {
			endMarkReceived = true
			continue
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			t.Fatal(err)
		}
		for _, c := range ev.Choices {
			text.WriteString(c.Text)
		}
		if ev.Error != nil {
			errorReceived = true
			if ev.Error.Verdict != "mayHaveRun" {
				t.Errorf("verdict %q after text was delivered, want mayHaveRun", ev.Error.Verdict)
			}
		}
		if text.Len() > 0 && !crashed {
			crashed = true
			for _, e := range s.allEngines() {
				if _, n, _ := e.InUse(); n > 0 {
					e.Crash()
				}
			}
		}
	}
	if !crashed || !errorReceived || endMarkReceived {
		t.Errorf("text delivered %v, error event %v, end mark %v; want text, an error event and no end mark", crashed, errorReceived, endMarkReceived)
	}
	if !strings.HasPrefix(standin.AnswerText("crash1", modelSmall, 2_000), text.String()) {
		t.Error("the delivered text is not a prefix of the request's own answer")
	}
	s.checkInvariants()
}

// TestEngineCrashBeforeText guards against a request that fails when its engine crashes before any text was delivered, although another
// engine could still answer it.
func TestEngineCrashBeforeText(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 1, engines: 2})
	s.warmUp()
	answer := startCalls(1, func(int) standin.Outcome { return s.vms[0].prompt(90_000, 20) })
	var firstEngine *standin.Engine
	s.await("an engine that runs the prompt", func() bool {
		for _, e := range s.allEngines() {
			if _, n, _ := e.InUse(); n > 0 {
				firstEngine = e
			}
		}
		return firstEngine != nil
	})
	firstEngine.Crash()
	outcomes := answer()
	s.wantAnswered("prompt whose first engine crashed", outcomes...)
	if n := s.counters("").LostStreams; n != 1 {
		t.Errorf("%d streams were lost, want 1", n)
	}
	s.checkInvariants(outcomes...)
}

// TestOverload guards against requests that ran but are refused with the verdict notRun, and against requests that never end or that
// end without an end mark or an error. The load exceeds the engines' capacity, one engine refuses all requests at intervals, and
// connections to the engines are reset.
func TestOverload(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 2, engines: 1, shortDeadline: 5 * time.Second,
		configureEngine: func(_ int, c *standin.EngineConfig) {
			c.BatchSlots, c.MaxWaiting = 4, 2
		}})
	load := s.loadConfig(1.5, 8*time.Second, 41)
	load.ClassShares = map[customer.Class]float64{customer.Short: 1}
	wait := s.startLoad(load, s.vms...)
	for i := range 6 {
		time.Sleep(time.Second)
		e := s.engines["a"][0]
		e.SetRefusing(i%2 == 0)
		s.proxies[fmt.Sprintf("engine-%s-1", s.dataCentres()[i%2])].resetConnections()
	}
	s.engines["a"][0].SetRefusing(false)
	outcomes := wait()
	counts := countByStatus(outcomes)
	if counts[standin.Answered] == 0 || counts[standin.Refused] == 0 || counts[standin.Incomplete] > 0 {
		t.Errorf("outcomes %v; want answers and refusals, and none that ended without an end mark or an error", counts)
	}
	s.checkInvariants(outcomes...)
}
