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
	apiKey        = "key-of-team"
	operatorToken = "0123456789abcdef"
	modelSmall    = "small"
	// awaitTimeout bounds every wait for a condition, so that a hanging test fails. It is not a performance target.
	awaitTimeout = 60 * time.Second
	// maxVMProcesses bounds the number of VM processes that all parallel tests run at the same time.
	maxVMProcesses = 30
	// engineTimeScale is the speed-up of the stand-in engines. At 4, an engine with one stream generates a token every 4 ms.
	engineTimeScale = 4
)

var (
	binary       string // path of the goldcrest program that TestMain builds
	vmProcessSem = semaphore.NewWeighted(maxVMProcesses)
	probeClient  = http.Client{Timeout: 2 * time.Second} // sends readiness checks
	// team is the only customer. All requests use its API key.
	team = standin.LoadCustomer{Name: "team", APIKey: apiKey, Weight: 1}
)

// TestMain builds the goldcrest program once for all tests. The program runs without the race detector even if the tests run with it.
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

// skipIfKnownRed skips the test if name appears in KNOWN-RED.txt, the list of known failures.
func skipIfKnownRed(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile("../KNOWN-RED.txt")
	if err == nil && strings.Contains(string(data), name) {
		t.Skipf("%s is listed in KNOWN-RED.txt", name)
	}
}

// siteConfig describes the size of a site and the settings in which it differs from the defaults.
type siteConfig struct {
	dataCentres     int                                  // named a, b, c
	vms             int                                  // in each data centre, named <data centre>/1 and up
	engines         int                                  // in each data centre
	groupEngines    bool                                 // the engines for modelSmall in each data centre form one group
	configureEngine func(i int, c *standin.EngineConfig) // changes the config of the engine with index i in its data centre
	shortDeadline   time.Duration                        // deadline of short prompts and of calls to plain services; 0 means 20 s
	stopDelay       time.Duration                        // stopDelay setting of the VMs; 0 means 500 ms
}

// site is a set of VM processes in one or more data centres, with the stand-ins and proxies that they talk to.
type site struct {
	t             *testing.T
	cfg           siteConfig
	dir           string // holds the settings files and the operator token file of the VMs
	log           *standin.Log
	proxies       map[string]*faultProxy       // proxies of the endpoints, by the name of the engine or service
	engines       map[string][]*standin.Engine // by data centre
	bookingStore  *standin.BookingStore        // bookings that the services of all data centres have executed
	vms           []*vmProcess
	fleetDocument string            // first revision of the fleet document
	lastRequest   atomic.Int64      // number of the last prompt sent by vmProcess.promptModel
	deadlines     standin.Deadlines // deadlines in the contract, by prompt class
}

// vmProcess runs the VM with a given name, settings and addresses. At most one process runs at a time. After the process has ended,
// start starts a replacement with the same name, settings and addresses.
type vmProcess struct {
	site                                        *site
	name, dataCentre                            string
	callerAddress, peerAddress, operatorAddress string
	sender                                      *standin.LoadGenerator // sends single requests to the VM
	operatorClient                              *operator.Client
	peerProxy, logProxy                         *faultProxy // carry the connections from other VMs to this VM and from this VM to the log

	reservedPorts []net.Listener // listeners that reserve the VM's ports until its first start

	mu       sync.Mutex
	cmd      *exec.Cmd     // latest process, nil before the first start
	output   bytes.Buffer  // output of all processes
	exited   chan struct{} // closed when the latest process has ended
	exitCode int
}

// newSite starts a site, publishes its configuration and waits until every VM is ready and every engine's whole KV cache is usable.
// It marks the test as parallel and first waits until the VMs can run without exceeding maxVMProcesses.
func newSite(t *testing.T, cfg siteConfig) *site {
	t.Helper()
	t.Parallel()
	n := int64(cfg.dataCentres * cfg.vms)
	if err := vmProcessSem.Acquire(context.Background(), n); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { vmProcessSem.Release(n) })
	s := prepareSite(t, cfg)
	for _, v := range s.vms {
		v.start()
	}
	s.publish(s.vms[0], "fleet", 0, s.fleetDocument)
	s.publish(s.vms[0], "contract/team", 0, s.contract())
	s.awaitCapacity()
	return s
}

// prepareSite starts the stand-ins and proxies of a site and writes the settings of its VMs, but starts no VM.
func prepareSite(t *testing.T, cfg siteConfig) *site {
	t.Helper()
	s := &site{t: t, cfg: cfg, dir: t.TempDir(), engines: map[string][]*standin.Engine{}, proxies: map[string]*faultProxy{},
		bookingStore: standin.NewBookingStore()}
	if s.cfg.shortDeadline == 0 {
		s.cfg.shortDeadline = 20 * time.Second
	}
	if s.cfg.stopDelay == 0 {
		s.cfg.stopDelay = 500 * time.Millisecond
	}
	s.deadlines = standin.Deadlines{
		customer.Short: s.cfg.shortDeadline, customer.Medium: 20 * time.Second, customer.Long: 40 * time.Second, customer.VeryLong: 60 * time.Second,
	}
	var err error
	if s.log, err = standin.NewLog("127.0.0.1:0", standin.WithAppendRate(300)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.log.Close)
	if err := os.WriteFile(filepath.Join(s.dir, "token"), []byte(operatorToken), 0o600); err != nil {
		t.Fatal(err)
	}
	var fleet strings.Builder
	for _, dc := range s.dataCentres() {
		section(&fleet, "dataCentre "+dc, "region", "r")
		s.startEndpoints(&fleet, dc)
		for i := range cfg.vms {
			v := &vmProcess{
				site: s, name: fmt.Sprintf("%s/%d", dc, i+1), dataCentre: dc,
			}
			for _, address := range []*string{&v.callerAddress, &v.peerAddress, &v.operatorAddress} {
				ln := reservePort(t)
				v.reservedPorts = append(v.reservedPorts, ln)
				*address = ln.Addr().String()
			}
			v.peerProxy, v.logProxy = newFaultProxy(t, v.name, v.peerAddress), newFaultProxy(t, "log", s.log.Address())
			section(&fleet, "vm "+v.name, "dataCentre", dc, "address", v.peerProxy.address())
			if v.sender, err = standin.NewLoadGenerator(s.loadConfig(0, 0, 0), s.deadlines, nil, v.callerAddress); err != nil {
				t.Fatal(err)
			}
			v.operatorClient = operator.NewClient(v.operatorAddress, operatorToken)
			t.Cleanup(v.operatorClient.Close)
			s.vms = append(s.vms, v)
		}
	}
	s.fleetDocument = fleet.String()
	for _, v := range s.vms {
		v.writeSettings()
	}
	t.Cleanup(s.close)
	return s
}

// dataCentres returns the names of the site's data centres.
func (s *site) dataCentres() []string { return []string{"a", "b", "c"}[:s.cfg.dataCentres] }

// startEndpoints starts the engines and the booking service of a data centre, each behind a proxy, and adds them to the fleet
// document.
func (s *site) startEndpoints(fleet *strings.Builder, dc string) {
	s.t.Helper()
	var members []string
	for i := range s.cfg.engines {
		c := standin.DefaultEngineConfig(fmt.Sprintf("engine-%s-%d", dc, i+1), modelSmall)
		c.TimeScale, c.Seed = engineTimeScale, uint64(i)
		if s.cfg.configureEngine != nil {
			s.cfg.configureEngine(i, &c)
		}
		e := s.startEngine(c)
		s.t.Cleanup(e.Close)
		s.engines[dc] = append(s.engines[dc], e)
		s.proxies[c.Name] = newFaultProxy(s.t, c.Name, e.Address())
		pairs := []string{
			"dataCentre", dc, "address", s.proxies[c.Name].address(), "model", c.Model, "kvTokens", fmt.Sprint(c.KVTokens),
			"sequences", fmt.Sprint(c.BatchSlots), "prefillRate", fmt.Sprint(c.PrefillRate * c.TimeScale),
			"decodeRate", fmt.Sprint(c.DecodeRate() * c.TimeScale), "coldSequences", fmt.Sprint(c.ColdMaxStreams),
		}
		if s.cfg.groupEngines && c.Model == modelSmall {
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
	b, err := standin.NewBookingService("127.0.0.1:0", s.bookingStore)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	name := "booking-" + dc
	s.proxies[name] = newFaultProxy(s.t, name, b.Address())
	section(fleet, "service "+name, "service", "booking", "dataCentre", dc, "address", s.proxies[name].address(), "concurrent", "64")
}

// startEngine starts an engine on a port below the ephemeral range, so that no outgoing connection can take the port while the
// engine restarts after a crash. If another process takes the port before the engine listens on it, startEngine tries another port.
func (s *site) startEngine(c standin.EngineConfig) *standin.Engine {
	s.t.Helper()
	var err error
	for range 10 {
		ln := reservePort(s.t)
		ln.Close()
		var e *standin.Engine
		if e, err = standin.NewEngine(ln.Addr().String(), c); err == nil {
			return e
		}
	}
	s.t.Fatal(err)
	return nil
}

// contract returns the contract document of the customer team. Its limits are high enough to admit every request of these tests.
func (s *site) contract() string {
	var b strings.Builder
	sum := sha256.Sum256([]byte(apiKey))
	section(&b, "contract", "name", "team", "weight", "1", "priority", "1", "tokensPerSecond", "100000000", "burst", "100000000",
		"concurrent", "10000", "longestPrompt", "1000000", "models", modelSmall+", solo", "services", "booking")
	section(&b, "keys", "k", hex.EncodeToString(sum[:]))
	var pairs []string
	for _, c := range customer.Classes() {
		pairs = append(pairs, c.String(), s.deadlines[c].String())
	}
	section(&b, "firstToken", pairs...)
	section(&b, "deadline", pairs...)
	return b.String()
}

// section appends an INI section; pairs alternates between keys and values.
func section(b *strings.Builder, name string, pairs ...string) {
	fmt.Fprintf(b, "[%s]\n", name)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(b, "%s = %s\n", pairs[i], pairs[i+1])
	}
	b.WriteString("\n")
}

// close kills the VMs and, if the test failed, logs the end of each VM's output.
func (s *site) close() {
	for _, v := range s.vms {
		v.releasePorts()
		v.kill()
		if s.t.Failed() {
			v.mu.Lock()
			out := v.output.Bytes()
			s.t.Logf("output of %s:\n%s", v.name, out[max(0, len(out)-6_000):])
			v.mu.Unlock()
		}
	}
}

// settingsFile returns the path of the VM's settings file.
func (p *vmProcess) settingsFile() string {
	return filepath.Join(p.site.dir, strings.ReplaceAll(p.name, "/", "-")+".ini")
}

// writeSettings writes the VM's settings file. The VM reaches its peers and the log through their proxies.
func (p *vmProcess) writeSettings() {
	var bootstrapAddresses []string
	for _, o := range p.site.vms {
		if o != p {
			bootstrapAddresses = append(bootstrapAddresses, o.peerProxy.address())
		}
	}
	var b strings.Builder
	section(&b, "vm", "place", p.name, "dataCentre", p.dataCentre, "stopDelay", p.site.cfg.stopDelay.String())
	section(&b, "caller", "listen", p.callerAddress)
	peer := []string{"listen", p.peerAddress}
	if len(bootstrapAddresses) > 0 {
		peer = append(peer, "contacts", strings.Join(bootstrapAddresses, ", "))
	}
	section(&b, "peer", peer...)
	section(&b, "operator", "listen", p.operatorAddress, "tokenFile", "token")
	section(&b, "platform", "log", p.logProxy.address())
	if err := os.WriteFile(p.settingsFile(), []byte(b.String()), 0o600); err != nil {
		p.site.t.Fatal(err)
	}
}

// releasePorts closes the listeners that reserve the VM's ports, so that the VM can listen on them.
func (p *vmProcess) releasePorts() {
	for _, ln := range p.reservedPorts {
		ln.Close()
	}
	p.reservedPorts = nil
}

// start starts the VM, or a replacement under the same name if an earlier process has ended.
func (p *vmProcess) start() {
	p.site.t.Helper()
	p.releasePorts()
	cmd := exec.Command(binary, "serve", "--settings", p.settingsFile())
	cmd.Stdout, cmd.Stderr = (*vmOutput)(p), (*vmOutput)(p)
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
		p.exitCode = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
}

// vmOutput is the writer that collects the standard output and standard error of a VM in its vmProcess.
type vmOutput vmProcess

// Write implements io.Writer.
func (o *vmOutput) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.output.Write(b)
}

// signal sends a signal to the VM, if one was started.
func (p *vmProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig)
	}
}

// kill sends SIGKILL to the VM and waits until its process has ended.
func (p *vmProcess) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// awaitExit waits until the VM's process has ended and returns its exit code.
func (p *vmProcess) awaitExit() int {
	p.site.t.Helper()
	p.site.await("exit of "+p.name, func() bool {
		select {
		case <-p.exited:
			return true
		default:
			return false
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode
}

// status returns the VM's status, or an empty one if the VM does not answer in time.
func (p *vmProcess) status() operator.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	st, _ := p.operatorClient.Status(ctx)
	return st
}

// ready reports whether the VM's readiness check succeeds.
func (p *vmProcess) ready() bool {
	resp, err := probeClient.Get("http://" + p.callerAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// vmsIn returns the VMs in a data centre.
func (s *site) vmsIn(dc string) []*vmProcess {
	var vms []*vmProcess
	for _, v := range s.vms {
		if v.dataCentre == dc {
			vms = append(vms, v)
		}
	}
	return vms
}

// allEngines returns the engines of all data centres.
func (s *site) allEngines() []*standin.Engine {
	var all []*standin.Engine
	for _, dc := range s.dataCentres() {
		all = append(all, s.engines[dc]...)
	}
	return all
}

// counters returns the sum of the counters of all engines in a data centre, or of all engines in the site if dc is "".
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

// await waits until condition returns true. After awaitTimeout it fails the test with a message that names what it waited for.
func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("waiting for %s: timed out after %v", what, awaitTimeout)
}

// awaitCapacity waits until every VM is ready and reports the whole KV cache of every engine in its data centre as usable.
func (s *site) awaitCapacity() {
	s.t.Helper()
	for _, v := range s.vms {
		s.await("readiness of "+v.name, v.ready)
		s.await("full capacity of the engines at "+v.name, func() bool { return v.usableCapacity() == s.kvTokens(v.dataCentre) })
	}
}

// warmUp sends prompts until no VM reports an engine of its data centre as cold. Tests that run many streams on one engine need this,
// because VMs send only a few streams to a cold engine.
func (s *site) warmUp() {
	s.t.Helper()
	for _, v := range s.vms {
		s.await("end of cold start in "+v.dataCentre, func() bool {
			startCalls(4, func(int) standin.Outcome { return v.prompt(1_000, 1) })()
			return !slices.ContainsFunc(v.status().Endpoints, func(e operator.EndpointStatus) bool { return e.Cold })
		})
	}
}

// usableCapacity returns the KV cache capacity in tokens that the owners of the data centre's engines may use, according to the VM's
// status.
func (p *vmProcess) usableCapacity() int {
	sum := 0
	for _, e := range p.status().Endpoints {
		sum += e.Capacity
	}
	return sum
}

// kvTokens returns the sum of the KV cache sizes, in tokens, of the engines in a data centre.
func (s *site) kvTokens(dc string) int {
	sum := 0
	for _, e := range s.engines[dc] {
		sum += e.Config().KVTokens
	}
	return sum
}

// publish publishes a document through a VM. base is the revision that the document replaces, or 0 for the first one. publish repeats
// failed attempts, since the VM may still be starting, but fails the test at once if the document is invalid.
func (s *site) publish(v *vmProcess, name string, base uint64, content string) {
	s.t.Helper()
	s.await("publication of "+name, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err := v.operatorClient.Publish(ctx, name, base, []byte(content))
		if problems := (customer.Problems{}); asProblems(err, &problems) {
			s.t.Fatal(problems)
		}
		return err == nil
	})
}

// asProblems reports whether err is a list of problems of an invalid document, and stores the list in p.
func asProblems(err error, p *customer.Problems) bool {
	problems, ok := err.(customer.Problems)
	*p = problems
	return ok
}

// setDrain starts or ends the drain of a target, such as dataCentre/a, through one VM.
func (s *site) setDrain(v *vmProcess, target string, drained bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := v.operatorClient.SetDrain(ctx, target, drained); err != nil {
		s.t.Fatalf("drain of %s through %s: %v", target, v.name, err)
	}
}

// loadConfig returns the configuration of a load of prompts below 16,000 tokens (classes Short and Medium), at a rate that uses the
// given share of the capacity of all engines in the site.
func (s *site) loadConfig(share float64, duration time.Duration, seed uint64) standin.LoadConfig {
	cfg := standin.LoadConfig{
		Duration: duration, Seed: seed, Model: modelSmall, Customers: []standin.LoadCustomer{team}, MaxTokens: 64,
		ClassShares: map[customer.Class]float64{customer.Short: 0.9, customer.Medium: 0.1}, SharedPrefixShare: 0.2,
	}
	capacity := 0.0
	for _, e := range s.allEngines() {
		capacity += e.Config().Capacity()
	}
	cfg.Rate = share * capacity / cfg.MeanTokens()
	return cfg
}

// startLoad starts to send a load to the given VMs. The returned function waits for the end of the load and returns the outcomes.
func (s *site) startLoad(cfg standin.LoadConfig, vms ...*vmProcess) func() []standin.Outcome {
	s.t.Helper()
	var targets []string
	for _, v := range vms {
		targets = append(targets, v.callerAddress)
	}
	generator, err := standin.NewLoadGenerator(cfg, s.deadlines, nil, targets...)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan []standin.Outcome, 1)
	go func() { result <- generator.Run(ctx) }()
	var once sync.Once
	var outcomes []standin.Outcome
	wait := func() []standin.Outcome {
		once.Do(func() { outcomes = <-result })
		return outcomes
	}
	s.t.Cleanup(func() { cancel(); wait() })
	return wait
}

// prompt sends one prompt for modelSmall to the VM and verifies its answer.
func (p *vmProcess) prompt(tokens, maxTokens int) standin.Outcome {
	return p.promptModel(modelSmall, tokens, maxTokens)
}

// promptModel is like prompt, but for a given model.
func (p *vmProcess) promptModel(model string, tokens, maxTokens int) standin.Outcome {
	number := int(p.site.lastRequest.Add(1))
	return p.sender.Send(context.Background(), standin.LoadRequest{
		Number: number, Customer: team, Model: model, Tokens: tokens, MaxTokens: maxTokens, Prefix: -1,
	}, time.Now())
}

// book sends one booking to the VM, with key as its idempotency key, or without one if key is empty. Calls with the same key and
// number send the same request.
func (p *vmProcess) book(key string, number int) standin.Outcome {
	return p.sender.Send(context.Background(), standin.LoadRequest{Number: number, Customer: team, Booking: true, Key: key}, time.Now())
}

// startCalls starts n concurrent calls. The returned function waits for all of them and returns their outcomes by index.
func startCalls(n int, call func(i int) standin.Outcome) func() []standin.Outcome {
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

// awaitMemoryReleased waits until no engine has reserved KV cache memory.
func (s *site) awaitMemoryReleased() {
	s.t.Helper()
	s.await("release of all engine memory", func() bool {
		for _, e := range s.allEngines() {
			if tokens, _, _ := e.InUse(); tokens > 0 {
				return false
			}
		}
		return true
	})
}

// checkInvariants verifies the invariants that hold after any fault:
//   - No engine has memory in use, leaked a reservation, received a request for more memory than was free, or crashed from overload
//     while it was cold.
//   - Every answer that was reported as complete belongs to its own request.
//   - No engine accepted a prompt that was refused with the verdict notRun.
func (s *site) checkInvariants(outcomes ...standin.Outcome) {
	s.t.Helper()
	s.awaitMemoryReleased()
	if c := s.counters(""); c.Overcommits > 0 || c.Leaks > 0 || c.ColdCrashes > 0 {
		s.t.Errorf("%d overcommits, %d leaks, %d crashes of cold engines from overload; want none", c.Overcommits, c.Leaks, c.ColdCrashes)
	}
	for _, o := range outcomes {
		if o.Status == standin.WrongAnswer {
			s.t.Errorf("request %s got an answer that is not its own: %s", o.RequestID, o.Detail)
		}
		if o.Status == standin.Refused && !o.Request.Booking {
			if slices.ContainsFunc(s.allEngines(), func(e *standin.Engine) bool { return e.HasAccepted(o.RequestID) }) {
				s.t.Errorf("request %s was refused with the verdict notRun (%s), but ran", o.RequestID, o.Reason)
			}
		}
	}
}

// wantAnswered fails the test if any request did not get a complete answer. It prints the first five of these outcomes.
func (s *site) wantAnswered(what string, outcomes ...standin.Outcome) {
	s.t.Helper()
	notAnswered := 0
	for _, o := range outcomes {
		if o.Status != standin.Answered {
			if notAnswered++; notAnswered <= 5 {
				s.t.Errorf("%s: request %s of %d tokens at %s: %v, reason %q, verdict %q, %s", what, o.RequestID, o.Request.Tokens, o.Target, o.Status,
					o.Reason, o.Verdict, o.Detail)
			}
		}
	}
	if notAnswered > 0 {
		s.t.Errorf("%s: %d of %d requests did not get a complete answer", what, notAnswered, len(outcomes))
	}
}

// countByStatus returns the number of outcomes of each status.
func countByStatus(outcomes []standin.Outcome) map[standin.Status]int {
	counts := map[standin.Status]int{}
	for _, o := range outcomes {
		counts[o.Status]++
	}
	return counts
}

// revision returns the revision of the named document that the VM has applied.
func (p *vmProcess) revision(name string) uint64 { return p.status().Revisions[name] }
