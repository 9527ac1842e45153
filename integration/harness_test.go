package integration

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"goldcrestpath/customer"
	"goldcrestpath/operator"
	"goldcrestpath/standin"
)

const (
	apiKey     = "key-of-team"
	token      = "0123456789abcdef"
	modelSmall = "small"
	// waitLimit only ends a test that hangs.
	waitLimit = 60 * time.Second
	// processLimit bounds the VM processes that run at a time.
	processLimit = 30
	// timeScale is the speed of the engines; a token of a lone stream takes 4 ms.
	timeScale = 4
)

var (
	binary    string // the goldcrest program
	processes = semaphore.NewWeighted(processLimit)
	probes    = http.Client{Timeout: 2 * time.Second}
	team      = standin.LoadCustomer{Name: "team", APIKey: apiKey, Weight: 1}
)

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "goldcrest")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "goldcrest")
		build := exec.Command("go", "build", "-race=false", "-o", binary, "goldcrestpath/cmd/goldcrest")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build goldcrest: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// knownRed skips a test that KNOWN-RED.txt lists by this name.
func knownRed(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile("../KNOWN-RED.txt")
	if err == nil && strings.Contains(string(data), name) {
		t.Skipf("%s is listed in KNOWN-RED.txt", name)
	}
}

// siteConfig describes the size of a site.
type siteConfig struct {
	dataCentres int // named a, b, c
	vms         int // in each data centre
	engines     int // in each data centre
	group       bool
	change      func(i int, c *standin.EngineConfig) // changes the engine with number i of a data centre
	short       time.Duration                        // deadline of short prompts and of plain services; 0 for 20 s
	stopDelay   time.Duration                        // 0 for 500 ms
}

// site is a set of VM processes and the stand-ins around them.
type site struct {
	t        *testing.T
	cfg      siteConfig
	dir      string
	log      *standin.Log
	fronts   map[string]*front            // by the name of an engine or a service
	engines  map[string][]*standin.Engine // by data centre
	bookings *standin.Bookings
	vms      []*process
	fleet    string
	requests atomic.Int64
	deadline standin.Deadlines
}

// process is one place with its VM.
type process struct {
	site                      *site
	place, dataCentre         string
	caller, peer, operatorAPI string
	load                      *standin.Load
	client                    *operator.Client
	peers, log                *front // others' way to this VM, and its way to the log

	reserved []net.Listener // ports of the VM before its first start

	mu     sync.Mutex
	cmd    *exec.Cmd
	output bytes.Buffer
	exited chan struct{}
	code   int
}

// newSite starts a site, publishes its configuration and waits until every engine's whole capacity is in use.
func newSite(t *testing.T, cfg siteConfig) *site {
	t.Helper()
	t.Parallel()
	n := int64(cfg.dataCentres * cfg.vms)
	if err := processes.Acquire(context.Background(), n); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { processes.Release(n) })
	s := prepareSite(t, cfg)
	for _, v := range s.vms {
		v.start()
	}
	s.publish(s.vms[0], "fleet", 0, s.fleet)
	s.publish(s.vms[0], "contract/team", 0, s.contract())
	s.awaitCapacity()
	return s
}

// prepareSite starts the stand-ins of a site and no VM.
func prepareSite(t *testing.T, cfg siteConfig) *site {
	t.Helper()
	s := &site{t: t, cfg: cfg, dir: t.TempDir(), engines: map[string][]*standin.Engine{}, fronts: map[string]*front{}, bookings: standin.NewBookings()}
	if s.cfg.short == 0 {
		s.cfg.short = 20 * time.Second
	}
	if s.cfg.stopDelay == 0 {
		s.cfg.stopDelay = 500 * time.Millisecond
	}
	s.deadline = standin.Deadlines{
		customer.Short: s.cfg.short, customer.Medium: 20 * time.Second, customer.Long: 40 * time.Second, customer.VeryLong: 60 * time.Second,
	}
	var err error
	if s.log, err = standin.NewLog("127.0.0.1:0", standin.AppendRate(300)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.log.Close)
	if err := os.WriteFile(filepath.Join(s.dir, "token"), []byte(token), 0o600); err != nil {
		t.Fatal(err)
	}
	var fleet strings.Builder
	for _, dc := range s.dataCentres() {
		section(&fleet, "dataCentre "+dc, "region", "r")
		s.startEndpoints(&fleet, dc)
		for i := range cfg.vms {
			v := &process{
				site: s, place: fmt.Sprintf("%s/%d", dc, i+1), dataCentre: dc,
			}
			for _, address := range []*string{&v.caller, &v.peer, &v.operatorAPI} {
				ln := reserve(t)
				v.reserved = append(v.reserved, ln)
				*address = ln.Addr().String()
			}
			v.peers, v.log = newFront(t, v.place, v.peer), newFront(t, "log", s.log.Address())
			section(&fleet, "vm "+v.place, "dataCentre", dc, "address", v.peers.address())
			if v.load, err = standin.NewLoad(s.loadConfig(0, 0, 0), s.deadline, nil, v.caller); err != nil {
				t.Fatal(err)
			}
			v.client = operator.NewClient(v.operatorAPI, token)
			t.Cleanup(v.client.Close)
			s.vms = append(s.vms, v)
		}
	}
	s.fleet = fleet.String()
	for _, v := range s.vms {
		v.writeSettings()
	}
	t.Cleanup(s.close)
	return s
}

func (s *site) dataCentres() []string { return []string{"a", "b", "c"}[:s.cfg.dataCentres] }

// startEndpoints starts the engines and the booking service of a data centre and adds them to the fleet document.
func (s *site) startEndpoints(fleet *strings.Builder, dc string) {
	s.t.Helper()
	var members []string
	for i := range s.cfg.engines {
		c := standin.DefaultEngineConfig(fmt.Sprintf("engine-%s-%d", dc, i+1), modelSmall)
		c.TimeScale, c.Seed = timeScale, uint64(i)
		if s.cfg.change != nil {
			s.cfg.change(i, &c)
		}
		e := s.startEngine(c)
		s.t.Cleanup(e.Close)
		s.engines[dc] = append(s.engines[dc], e)
		s.fronts[c.Name] = newFront(s.t, c.Name, e.Address())
		pairs := []string{
			"dataCentre", dc, "address", s.fronts[c.Name].address(), "model", c.Model, "kvTokens", fmt.Sprint(c.KVTokens),
			"sequences", fmt.Sprint(c.Sequences), "prefillRate", fmt.Sprint(c.PrefillRate * c.TimeScale),
			"decodeRate", fmt.Sprint(c.DecodeRate() * c.TimeScale), "coldSequences", fmt.Sprint(c.ColdSequences),
		}
		if s.cfg.group && c.Model == modelSmall {
			members = append(members, c.Name)
			pairs = append(pairs, "group", "group-"+dc)
		}
		section(fleet, "engine "+c.Name, pairs...)
	}
	if len(members) > 0 {
		section(fleet, "group group-"+dc, "members", strings.Join(members, ", "))
	}
	for _, e := range s.engines[dc] {
		e.SetPeers(s.engines[dc]...)
	}
	b, err := standin.NewBooking("127.0.0.1:0", s.bookings)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	name := "booking-" + dc
	s.fronts[name] = newFront(s.t, name, b.Address())
	section(fleet, "service "+name, "service", "booking", "dataCentre", dc, "address", s.fronts[name].address(), "concurrent", "64")
}

// startEngine starts an engine on a port below the ephemeral range, which it listens on again after a crash.
func (s *site) startEngine(c standin.EngineConfig) *standin.Engine {
	s.t.Helper()
	var err error
	for range 10 {
		ln := reserve(s.t)
		ln.Close()
		var e *standin.Engine
		if e, err = standin.NewEngine(ln.Addr().String(), c); err == nil {
			return e
		}
	}
	s.t.Fatal(err)
	return nil
}

func (s *site) contract() string {
	var b strings.Builder
	sum := sha256.Sum256([]byte(apiKey))
	section(&b, "contract", "name", "team", "weight", "1", "priority", "1", "tokensPerSecond", "100000000", "burst", "100000000",
		"concurrent", "10000", "longestPrompt", "1000000", "models", modelSmall+", solo", "services", "booking")
	section(&b, "keys", "k", hex.EncodeToString(sum[:]))
	var pairs []string
	for _, c := range customer.Classes() {
		pairs = append(pairs, c.String(), s.deadline[c].String())
	}
	section(&b, "firstToken", pairs...)
	section(&b, "deadline", pairs...)
	return b.String()
}

// section appends one INI section with pairs of keys and values.
func section(b *strings.Builder, name string, pairs ...string) {
	fmt.Fprintf(b, "[%s]\n", name)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(b, "%s = %s\n", pairs[i], pairs[i+1])
	}
	b.WriteString("\n")
}

// close ends the VMs at once and prints their output where the test failed.
func (s *site) close() {
	for _, v := range s.vms {
		v.release()
		v.kill()
		if s.t.Failed() {
			v.mu.Lock()
			out := v.output.Bytes()
			s.t.Logf("output of %s:\n%s", v.place, out[max(0, len(out)-6_000):])
			v.mu.Unlock()
		}
	}
}

func (p *process) file() string {
	return filepath.Join(p.site.dir, strings.ReplaceAll(p.place, "/", "-")+".ini")
}

func (p *process) writeSettings() {
	var contacts []string
	for _, o := range p.site.vms {
		if o != p {
			contacts = append(contacts, o.peers.address())
		}
	}
	var b strings.Builder
	section(&b, "vm", "place", p.place, "dataCentre", p.dataCentre, "stopDelay", p.site.cfg.stopDelay.String())
	section(&b, "caller", "listen", p.caller)
	peer := []string{"listen", p.peer}
	if len(contacts) > 0 {
		peer = append(peer, "contacts", strings.Join(contacts, ", "))
	}
	section(&b, "peer", peer...)
	section(&b, "operator", "listen", p.operatorAPI, "tokenFile", "token")
	section(&b, "platform", "log", p.log.address())
	if err := os.WriteFile(p.file(), []byte(b.String()), 0o600); err != nil {
		p.site.t.Fatal(err)
	}
}

// release gives reserved ports free.
func (p *process) release() {
	for _, ln := range p.reserved {
		ln.Close()
	}
	p.reserved = nil
}

// start starts the place's VM, also after an earlier one has ended.
func (p *process) start() {
	p.site.t.Helper()
	p.release()
	cmd := exec.Command(binary, "serve", "--settings", p.file())
	cmd.Stdout, cmd.Stderr = (*processOutput)(p), (*processOutput)(p)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		p.site.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
}

// processOutput collects what a VM prints.
type processOutput process

// Write implements io.Writer.
func (o *processOutput) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.output.Write(b)
}

// signal sends a signal to the place's VM.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig)
	}
}

// kill ends the place's VM at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// awaitExit waits for the end of the place's VM and returns its exit code.
func (p *process) awaitExit() int {
	p.site.t.Helper()
	p.site.await("exit of "+p.place, func() bool {
		select {
		case <-p.exited:
			return true
		default:
			return false
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// status returns the VM's status, or an empty one where the VM does not answer.
func (p *process) status() operator.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	st, _ := p.client.Status(ctx)
	return st
}

func (p *process) ready() bool {
	resp, err := probes.Get("http://" + p.caller + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// in returns the VMs of a data centre.
func (s *site) in(dc string) []*process {
	var vms []*process
	for _, v := range s.vms {
		if v.dataCentre == dc {
			vms = append(vms, v)
		}
	}
	return vms
}

func (s *site) allEngines() []*standin.Engine {
	var all []*standin.Engine
	for _, dc := range s.dataCentres() {
		all = append(all, s.engines[dc]...)
	}
	return all
}

// counters returns the sums over the engines of a data centre, or over all for "".
func (s *site) counters(dc string) standin.EngineCounters {
	var sum standin.EngineCounters
	for name, engines := range s.engines {
		for _, e := range engines {
			if dc == "" || dc == name {
				sum = sum.Add(e.Counters())
			}
		}
	}
	return sum
}

// await waits until f holds.
func (s *site) await(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.t.Fatalf("no %s within %v", what, waitLimit)
}

// awaitCapacity waits until every VM is ready and the owner of every engine uses its whole memory.
func (s *site) awaitCapacity() {
	s.t.Helper()
	for _, v := range s.vms {
		s.await("readiness of "+v.place, v.ready)
		s.await("full capacity of the engines at "+v.place, func() bool { return v.capacity() == s.capacity(v.dataCentre) })
	}
}

// warm sends prompts until no engine of the site counts as in cold start, so that one engine takes many streams.
func (s *site) warm() {
	s.t.Helper()
	for _, v := range s.vms {
		s.await("end of cold start in "+v.dataCentre, func() bool {
			background(4, func(int) standin.Outcome { return v.prompt(1_000, 1) })()
			return !slices.ContainsFunc(v.status().Endpoints, func(e operator.EndpointStatus) bool { return e.Cold })
		})
	}
}

// capacity returns the memory that owners use, as the VM knows it.
func (p *process) capacity() int {
	sum := 0
	for _, e := range p.status().Endpoints {
		sum += e.Capacity
	}
	return sum
}

func (s *site) capacity(dc string) int {
	sum := 0
	for _, e := range s.engines[dc] {
		sum += e.Config().KVTokens
	}
	return sum
}

// publish publishes a document through a VM, which may still be starting.
func (s *site) publish(v *process, name string, base uint64, content string) {
	s.t.Helper()
	s.await("publication of "+name, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err := v.client.Publish(ctx, name, base, []byte(content))
		if problems := (customer.Problems{}); asProblems(err, &problems) {
			s.t.Fatal(problems)
		}
		return err == nil
	})
}

func asProblems(err error, p *customer.Problems) bool {
	problems, ok := err.(customer.Problems)
	*p = problems
	return ok
}

// drain gives an operator's order to one VM.
func (s *site) drain(v *process, target string, drained bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := v.client.SetDrain(ctx, target, drained); err != nil {
		s.t.Fatalf("drain of %s through %s: %v", target, v.place, err)
	}
}

// loadConfig returns a load at a part of the site's capacity: prompts of up to 16,000 tokens.
func (s *site) loadConfig(part float64, length time.Duration, seed uint64) standin.LoadConfig {
	cfg := standin.LoadConfig{
		Length: length, Seed: seed, Model: modelSmall, Customers: []standin.LoadCustomer{team}, MaxTokens: 64,
		ClassShares: map[customer.Class]float64{customer.Short: 0.9, customer.Medium: 0.1}, SharedPrefix: 0.2,
	}
	capacity := 0.0
	for _, e := range s.allEngines() {
		capacity += e.Config().Capacity()
	}
	cfg.Rate = part * capacity / cfg.MeanTokens()
	return cfg
}

// run sends a load to VMs in the background. The function that it returns waits for the outcomes.
func (s *site) run(cfg standin.LoadConfig, vms ...*process) func() []standin.Outcome {
	s.t.Helper()
	var targets []string
	for _, v := range vms {
		targets = append(targets, v.caller)
	}
	load, err := standin.NewLoad(cfg, s.deadline, nil, targets...)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan []standin.Outcome, 1)
	go func() { result <- load.Run(ctx) }()
	var once sync.Once
	var outcomes []standin.Outcome
	wait := func() []standin.Outcome {
		once.Do(func() { outcomes = <-result })
		return outcomes
	}
	s.t.Cleanup(func() { cancel(); wait() })
	return wait
}

// prompt sends one prompt to the VM and verifies its answer.
func (p *process) prompt(tokens, maxTokens int) standin.Outcome {
	return p.promptFor(modelSmall, tokens, maxTokens)
}

func (p *process) promptFor(model string, tokens, maxTokens int) standin.Outcome {
	number := int(p.site.requests.Add(1))
	return p.load.Send(context.Background(), standin.Arrival{
		Number: number, Customer: team, Model: model, Tokens: tokens, MaxTokens: maxTokens, Prefix: -1,
	}, time.Now())
}

// book sends one booking to the VM. The same key and number make the same request.
func (p *process) book(key string, number int) standin.Outcome {
	return p.load.Send(context.Background(), standin.Arrival{Number: number, Customer: team, Booking: true, Key: key}, time.Now())
}

// background runs n calls side by side and returns a function that waits for their outcomes.
func background(n int, call func(i int) standin.Outcome) func() []standin.Outcome {
	outcomes := make([]standin.Outcome, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = call(i)
		}()
	}
	return func() []standin.Outcome {
		wg.Wait()
		return outcomes
	}
}

// awaitQuiet waits until no engine holds memory.
func (s *site) awaitQuiet() {
	s.t.Helper()
	s.await("release of all engine memory", func() bool {
		for _, e := range s.allEngines() {
			if tokens, _, _ := e.Held(); tokens > 0 {
				return false
			}
		}
		return true
	})
}

// check verifies the invariants that hold after any fault: engines hold and leak nothing, were never asked for more memory than
// they have and never fell over in cold start; answers are the request's own; a refused request ran nowhere.
func (s *site) check(outcomes ...standin.Outcome) {
	s.t.Helper()
	s.awaitQuiet()
	if c := s.counters(""); c.Overcommits > 0 || c.Leaks > 0 || c.ColdFalls > 0 {
		s.t.Errorf("%d overcommits, %d leaks, %d cold falls; want none", c.Overcommits, c.Leaks, c.ColdFalls)
	}
	for _, o := range outcomes {
		if o.Status == standin.Foreign {
			s.t.Errorf("request %s got a wrong answer: %s", o.RequestID, o.Detail)
		}
		if o.Status == standin.Refused && !o.Arrival.Booking {
			if slices.ContainsFunc(s.allEngines(), func(e *standin.Engine) bool { return e.Ran(o.RequestID) }) {
				s.t.Errorf("request %s was refused as notRun (%s), but ran", o.RequestID, o.Reason)
			}
		}
	}
}

// wantAnswered fails the test for outcomes other than whole answers.
func (s *site) wantAnswered(what string, outcomes ...standin.Outcome) {
	s.t.Helper()
	bad := 0
	for _, o := range outcomes {
		if o.Status != standin.Answered {
			if bad++; bad <= 5 {
				s.t.Errorf("%s: request %s of %d tokens at %s: %v, reason %q, verdict %q, %s", what, o.RequestID, o.Arrival.Tokens, o.Target, o.Status,
					o.Reason, o.Verdict, o.Detail)
			}
		}
	}
	if bad > 0 {
		s.t.Errorf("%s: %d of %d requests were not answered whole", what, bad, len(outcomes))
	}
}

// byStatus counts outcomes by status.
func byStatus(outcomes []standin.Outcome) map[standin.Status]int {
	counts := map[standin.Status]int{}
	for _, o := range outcomes {
		counts[o.Status]++
	}
	return counts
}

// revision returns a document's revision at the VM.
func (p *process) revision(name string) uint64 { return p.status().Revisions[name] }
