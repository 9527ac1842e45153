package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/entry"
	"goldcrestpath/operator"
	"goldcrestpath/oplog"
)

// timeCalls returns the processor time of one call of f in microseconds. It uses the fastest of three runs of at least 20 ms each,
// because interference from other processes can only increase the time of a run.
func timeCalls(f func()) (float64, error) {
	best := 0.0
	for range 3 {
		calls, spent := 0, time.Duration(0)
		for n := 1; spent < 20*time.Millisecond; n *= 2 {
			begin, err := processorTime()
			if err != nil {
				return 0, err
			}
			for range n {
				f()
			}
			end, err := processorTime()
			if err != nil {
				return 0, err
			}
			calls, spent = n, end-begin
		}
		if micros := float64(spent.Nanoseconds()) / 1e3 / float64(calls); best == 0 || micros < best {
			best = micros
		}
	}
	return best, nil
}

// callSlopes measures the processor time of single calls in this process and the size of the fleet document. The measured sizes go up
// to the design size.
func callSlopes(ctx context.Context, _ time.Duration, seed uint64) ([]slope, error) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	endpoints := []int{90, 358, 715, designEndpoints}
	var all []slope
	for _, s := range []struct {
		name, size string
		sizes      []int
		prepare    func(n int, cleanup *closers) (func(), error)
	}{
		{"decide one request, 4 models", "endpoint of the data centre", endpoints, func(n int, _ *closers) (func(), error) { return decisionCall(n, designModels, rnd) }},
		{"decide one request, 1 model", "endpoint of the data centre", endpoints, func(n int, _ *closers) (func(), error) { return decisionCall(n, 1, rnd) }},
		{"find a contract", "customer", []int{10, 80, 160, designCustomers}, contractLookupCall},
		{"tick of Members", "member", []int{40, 79, 157, designMembers}, func(n int, _ *closers) (func(), error) {
			m := newMembers(n, rnd)
			return func() { m.Tick(time.Now()) }, nil
		}},
		{"one probe in Members", "member", []int{40, 79, 157, designMembers}, func(n int, _ *closers) (func(), error) {
			m := newMembers(n, rnd)
			return func() {
				if t, ok := m.NextProbeTarget(); ok {
					m.ApplyUpdates(time.Now(), m.Updates(t.VM().Name)[:1])
				}
			}, nil
		}},
		{"renew a share (Lender, Borrower)", "borrowed share", []int{3, 14, 30, 60}, renewLeaseCall},
		{"apply a contract (State)", "contract", []int{10, 80, 160, designCustomers}, applyContractCall},
		{"apply a configuration (Node)", "member", []int{40, 79, 157, designMembers}, setFleetCall},
		{"parse the fleet document", "engine", []int{500, 2_500, 5_000, designEngines}, func(n int, _ *closers) (func(), error) {
			data := fleetDocument(n*designVMs/designEngines, n)
			_, err := operator.ParseFleet(oplog.FleetDocument, data)
			return func() { _, _ = operator.ParseFleet(oplog.FleetDocument, data) }, err
		}},
	} {
		var points []point
		for _, n := range s.sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			var cleanup closers
			call, err := s.prepare(n, &cleanup)
			if err != nil {
				cleanup.close()
				return nil, errors.Wrapf(err, "%s, %d", s.name, n)
			}
			micros, err := timeCalls(call)
			cleanup.close() // background work would add to the next measurement
			if err != nil {
				return nil, err
			}
			points = append(points, point{float64(n), micros})
		}
		all = append(all, newSlope(s.name, s.size, "us/call", points))
	}
	var sizes []point
	for _, n := range []int{500, 2_500, 5_000, designEngines} {
		sizes = append(sizes, point{float64(n), float64(len(fleetDocument(n*designVMs/designEngines, n)))})
	}
	return append(all, newSlope("size of the fleet document", "engine", "bytes", sizes)), nil
}

// decisionCall returns a function that decides on one short prompt as its entry VM and the endpoint's owner do: it looks up the
// contract, estimates the tokens, applies the limits, selects among the endpoints of the prompt's model, and grants and releases
// a reservation. The models share the endpoints equally.
func decisionCall(endpoints, models int, rnd *rand.Rand) (func(), error) {
	directory, err := newDirectory(designCustomers)
	if err != nil {
		return nil, err
	}
	specs := meshSpecs(endpoints)
	selector := engine.NewSelector(engine.PolicyAffinity)
	limiter := customer.NewLimiter(customer.WithoutLeases())
	estimator := customer.NewEstimator()
	ledgers := make(map[string]*engine.Ledger, endpoints)
	now := time.Now()
	lists := make([][]engine.Spec, models)
	for i, s := range specs {
		s.Model = fmt.Sprint("model-", i%models)
		specs[i] = s
		lists[i%models] = append(lists[i%models], s)
		l := engine.NewLedger(specs[i], now)
		l.SetShares(now, entry.SharesPerResource, entry.SharesPerResource)
		l.ObserveReport(now, engine.Report{Instance: 1, Sequence: 1, KVTokens: specs[i].KVTokens, Sequences: specs[i].MaxSequences, Model: specs[i].Model})
		for k := range 32 {
			l.RequestGrant(now, engine.GrantRequest{ID: fmt.Sprint("held-", k), Customer: "other", PromptTokens: 1_000, MaxTokens: 400, Weight: 1, StartWithin: time.Minute})
		}
		ledgers[specs[i].Name] = l
		selector.ObserveLoad(now, specs[i].Name, l.Load())
	}
	prefixes := make([]uint64, 1024)
	for i := range prefixes {
		prefixes[i] = rnd.Uint64()
	}
	keys := make([]string, designCustomers)
	for i := range keys {
		keys[i] = fmt.Sprint("key-", i)
	}
	number := 0
	return func() {
		number++
		c, ok := directory.ByKey(keys[number%len(keys)])
		if !ok {
			return
		}
		list := lists[number%models]
		model := list[0].Model
		r := &engine.Completion{ID: "request-" + strconv.Itoa(number), Customer: c.Name(), Model: model, PromptTokens: estimator.Estimate(model, 4_000), MaxTokens: 400,
			Prefix: prefixes[number%len(prefixes)]}
		admission, refusal := limiter.Admit(now, c, r.PromptTokens, r.MaxTokens)
		if refusal != nil {
			return
		}
		for _, s := range selector.Candidates(now, r, list) {
			l := ledgers[s.Name]
			grantRequest := engine.GrantRequest{ID: r.ID, Customer: r.Customer, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Weight: 1, StartWithin: time.Second}
			if _, ok := l.RequestGrant(now, grantRequest).(engine.Granted); ok {
				l.Release(now, r.ID, engine.Result{})
				break
			}
		}
		admission.End(now, r.Tokens())
		// Loads and reports are valid for 5 s, so they are renewed every 4,096 steps of 1 ms. This adds less than 1 us to each call.
		now = now.Add(time.Millisecond)
		if number%4096 == 0 {
			for name, l := range ledgers {
				l.ObserveReport(now, engine.Report{Instance: 1, Sequence: uint64(number), KVTokens: 4_000_000, Sequences: 4_096, Model: model})
				selector.ObserveLoad(now, name, l.Load())
			}
		}
	}, nil
}

// contractLookupCall returns a function that looks up an API key among n contracts.
func contractLookupCall(n int, _ *closers) (func(), error) {
	directory, err := newDirectory(n)
	return func() { directory.ByKey("key-0") }, err
}

// contractDocument returns the contract document of customer i. Its API key is "key-" followed by i.
func contractDocument(i int) []byte {
	var b strings.Builder
	sum := sha256.Sum256(fmt.Append(nil, "key-", i))
	writeSection(&b, "contract", "name", fmt.Sprintf("customer-%03d", i), "weight", "1", "priority", "1", "tokensPerSecond", "100000000", "burst", "1000000000",
		"concurrent", "100000", "longestPrompt", "1000000", "models", "model-0, model-1, model-2, model-3")
	writeSection(&b, "keys", "first", hex.EncodeToString(sum[:]))
	for _, s := range []string{"firstToken", "deadline"} {
		writeSection(&b, s, "short", "460ms", "medium", "2s", "long", "20s", "veryLong", "5m")
	}
	return []byte(b.String())
}

// newDirectory returns a directory of n contracts.
func newDirectory(n int) (*customer.Directory, error) {
	contracts := make([]*customer.Contract, n)
	for i := range contracts {
		c, err := customer.ParseContract(fmt.Sprint("contract-", i), contractDocument(i))
		if err != nil {
			return nil, err
		}
		contracts[i] = c
	}
	return customer.NewDirectory(contracts)
}

// newMembers returns the membership list of a VM with n-1 live peers.
func newMembers(n int, rnd *rand.Rand) *entry.Members {
	now := time.Now()
	vms := make([]entry.VM, n)
	for i := range vms {
		vms[i] = entry.VM{Name: fmt.Sprintf("%s/%d", meshDataCentre, i+1), DataCentre: meshDataCentre, Address: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250+1)}
	}
	m := entry.NewMembers(vms[0], 1, now, rnd)
	m.SetVMs(now, vms)
	for _, v := range vms[1:] {
		// The updates of a VM that knows no other VM contain only its own state.
		m.ApplyUpdates(now, entry.NewMembers(v, 1, now, rnd).Updates(vms[0].Name))
	}
	return m
}

// renewLeaseCall returns a function that renews one of n leases in turn. Each call includes the work of the lessor and the lessee.
func renewLeaseCall(n int, _ *closers) (func(), error) {
	now := time.Now()
	lessor, err := entry.NewLessor[int](entry.ShareTimers(), now, entry.FirstStart())
	if err != nil {
		return nil, err
	}
	lessee, err := entry.NewLessee[int](entry.ShareTimers())
	for i := range n {
		lessor.SetLeasableUnits(now, i, 1, 0)
	}
	i := 0
	return func() {
		i = (i + 1) % n
		now = now.Add(time.Second / time.Duration(n))
		if lease, ok := lessor.Lease(now, entry.LesseeID{VMName: "dc-1/1", Incarnation: 1}, lessee.Request(now, i, 1)); ok {
			lessee.Apply(now, lease)
		}
	}, err
}

// fleetDocument returns a fleet document with the given numbers of VMs and engines in seven data centres.
func fleetDocument(vms, engines int) []byte {
	const dataCentres = 7
	var b strings.Builder
	for i := range dataCentres {
		writeSection(&b, fmt.Sprintf("dataCentre dc-%d", i+1), "region", fmt.Sprintf("region-%d", i%3))
	}
	for i := range vms {
		writeSection(&b, fmt.Sprintf("vm dc-%d/%d", i%dataCentres+1, i), "dataCentre", fmt.Sprintf("dc-%d", i%dataCentres+1),
			"address", fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250+1))
	}
	for i := range engines {
		writeSection(&b, fmt.Sprintf("engine engine-%05d", i), "dataCentre", fmt.Sprintf("dc-%d", i%dataCentres+1),
			"address", fmt.Sprintf("10.2.%d.%d:7101", i/250, i%250+1), "model", fmt.Sprintf("model-%d", i%designModels), "kvTokens", "4000000",
			"sequences", "512", "prefillRate", "100000", "decodeRate", "25", "coldSequences", "2", "checksFence", "true")
	}
	return []byte(b.String())
}

// applyContractCall returns a function that does the work of one VM's store for a changed contract, in a configuration with n
// contracts: it appends the record to the log, reads it back, applies it and exports the new state for peers.
func applyContractCall(n int, cleanup *closers) (func(), error) {
	store := oplog.NewStore(newMemoryLog(), oplog.WithCommitWindow(time.Microsecond))
	cleanup.add(store.Close)
	ctx := context.Background()
	if err := publishFirst(ctx, store, oplog.FleetDocument, fleetDocument(designVMs, designEngines)); err != nil {
		return nil, err
	}
	for i := range n {
		if err := publishFirst(ctx, store, fmt.Sprintf("%scustomer-%03d", oplog.ContractPrefix, i), contractDocument(i)); err != nil {
			return nil, err
		}
	}
	revision, content := uint64(1), contractDocument(0)
	return func() {
		if r, err := store.Publish(ctx, oplog.ContractPrefix+"customer-000", revision, content); err == nil {
			revision = r
		}
		store.Export()
	}, nil
}

// publishFirst publishes the first revision of a document. It retries until the store has read its log to the end.
func publishFirst(ctx context.Context, store *oplog.Store, document string, content []byte) error {
	for {
		_, err := store.Publish(ctx, document, 0, content)
		var unavailable *oplog.UnavailableError
		if !errors.As(err, &unavailable) {
			return err
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// setFleetCall returns a function that applies a fleet to a node with n members in its data centre. All seven data centres have the
// same size. If n is designMembers, the fleet has the design size.
func setFleetCall(n int, cleanup *closers) (func(), error) {
	node, err := entry.NewNode(entry.Config{VMName: "dc-1/0", DataCentre: meshDataCentre, Listen: loopback, Incarnation: 1})
	if err != nil {
		return nil, err
	}
	cleanup.add(node.Close)
	fleet, err := operator.ParseFleet(oplog.FleetDocument, fleetDocument(7*n, n*designEngines/designMembers))
	if err != nil {
		return nil, err
	}
	// The members do not answer, so only the work of the control goroutine is measured.
	return func() { node.SetFleet(fleet.VMs(), fleet.Engines(), nil) }, nil
}
