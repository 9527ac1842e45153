package customer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"goldcrestpath/customer"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hashOf(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// contractText returns the text of a valid contract after the given replacements, which are pairs of old and new text.
func contractText(replacements ...string) string {
	return strings.NewReplacer(replacements...).Replace(`[contract]
name = deskTeam
weight = 2
priority = 3
tokensPerSecond = 4000
burst = 20000
concurrent = 8
longestPrompt = 10000
models = small, large
services = booking
[keys]
first = ` + hashOf("k1") + `
second = ` + hashOf("k2") + `
[firstToken]
short = 500ms
[deadline]
short = 30s
medium = 1m
long = 2m
veryLong = 10m
`)
}

func parse(t interface{ Fatal(...any) }, replacements ...string) *customer.Contract {
	c, err := customer.ParseContract("contract.ini", []byte(contractText(replacements...)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestContract guards against values that are parsed into the wrong limit, which would let one customer use the capacity of
// others.
func TestContract(t *testing.T) {
	c := parse(t)
	l := c.Limits()
	got := fmt.Sprint(c.Name(), " ", c.Weight(), c.Priority(), l.TokensPerSecond(), l.Burst(), l.MaxConcurrent(), l.MaxPromptTokens(),
		c.AllowsModel("large"), c.AllowsModel("other"), c.AllowsService("booking"), c.AllowsService("small"),
		l.TTFTTarget(customer.Short), l.TTFTTarget(customer.Long), l.Deadline(customer.Medium), l.Deadline(customer.VeryLong))
	if want := "deskTeam 2 3 4000 20000 8 10000 true false true false 500ms 0s 1m0s 10m0s"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := c.DescribeSetting("models"), "contract deskTeam: [contract] models = small, large"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestContractProblems guards against a check that reports only the first problem, after which an operator would correct one
// error and publish the others. It also guards against problems that do not name the file, section and key.
func TestContractProblems(t *testing.T) {
	for name, tc := range map[string]struct {
		replace []string
		want    []string // "section/key" of each problem
	}{
		"no INI":          {[]string{"weight = 2", "weight"}, []string{"/"}},
		"unknown key":     {[]string{"weight", "wieght"}, []string{"contract/weight", "contract/wieght"}},
		"unknown section": {[]string{"[firstToken]", "[firsttoken]"}, []string{"firsttoken/"}},
		"outside":         {[]string{"[contract]\n", "x = 1\n[contract]\n"}, []string{"/x"}},
		"repeated key":    {[]string{"weight = 2", "weight = 2\nweight = 2"}, []string{"contract/weight"}},
		"numbers":         {[]string{"weight = 2", "weight = 0", "= 3\n", "= 1.5\n", "= 8", "= -8", "4000", "99999999999999999999"}, []string{"contract/weight", "contract/priority", "contract/tokensPerSecond", "contract/concurrent"}},
		"burst":           {[]string{"20000", "9999"}, []string{"contract/burst"}},
		"name":            {[]string{"deskTeam", "desk team"}, []string{"contract/name"}},
		"list":            {[]string{"small, large", "small,, small"}, []string{"contract/models", "contract/models"}},
		"nothing allowed": {[]string{"small, large", "", "booking", ""}, []string{"contract/models"}},
		"key":             {[]string{hashOf("k1"), "k1"}, []string{"keys/first"}},
		"same key":        {[]string{hashOf("k2"), hashOf("k1")}, []string{"keys/second"}},
		"durations":       {[]string{"500ms", "500", "= 30s", "=", "10m", "25h"}, []string{"firstToken/short", "deadline/short", "deadline/veryLong"}},
		"first token":     {[]string{"500ms", "31s"}, []string{"firstToken/short"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := customer.ParseContract("contract.ini", []byte(contractText(tc.replace...)))
			problems, ok := err.(customer.Problems)
			if !ok {
				t.Fatalf("error %T %v", err, err)
			}
			var got []string
			for _, p := range problems {
				got = append(got, p.Section+"/"+p.Key)
				if p.File != "contract.ini" || p.Allowed == "" || !strings.HasPrefix(p.String(), "contract.ini: ") {
					t.Errorf("incomplete problem %+v", p)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// FuzzParseContract guards against contracts that crash the process or pass the check with invalid limits.
func FuzzParseContract(f *testing.F) {
	for _, text := range []string{"", "[", "[contract", "=", "[keys]\na = \"", "[contract]\nname = %(name)s\nweight = `"} {
		f.Add(text)
		f.Add(contractText("booking\n", text+"\n"))
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := customer.ParseContract("contract.ini", []byte(text))
		if err != nil {
			return
		}
		l := c.Limits()
		if c.Name() == "" || l.TokensPerSecond() < 1 || l.MaxConcurrent() < 1 || l.MaxPromptTokens() < 1 || l.Burst() < l.MaxPromptTokens() || l.Deadline(customer.Long) <= 0 {
			t.Errorf("accepted: %s", text)
		}
	})
}

// TestDirectory guards against API keys that select the contract of another customer.
func TestDirectory(t *testing.T) {
	a := parse(t)
	b := parse(t, "deskTeam", "labTeam", hashOf("k1"), hashOf("k3"), hashOf("k2"), hashOf("k4"))
	directory, err := customer.NewDirectory([]*customer.Contract{a, b})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]*customer.Contract{"k1": a, "k2": a, "k3": b, "k4": b, "k5": nil, "": nil} {
		if got, ok := directory.ByKey(key); got != want || ok != (want != nil) {
			t.Errorf("key %q: got %v %v", key, got, ok)
		}
	}
	for name, other := range map[string]*customer.Contract{"name": parse(t), "key": parse(t, "deskTeam", "labTeam")} {
		if _, err := customer.NewDirectory([]*customer.Contract{a, other}); err == nil {
			t.Errorf("two contracts with the same %s were accepted", name)
		}
	}
}

// TestLimiterRefusals guards against refusals that do not name the contract line that limits the request. It also guards
// against refusals without a Retry-After, after which callers would retry at once.
func TestLimiterRefusals(t *testing.T) {
	c := parse(t, "concurrent = 8", "concurrent = 3")
	whole := c.Limits().Lease(1, 1, epoch.Add(time.Hour))
	whole.Tokens = 20_000
	small := c.Limits().Lease(1, 4, epoch.Add(time.Hour))
	small.Concurrent = 3
	for name, tc := range map[string]struct {
		lease                     *customer.Lease
		running                   []int // tokens of requests that are running
		at                        time.Duration
		promptTokens, answerLimit int
		reason                    customer.Reason
		line                      string
		wait                      time.Duration
	}{
		"long prompt":  {lease: &whole, promptTokens: 10_001, reason: customer.ReasonPromptTooLong, line: "longestPrompt = 10000"},
		"above burst":  {lease: &whole, promptTokens: 10_000, answerLimit: 10_001, reason: customer.ReasonPromptTooLong, line: "burst = 20000"},
		"no lease":     {promptTokens: 1, reason: customer.ReasonTokenRate, line: "tokensPerSecond = 4000", wait: time.Second},
		"expired":      {lease: &whole, at: time.Hour, promptTokens: 1, reason: customer.ReasonTokenRate, line: "tokensPerSecond = 4000", wait: time.Second},
		"small lease":  {lease: &small, at: time.Second, promptTokens: 10_000, answerLimit: 10_000}, // the bucket needs only one second's worth of the rate
		"no rate":      {lease: &customer.Lease{Concurrent: 1, Expires: epoch.Add(time.Hour)}, promptTokens: 1, reason: customer.ReasonTokenRate, line: "tokensPerSecond = 4000", wait: time.Second},
		"no tokens":    {lease: &customer.Lease{Concurrent: 1, Expires: epoch.Add(time.Hour)}},
		"empty bucket": {lease: &whole, running: []int{20_000}, promptTokens: 9_000, answerLimit: 5_000, reason: customer.ReasonTokenRate, line: "tokensPerSecond = 4000", wait: time.Second},
		"after refill": {lease: &whole, running: []int{20_000}, at: time.Second, promptTokens: 9_000, answerLimit: 5_000},
		"debt":         {lease: &whole, running: []int{15_000, 20_000}, at: time.Second, promptTokens: 100, reason: customer.ReasonTokenRate, line: "tokensPerSecond = 4000", wait: 2775 * time.Millisecond},
		"concurrency":  {lease: &whole, running: []int{1, 1, 1}, promptTokens: 1, reason: customer.ReasonConcurrency, line: "concurrent = 3", wait: time.Second},
		"new lease":    {lease: &small, promptTokens: 1, answerLimit: 999, reason: customer.ReasonTokenRate, line: "tokensPerSecond = 4000", wait: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l := customer.NewLimiter()
			if tc.lease != nil {
				l.SetLease(epoch, c.Name(), *tc.lease)
			}
			for _, n := range tc.running {
				if _, r := l.Admit(epoch, c, n/2, n-n/2); r != nil {
					t.Fatal(r)
				}
			}
			_, r := l.Admit(epoch.Add(tc.at), c, tc.promptTokens, tc.answerLimit)
			if tc.reason == "" {
				if r != nil {
					t.Error(r)
				}
				return
			}
			if r == nil || r.Reason() != tc.reason || r.Verdict() != customer.NotRun || r.RetryAfter() != tc.wait ||
				!strings.HasSuffix(r.Message(), "contract deskTeam: [contract] "+tc.line) {
				t.Errorf("got %v after %v, want %s %v with %s", r, r.RetryAfter(), tc.reason, tc.wait, tc.line)
			}
		})
	}
}

// TestLimiterNeverAboveContract guards against VMs that together admit more than the contract. That happened when a lease kept
// its tokens after its expiry or started with a full bucket. The test transfers shares between VMs and checks the bound
// rate x time + burst + one largest request per VM, and the number of running requests.
func TestLimiterNeverAboveContract(t *testing.T) {
	const shares = 4
	rapid.Check(t, func(t *rapid.T) {
		c := parse(t, "20000", "10000", "= 8", "= 4")
		limits := c.Limits()
		vms := []*customer.Limiter{customer.NewLimiter(), customer.NewLimiter()}
		leasedShares := make([]int, len(vms))
		leaseExpiry := make([]time.Time, len(vms))
		leasedConcurrent := make([]int, len(vms))
		var running [2][]*customer.Admission
		now, charged, largest := epoch, 0, 0
		// aboveRate returns by how many tokens the charges since the start exceed the rate, and lowest is its minimum so far. The
		// difference is the excess in the interval since that minimum. Checking it covers every interval, not only the whole run.
		aboveRate := func() float64 { return float64(charged) - float64(limits.TokensPerSecond())*now.Sub(epoch).Seconds() }
		lowest := 0.0
		// lease does what a lessor must do: it leases only shares and concurrency that no other VM can use. It excludes the
		// concurrency that the running requests of other VMs use.
		lease := func(vm, maxShares int) {
			freeShares, freeConcurrent := shares, limits.MaxConcurrent()
			for i := range vms {
				if i == vm {
					continue
				}
				freeConcurrent -= len(running[i])
				if now.Before(leaseExpiry[i]) {
					freeShares -= leasedShares[i]
					freeConcurrent -= max(0, leasedConcurrent[i]-len(running[i]))
				}
			}
			leasedShares[vm], leaseExpiry[vm] = min(maxShares, freeShares), now.Add(4*time.Second)
			vmLease := limits.Lease(leasedShares[vm], shares, leaseExpiry[vm])
			vmLease.Concurrent = max(0, min(vmLease.Concurrent, freeConcurrent))
			leasedConcurrent[vm] = vmLease.Concurrent
			vms[vm].SetLease(now, c.Name(), vmLease)
		}
		anyVM := rapid.IntRange(0, len(vms)-1)
		end := func(t *rapid.T, vm int) {
			a := running[vm][0]
			running[vm] = running[vm][1:]
			used := rapid.IntRange(0, a.Charged()).Draw(t, "used")
			charged -= a.Charged() - used
			a.End(now, used)
			a.End(now, 0) // must not refund again
		}
		longest := rapid.SampledFrom([]int{400, 9000}).Draw(t, "longest prompt") // with long prompts usage can stay below the bound
		// flood sends requests until one is refused, which is the maximum that a customer can use.
		flood := func(vm, prompt int) {
			for a, r := vms[vm].Admit(now, c, prompt, 0); r == nil; a, r = vms[vm].Admit(now, c, prompt, 0) {
				charged, largest = charged+prompt, max(largest, prompt)
				a.End(now, prompt)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3900).Draw(t, "ms")) * time.Millisecond)
				for vm := range vms {
					if now.Before(leaseExpiry[vm]) && rapid.IntRange(0, 3).Draw(t, "renew") > 0 {
						lease(vm, leasedShares[vm])
					}
				}
			},
			"lease": func(t *rapid.T) {
				lease(anyVM.Draw(t, "vm"), rapid.SampledFrom([]int{shares, shares, 2, 1, 0}).Draw(t, "shares"))
			},
			"move": func(t *rapid.T) {
				vm := anyVM.Draw(t, "vm")
				lease(vm, 0)
				lease((vm+1)%len(vms), shares)
			},
			"admit": func(t *rapid.T) {
				vm := anyVM.Draw(t, "vm")
				for range rapid.IntRange(1, 5).Draw(t, "requests") {
					if a, r := vms[vm].Admit(now, c, rapid.IntRange(1, longest).Draw(t, "prompt"), 100); r == nil {
						charged += a.Charged()
						largest = max(largest, a.Charged())
						running[vm] = append(running[vm], a)
					}
				}
			},
			"flood": func(t *rapid.T) {
				flood(anyVM.Draw(t, "vm"), rapid.SampledFrom([]int{100, longest}).Draw(t, "prompt"))
			},
			"expire": func(t *rapid.T) { // a VM in debt is left without shares while another VM uses them
				vm := anyVM.Draw(t, "vm")
				flood(vm, longest)
				lease(vm, 0)
				for range 4 {
					lease((vm+1)%len(vms), shares)
					now = now.Add(time.Second)
					flood((vm+1)%len(vms), longest)
				}
			},
			"end": func(t *rapid.T) {
				vm := anyVM.Draw(t, "vm")
				for range min(len(running[vm]), rapid.IntRange(1, 4).Draw(t, "requests")) {
					end(t, vm)
				}
			},
			"": func(t *rapid.T) {
				lowest = min(lowest, aboveRate())
				if used, bound := aboveRate()-lowest, limits.Burst()+len(vms)*largest; used > float64(bound)+1e-6 {
					t.Fatalf("%.0f tokens above the rate in an interval that ends after %v, bound %d", used, now.Sub(epoch), bound)
				}
				if n := len(running[0]) + len(running[1]); n > limits.MaxConcurrent() {
					t.Fatalf("%d requests run, the contract has %d", n, limits.MaxConcurrent())
				}
			},
		})
	})
}

// TestExpiredLeaseLosesItsTokens guards against tokens that can still be used after their lease has expired. They would be used
// twice, because the lessor then leases them to another VM.
func TestExpiredLeaseLosesItsTokens(t *testing.T) {
	c := parse(t)
	l := customer.NewLimiter()
	lease := c.Limits().Lease(1, 1, epoch.Add(time.Second))
	lease.Tokens = lease.Burst
	l.SetLease(epoch, c.Name(), lease)
	l.SetLease(epoch.Add(time.Second), c.Name(), c.Limits().Lease(1, 1, epoch.Add(time.Hour)))
	if _, r := l.Admit(epoch.Add(time.Second), c, 1, 0); r == nil {
		t.Error("a token of the expired lease was used")
	}
}

// TestLimiterCorrection guards against usage above the estimate that is not charged. A customer could then exceed its rate by
// sending text whose tokens are underestimated.
func TestLimiterCorrection(t *testing.T) {
	for name, tc := range map[string]struct {
		used int
		want customer.Reason // of a request of 10,000 tokens one second later
	}{
		"as charged": {used: 10_000},
		"less":       {used: 100},
		"more":       {used: 24_000, want: customer.ReasonTokenRate},
		"outlier":    {used: 1 << 60, want: customer.ReasonTokenRate},
		"negative":   {used: -1 << 60},
	} {
		t.Run(name, func(t *testing.T) {
			c := parse(t)
			l := customer.NewLimiter(customer.WithoutLeases())
			a, r := l.Admit(epoch, c, 10_000, 0)
			if r != nil {
				t.Fatal(r)
			}
			a.End(epoch, tc.used)
			_, r = l.Admit(epoch.Add(time.Second), c, 10_000, 0)
			if (r == nil) != (tc.want == "") || (r != nil && r.Reason() != tc.want) {
				t.Errorf("got %v, want %q", r, tc.want)
			}
			// The largest accepted correction is 16 times the charge, which is repaid within a minute.
			if _, r := l.Admit(epoch.Add(time.Minute), c, 10_000, 0); r != nil {
				t.Errorf("after a minute: %v", r)
			}
		})
	}
}

// TestRetryBudget guards against retries that grow with failures instead of successes. The failure of one endpoint would then
// overload the others.
func TestRetryBudget(t *testing.T) {
	const ratio, floorRate, floorBurst, vmRate, vmBurst = 0.1, 0.5, 2, 1, 4
	rapid.Check(t, func(t *rapid.T) {
		b := customer.NewRetryBudget(customer.WithRetryRatio(ratio), customer.WithRetryFloor(floorRate, floorBurst),
			customer.WithVMRetryFloor(vmRate, vmBurst))
		now := epoch
		earned, spent := map[string]float64{}, map[string]float64{}
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"earn": func(t *rapid.T) {
				name := names.Draw(t, "customer")
				earned[name]++
				b.Earn(now, name)
			},
			"spend": func(t *rapid.T) {
				if name := names.Draw(t, "customer"); b.Spend(now, name) {
					spent[name]++
				}
			},
			"": func(t *rapid.T) {
				seconds, allEarned, allSpent := now.Sub(epoch).Seconds(), 0.0, 0.0
				for name, n := range spent {
					allSpent += n
					if bound := ratio*earned[name] + floorRate*seconds + floorBurst; n > bound+1e-6 {
						t.Fatalf("%v retries of %s, bound %v", n, name, bound)
					}
				}
				for _, n := range earned {
					allEarned += n
				}
				if bound := ratio*allEarned + vmRate*seconds + vmBurst; allSpent > bound+1e-6 {
					t.Fatalf("%v retries of the VM, bound %v", allSpent, bound)
				}
			},
		})
	})
}

// TestBackoff guards against delays without jitter, with which all callers of a failed endpoint would retry at the same time.
// It also guards against delays that grow without limit.
func TestBackoff(t *testing.T) {
	for attempt, want := range []time.Duration{5, 10, 20, 40, 50, 50} {
		b := customer.NewBackoff(10*time.Millisecond, 100*time.Millisecond, func() float64 { return 0.5 })
		if got := b.Delay(attempt); got != want*time.Millisecond {
			t.Errorf("attempt %d: %v, want %v", attempt, got, want*time.Millisecond)
		}
	}
	if got := customer.NewBackoff(time.Second, time.Hour, func() float64 { return 0.999 }).Delay(1 << 40); got >= time.Hour {
		t.Errorf("got %v", got)
	}
}

// TestEstimator guards against a single outlier that moves the estimate far, and against an estimate that does not converge
// after many equal reports.
func TestEstimator(t *testing.T) {
	e := customer.NewEstimator()
	if got := e.Estimate("m", 4001); got != 1001 {
		t.Errorf("default: %d", got)
	}
	for _, wild := range [][2]int{{1, 1 << 40}, {1 << 40, 1}, {0, 5}, {5, 0}, {-1, -1}} {
		before := e.Estimate("m", 1_000_000)
		e.Observe("m", wild[0], wild[1])
		if got := e.Estimate("m", 1_000_000); float64(got) < 0.9*float64(before) || float64(got) > 1.1*float64(before) {
			t.Errorf("%v moved the estimate from %d to %d", wild, before, got)
		}
	}
	for range 400 {
		e.Observe("m", 3000, 1500)
		e.Observe("n", 30, 1<<40)
	}
	if got := e.Estimate("m", 1_000_000); got < 490_000 || got > 510_000 {
		t.Errorf("after 400 reports of 2 bytes a token: %d", got)
	}
	if got := e.Estimate("n", 1_000_000); got > 1_000_000 {
		t.Errorf("more tokens than bytes: %d", got)
	}
	if got := e.Estimate("other", 400); got != 100 {
		t.Errorf("another model: %d", got)
	}
}
