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

// timeCalls returns the processor time of one call in microseconds, the least of three runs of at least 20 ms each: other
// processes on the machine only make a run longer.
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

// callSlopes drives the types without I/O up to the design size.
func callSlopes(ctx context.Context, _ time.Duration, seed uint64) ([]slope, error) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	endpoints := []int{90, 358, 715, designEndpoints}
	var all []slope
	for _, s := range []struct {
		name, size string
		sizes      []int
		prepare    func(n int, open *closers) (func(), error)
	}{
		{"decide one request, 4 models", "endpoint of the data centre", endpoints, func(n int, _ *closers) (func(), error) { return newDecision(n, designModels, rnd) }},
		{"decide one request, 1 model", "endpoint of the data centre", endpoints, func(n int, _ *closers) (func(), error) { return newDecision(n, 1, rnd) }},
		{"find a contract", "customer", []int{10, 80, 160, designCustomers}, contractCall},
		{"tick of Members", "member", []int{40, 79, 157, designMembers}, func(n int, _ *closers) (func(), error) {
			m := newMembers(n, rnd)
			return func() { m.Tick(time.Now()) }, nil
		}},
		{"one probe in Members", "member", []int{40, 79, 157, designMembers}, func(n int, _ *closers) (func(), error) {
			m := newMembers(n, rnd)
			return func() {
				if t, ok := m.Target(); ok {
					m.Apply(time.Now(), m.Updates(t.Place().Name)[:1])
				}
			}, nil
		}},
		{"renew a share (Lender, Borrower)", "borrowed share", []int{3, 14, 30, 60}, leaseCall},
		{"apply a contract (State)", "contract", []int{10, 80, 160, designCustomers}, stateCall},
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
			var open closers
			call, err := s.prepare(n, &open)
			if err != nil {
				open.close()
				return nil, errors.Wrapf(err, "%s, %d", s.name, n)
			}
			micros, err := timeCalls(call)
			open.close() // what runs on would count in the next measurement
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

// newDecision returns the decision of one request of short class, as one VM and the endpoint's owner make it: contract,
// estimate, limits, choice among the endpoints of the request's model, grant and release.
func newDecision(endpoints, models int, rnd *rand.Rand) (func(), error) {
	book, err := newBook(designCustomers)
	if err != nil {
		return nil, err
	}
	specs := meshSpecs(endpoints)
	chooser := engine.NewChooser(engine.PolicyAffinity)
	limiter := customer.NewLimiter(customer.WithWholeContracts())
	estimator := customer.NewEstimator()
	ledgers := make(map[string]*engine.Ledger, endpoints)
	now := time.Now()
	lists := make([][]engine.Spec, models)
	for i, s := range specs {
		s.Model = fmt.Sprint("model-", i%models)
		specs[i] = s
		lists[i%models] = append(lists[i%models], s)
		l := engine.NewLedger(specs[i], now)
		l.SetShares(now, entry.Shares, entry.Shares)
		l.Observe(now, engine.Report{Instance: 1, Sequence: 1, KVTokens: specs[i].KVTokens, Sequences: specs[i].Sequences, Model: specs[i].Model})
		for k := range 32 {
			l.Ask(now, engine.Demand{ID: fmt.Sprint("held-", k), Customer: "other", PromptTokens: 1_000, MaxTokens: 400, Weight: 1, Slack: time.Minute})
		}
		ledgers[specs[i].Name] = l
		chooser.ObserveLoad(now, specs[i].Name, l.Load())
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
		c, ok := book.ByKey(keys[number%len(keys)])
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
		for _, s := range chooser.Candidates(now, r, list) {
			l := ledgers[s.Name]
			d := engine.Demand{ID: r.ID, Customer: r.Customer, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Weight: 1, Slack: time.Second}
			if _, ok := l.Ask(now, d).(engine.Granted); ok {
				l.Release(now, r.ID, engine.Result{})
				break
			}
		}
		admission.End(now, r.Tokens())
		// Loads and reports count for 5 s, so they are renewed every 4,096 steps of 1 ms; that is less than 1 us a call.
		now = now.Add(time.Millisecond)
		if number%4096 == 0 {
			for name, l := range ledgers {
				l.Observe(now, engine.Report{Instance: 1, Sequence: uint64(number), KVTokens: 4_000_000, Sequences: 4_096, Model: model})
				chooser.ObserveLoad(now, name, l.Load())
			}
		}
	}, nil
}

func contractCall(n int, _ *closers) (func(), error) {
	book, err := newBook(n)
	return func() { book.ByKey("key-0") }, err
}

// contractDocument returns the contract of customer i.
func contractDocument(i int) []byte {
	var b strings.Builder
	sum := sha256.Sum256(fmt.Append(nil, "key-", i))
	section(&b, "contract", "name", fmt.Sprintf("customer-%03d", i), "weight", "1", "priority", "1", "tokensPerSecond", "100000000", "burst", "1000000000",
		"concurrent", "100000", "longestPrompt", "1000000", "models", "model-0, model-1, model-2, model-3")
	section(&b, "keys", "first", hex.EncodeToString(sum[:]))
	for _, s := range []string{"firstToken", "deadline"} {
		section(&b, s, "short", "460ms", "medium", "2s", "long", "20s", "veryLong", "5m")
	}
	return []byte(b.String())
}

func newBook(n int) (*customer.Book, error) {
	contracts := make([]*customer.Contract, n)
	for i := range contracts {
		c, err := customer.ParseContract(fmt.Sprint("contract-", i), contractDocument(i))
		if err != nil {
			return nil, err
		}
		contracts[i] = c
	}
	return customer.NewBook(contracts)
}

// newMembers returns the view of a VM whose n-1 peers live.
func newMembers(n int, rnd *rand.Rand) *entry.Members {
	now := time.Now()
	places := make([]entry.Place, n)
	for i := range places {
		places[i] = entry.Place{Name: fmt.Sprintf("%s/%d", meshDataCentre, i+1), DataCentre: meshDataCentre, Address: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250+1)}
	}
	m := entry.NewMembers(places[0], 1, now, rnd)
	m.SetPlaces(now, places)
	for _, p := range places[1:] {
		// A VM that knows only itself tells its own state.
		m.Apply(now, entry.NewMembers(p, 1, now, rnd).Updates(places[0].Name))
	}
	return m
}

func leaseCall(n int, _ *closers) (func(), error) {
	now := time.Now()
	lender, err := entry.NewLender[int](entry.ShareTimers(), now, entry.FirstStart())
	if err != nil {
		return nil, err
	}
	borrower, err := entry.NewBorrower[int](entry.ShareTimers())
	for i := range n {
		lender.SetTotal(now, i, 1, 0)
	}
	i := 0
	return func() {
		i = (i + 1) % n
		now = now.Add(time.Second / time.Duration(n))
		if loan, ok := lender.Lend(now, entry.BorrowerID{Place: "dc-1/1", Incarnation: 1}, borrower.Ask(now, i, 1)); ok {
			borrower.Lent(now, loan)
		}
	}, err
}

// fleetDocument returns a fleet of the given numbers of VMs and engines in seven data centres.
func fleetDocument(vms, engines int) []byte {
	const dataCentres = 7
	var b strings.Builder
	for i := range dataCentres {
		section(&b, fmt.Sprintf("dataCentre dc-%d", i+1), "region", fmt.Sprintf("region-%d", i%3))
	}
	for i := range vms {
		section(&b, fmt.Sprintf("vm dc-%d/%d", i%dataCentres+1, i), "dataCentre", fmt.Sprintf("dc-%d", i%dataCentres+1),
			"address", fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250+1))
	}
	for i := range engines {
		section(&b, fmt.Sprintf("engine engine-%05d", i), "dataCentre", fmt.Sprintf("dc-%d", i%dataCentres+1),
			"address", fmt.Sprintf("10.2.%d.%d:7101", i/250, i%250+1), "model", fmt.Sprintf("model-%d", i%designModels), "kvTokens", "4000000",
			"sequences", "512", "prefillRate", "100000", "decodeRate", "25", "coldSequences", "2", "checksFence", "true")
	}
	return []byte(b.String())
}

// stateCall returns what the store of one VM does for a changed contract: it appends the record, reads it back, applies it
// and makes the new state ready for peers.
func stateCall(n int, open *closers) (func(), error) {
	store := oplog.NewStore(newMemoryLog(), oplog.WithCommitWindow(time.Microsecond))
	open.add(store.Close)
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

// publishFirst waits until the store has read its log to the end.
func publishFirst(ctx context.Context, store *oplog.Store, document string, content []byte) error {
	for {
		_, err := store.Publish(ctx, document, 0, content)
		var out *oplog.UnavailableError
		if !errors.As(err, &out) {
			return err
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// setFleetCall returns the application of a configuration of the whole design size to a node with n members in its data centre.
func setFleetCall(n int, open *closers) (func(), error) {
	node, err := entry.NewNode(entry.Config{Place: "dc-1/0", DataCentre: meshDataCentre, Listen: loopback, Incarnation: 1})
	if err != nil {
		return nil, err
	}
	open.add(node.Close)
	fleet, err := operator.ParseFleet(oplog.FleetDocument, fleetDocument(7*n, n*designEngines/designMembers))
	if err != nil {
		return nil, err
	}
	// The members do not answer, so that only the work on the control goroutine counts.
	return func() { node.SetFleet(fleet.Places(), fleet.Engines(), nil) }, nil
}
