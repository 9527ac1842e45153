package endpoint

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"goldcrestpath/customer"
)

// Parameters of fair shares.
const (
	// useDecay is the time constant with which recorded use loses weight. It is about the length of one answer.
	useDecay = 2 * time.Second
	// exceedFactor is the multiple of its fair share above which a customer exceeds it.
	exceedFactor = 1.25
	// growthRoom and idleReserve give the demand of a customer that uses less than its fair share: growthRoom times what it uses, and
	// at least idleReserve times an equal share. Use shows only what was served. If demand were equal to use, the fair share of the
	// largest customer would always be all that it uses, and a flood would have the largest fair share of all.
	growthRoom  = 1.5
	idleReserve = 0.5
	// activeFor is how long a customer counts as active after its last request.
	activeFor = 2 * useDecay
	// maxCustomersTracked limits the entries of the ledger, one for each customer and service. The one with the least use is replaced.
	maxCustomersTracked = 256
	// maxUsageRows is how many of its largest customers a VM reports to its peers.
	maxUsageRows = 4
	// sharesValidFor is how long computed shares are reused unless this VM records new use.
	sharesValidFor = 20 * time.Millisecond
	// ceasedAfter is how long a customer must not have exceeded its share before Changes reports the end.
	ceasedAfter = 2 * time.Second
	// shareSpread is the largest relative deviation of the retry times of refused customers, so that they do not return at the same time.
	shareSpread = 0.25
)

// Usage is the use of a service by a customer, as one VM reports it to its peers: engine time for a service with engines, slot time for
// a plain one. Earlier use counts for less, with a time constant of 2 s.
type Usage struct {
	Service  Key
	Customer Key
	Use      time.Duration
}

// CustomerShare is the part of a customer in the use of all services with recorded use.
type CustomerShare struct {
	Customer string  // name or, if only peers have seen requests of the customer, its key in hexadecimal digits
	Share    float64 // between 0 and 1
}

// ShareChange states that a customer has begun or ceased to exceed its fair share.
type ShareChange struct {
	Service   string
	Customer  string // as in CustomerShare
	Exceeds   bool
	Use       time.Duration // use of the customer
	Fair      time.Duration // its fair share
	Customers int           // active customers
	Reporters int           // peers whose reports were used
}

// Shares records how much of each service the customers use, and decides which of them exceed their fair shares while capacity is scarce.
// Shares are weighted max-min fair: what a customer does not use goes to the others. It is safe for concurrent use.
//
// A VM sees only its own requests. Peers report their largest customers while capacity is scarce; until then, and if the reports are lost,
// the VM's own requests are a sample.
type Shares struct {
	scarce func(now time.Time, service string) bool // called without holding mu, because it may lock the Fleet

	mu        sync.Mutex
	weights   map[Key]float64
	vms       int // VMs of the cell
	entries   map[usageKey]*usageEntry
	services  map[Key]string // names of the services with entries
	reports   map[string]usageReport
	fair      map[Key]*fairShares
	exceeding map[usageKey]time.Time // customers that Changes has reported, and when they last exceeded their shares
}

// usageKey identifies the use of a service by a customer.
type usageKey struct{ service, customer Key }

// usageEntry is the use of a service by a customer through this VM.
type usageEntry struct {
	name     string
	use      float64   // seconds as of at
	rate     float64   // slots or parts of engines that are in use now
	at       time.Time // when use was updated
	lastSeen time.Time // last request
}

// usageReport is what a peer reported.
type usageReport struct {
	rows       []Usage
	receivedAt time.Time
}

// fairShares are the computed shares of one service.
type fairShares struct {
	at        time.Time
	use       map[Key]float64 // seconds, by customer
	level     float64         // fair share of a customer with weight 1, in seconds
	reporters int             // peers whose reports were used
}

// SharesOption configures Shares.
type SharesOption func(*Shares)

// WithScarcity sets the function that reports whether the capacity of a service is scarce. It must not be called while the Fleet is
// locked. Without it, capacity is never scarce and no customer exceeds its share.
func WithScarcity(scarce func(now time.Time, service string) bool) SharesOption {
	return func(s *Shares) { s.scarce = scarce }
}

// WithShareWeight sets the weight of a customer, relative to 1 for all others. Weights that are not positive are ignored.
func WithShareWeight(customer string, weight float64) SharesOption {
	return func(s *Shares) {
		if weight > 0 {
			s.weights[KeyOf(customer)] = weight
		}
	}
}

// NewShares returns shares without recorded use.
func NewShares(opts ...SharesOption) *Shares {
	s := &Shares{
		scarce: func(time.Time, string) bool { return false }, weights: map[Key]float64{}, vms: 1, entries: map[usageKey]*usageEntry{},
		services: map[Key]string{}, reports: map[string]usageReport{}, fair: map[Key]*fairShares{}, exceeding: map[usageKey]time.Time{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetVMs sets the number of VMs of the cell, from which it follows how long reports of peers count.
func (s *Shares) SetVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = n
}

// Record adds use by a request of the customer, or takes use back if engineTime is negative. Requests without a customer are not
// recorded.
func (s *Shares) Record(now time.Time, service, customer string, engineTime time.Duration) {
	s.update(now, service, customer, func(e *usageEntry) {
		e.use = max(e.use+engineTime.Seconds(), 0)
	})
}

// Occupy adds to the part of an endpoint that requests of the customer occupy from now on: 1 for a slot of a plain service, the inverse of the
// number of running requests for an engine. The part is taken back by a call with its negative value.
func (s *Shares) Occupy(now time.Time, service, customer string, part float64) {
	s.update(now, service, customer, func(e *usageEntry) {
		if e.rate += part; e.rate < 1e-6 { // rounding, or the entry was replaced in the meantime
			e.rate = 0
		}
	})
}

// update changes the entry of a customer.
func (s *Shares) update(now time.Time, service, customer string, change func(e *usageEntry)) {
	if customer == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entryLocked(now, service, customer)
	e.decay(now)
	before := e.use
	change(e)
	// The shares are computed anew after sharesValidFor; until then the customer's own use counts.
	if f := s.fair[KeyOf(service)]; f != nil {
		f.use[KeyOf(customer)] += e.use - before
	}
}

// entryLocked returns the entry of a customer, which counts as active from now on.
func (s *Shares) entryLocked(now time.Time, service, customer string) *usageEntry {
	k := usageKey{KeyOf(service), KeyOf(customer)}
	e := s.entries[k]
	if e == nil {
		if len(s.entries) >= maxCustomersTracked {
			s.dropLocked(now)
		}
		e = &usageEntry{name: customer, at: now}
		s.entries[k] = e
		s.services[k.service] = service
		delete(s.fair, k.service)
	}
	e.lastSeen = now
	return e
}

// dropLocked removes the entry with the least use, and the names of services without entries.
func (s *Shares) dropLocked(now time.Time) {
	var least usageKey
	leastUse := math.Inf(1)
	used := map[Key]bool{}
	for k, e := range s.entries {
		e.decay(now)
		if e.use < leastUse {
			least, leastUse = k, e.use
		}
		used[k.service] = true
	}
	delete(s.entries, least)
	for k := range s.services {
		if !used[k] {
			delete(s.services, k)
			delete(s.fair, k)
		}
	}
}

// decay reduces the recorded use by the time since the last update and adds what was occupied in the meantime.
func (e *usageEntry) decay(now time.Time) {
	elapsed := now.Sub(e.at)
	if elapsed <= 0 {
		return
	}
	left := decayed(elapsed)
	e.use = e.use*left + e.rate*useDecay.Seconds()*(1-left)
	e.at = now
}

// decayed returns the fraction of use that still counts after a time.
func decayed(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / useDecay.Seconds())
}

// Exceeds reports whether the capacity of the service is scarce and the customer uses more than 1.25 times its fair share of it. The
// customer counts as active from now on. The result is false if no other customer is active.
func (s *Shares) Exceeds(now time.Time, service, customer string) bool {
	if customer == "" {
		return false
	}
	s.mu.Lock()
	s.entryLocked(now, service, customer)
	over := s.fairLocked(now, KeyOf(service)).exceeds(KeyOf(customer), s.weightLocked(KeyOf(customer)))
	s.mu.Unlock()
	return over && s.scarce(now, service)
}

// recovery returns the time after which a customer that stays idle no longer exceeds its share.
func (s *Shares) recovery(now time.Time, service, customer string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := KeyOf(customer)
	f := s.fairLocked(now, KeyOf(service))
	most := exceedFactor * f.level * s.weightLocked(k)
	if most <= 0 || f.use[k] <= most {
		return 0
	}
	return time.Duration(math.Log(f.use[k]/most) * float64(useDecay))
}

func (s *Shares) weightLocked(customer Key) float64 {
	if w, ok := s.weights[customer]; ok {
		return w
	}
	return 1
}

// exceeds reports whether a customer uses more than exceedFactor times its fair share.
func (f *fairShares) exceeds(customer Key, weight float64) bool {
	return len(f.use) >= 2 && f.use[customer] > exceedFactor*f.level*weight
}

// fairLocked returns the shares of a service.
func (s *Shares) fairLocked(now time.Time, service Key) *fairShares {
	if f := s.fair[service]; f != nil && now.Sub(f.at) < sharesValidFor {
		return f
	}
	f := &fairShares{at: now, use: map[Key]float64{}}
	for k, e := range s.entries {
		if k.service != service || e.rate == 0 && now.Sub(e.lastSeen) > activeFor {
			continue
		}
		e.decay(now)
		f.use[k.customer] += e.use
	}
	for _, r := range s.validReportsLocked(now) {
		left, reported := decayed(now.Sub(r.receivedAt)), false
		for _, u := range r.rows {
			if u.Service == service {
				f.use[u.Customer] += u.Use.Seconds() * left
				reported = true
			}
		}
		if reported {
			f.reporters++
		}
	}
	f.level = s.levelLocked(f.use)
	s.fair[service] = f
	return f
}

// validReportsLocked removes reports that have expired and returns the others.
func (s *Shares) validReportsLocked(now time.Time) map[string]usageReport {
	ttl := peerLoadTTL * time.Duration(ReportRounds(s.vms))
	for vm, r := range s.reports {
		if now.Sub(r.receivedAt) > ttl {
			delete(s.reports, vm)
		}
	}
	return s.reports
}

// levelLocked returns the weighted max-min fair share of a customer with weight 1, if the customers divide among themselves what they use
// together. It serves the customers in order of demand and weight; what one leaves of an equal part is divided among the rest.
func (s *Shares) levelLocked(use map[Key]float64) float64 {
	type demand struct{ weight, perWeight float64 }
	demands := make([]demand, 0, len(use))
	total, weights := 0.0, 0.0
	for k, u := range use {
		total += u
		weights += s.weightLocked(k)
	}
	for k, u := range use {
		w := s.weightLocked(k)
		demands = append(demands, demand{w, max(growthRoom*u/w, idleReserve*total/weights)})
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.perWeight, b.perWeight) })
	for _, d := range demands {
		if d.perWeight >= total/weights {
			return total / weights
		}
		total -= d.perWeight * d.weight
		weights -= d.weight
	}
	return math.Inf(1) // no use at all
}

// Reports returns the largest customers of this VM in the services whose capacity is scarce, at most four in all.
func (s *Shares) Reports(now time.Time) []Usage {
	s.mu.Lock()
	services := make(map[Key]string, len(s.services))
	for k, name := range s.services {
		services[k] = name
	}
	s.mu.Unlock()
	for k, name := range services {
		if !s.scarce(now, name) {
			delete(services, k)
		}
	}
	if len(services) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Usage
	for k, e := range s.entries {
		e.decay(now)
		use := time.Duration(e.use * float64(time.Second))
		if _, scarce := services[k.service]; scarce && use >= time.Millisecond {
			rows = append(rows, Usage{Service: k.service, Customer: k.customer, Use: use})
		}
	}
	slices.SortFunc(rows, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
	return rows[:min(len(rows), maxUsageRows)]
}

// Merge replaces what a peer reported. Rows beyond the first four are ignored.
func (s *Shares) Merge(now time.Time, vm string, rows []Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(rows) == 0 {
		delete(s.reports, vm)
		return
	}
	s.reports[vm] = usageReport{rows: rows[:min(len(rows), maxUsageRows)], receivedAt: now}
}

// Largest returns the n customers with the largest parts in the use of all services, the largest first.
func (s *Shares) Largest(now time.Time, n int) []CustomerShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	use := map[Key]float64{}
	total := 0.0
	add := func(customer Key, seconds float64) {
		use[customer] += seconds
		total += seconds
	}
	for k, e := range s.entries {
		e.decay(now)
		add(k.customer, e.use)
	}
	for _, r := range s.validReportsLocked(now) {
		for _, u := range r.rows {
			add(u.Customer, u.Use.Seconds()*decayed(now.Sub(r.receivedAt)))
		}
	}
	var largest []CustomerShare
	for k, u := range use {
		if u > 0 {
			largest = append(largest, CustomerShare{Customer: s.nameLocked(k), Share: u / total})
		}
	}
	slices.SortFunc(largest, func(a, b CustomerShare) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Customer, b.Customer))
	})
	return largest[:min(len(largest), n)]
}

// nameLocked returns the name of a customer, or its key in hexadecimal digits if this VM has no request of it.
func (s *Shares) nameLocked(customer Key) string {
	for k, e := range s.entries {
		if k.customer == customer {
			return e.name
		}
	}
	return strconv.FormatUint(uint64(customer), 16)
}

// Changes returns which customers have begun or ceased to exceed their shares since the last call. A customer has ceased when it has
// not exceeded its share for 2 s.
func (s *Shares) Changes(now time.Time) []ShareChange {
	s.mu.Lock()
	over := map[usageKey]bool{}
	services := map[Key]string{}
	for service, name := range s.services {
		f := s.fairLocked(now, service)
		for c := range f.use {
			if f.exceeds(c, s.weightLocked(c)) {
				over[usageKey{service, c}] = true
				services[service] = name
			}
		}
	}
	s.mu.Unlock()
	for service, name := range services {
		if !s.scarce(now, name) {
			delete(services, service)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []ShareChange
	for k := range over {
		if _, scarce := services[k.service]; !scarce {
			continue
		}
		if _, known := s.exceeding[k]; !known {
			changes = append(changes, s.changeLocked(now, k, true))
		}
		s.exceeding[k] = now
	}
	for k, last := range s.exceeding {
		if now.Sub(last) >= ceasedAfter {
			changes = append(changes, s.changeLocked(now, k, false))
			delete(s.exceeding, k)
		}
	}
	return changes
}

func (s *Shares) changeLocked(now time.Time, k usageKey, exceeds bool) ShareChange {
	f := s.fairLocked(now, k.service)
	seconds := func(x float64) time.Duration {
		if math.IsInf(x, 1) {
			return 0 // no use at all
		}
		return time.Duration(x * float64(time.Second))
	}
	return ShareChange{
		Service: s.services[k.service], Customer: s.nameLocked(k.customer), Exceeds: exceeds, Use: seconds(f.use[k.customer]),
		Fair: seconds(f.level * s.weightLocked(k.customer)), Customers: len(f.use), Reporters: f.reporters,
	}
}

// WithShares makes the Fleet refuse prompts and calls of customers that exceed their fair shares while capacity is scarce.
func WithShares(s *Shares) FleetOption {
	return func(f *Fleet) { f.shares = s }
}

// exceedsShare reports whether a customer exceeds its fair share of a service. It must be called without holding f.mu.
func (f *Fleet) exceedsShare(now time.Time, service, customer string) bool {
	return f.shares != nil && f.shares.Exceeds(now, service, customer)
}

// refuseShareLocked returns the refusal of a prompt of a customer that exceeds its share, given the refusal that any other prompt would
// get. A long prompt that would wait does so; a short one is refused in place of waiting.
func (f *Fleet) refuseShareLocked(now time.Time, s *Service, p Prompt, refusal *customer.Refusal) *customer.Refusal {
	short := s.Engine.PrefillTime(p.Tokens) <= preferredSegment && p.Tokens+p.MaxOutput <= s.Engine.KVTokens
	switch {
	case refusal.Reason() == customer.ReasonDeadline, refusal.Reason() == customer.ReasonQueueFull && short:
		return f.shareRefusalLocked(now, s.Name, p.Customer, p.TimeLimit-p.Waited, refusal.Message())
	}
	return refusal
}

// shareRefusalLocked returns a refusal because a customer exceeds its share. The retry time is the time until the customer no longer
// exceeds it, but at most retryAfterShare of the time left, if any, because callers wait no longer.
func (f *Fleet) shareRefusalLocked(now time.Time, service, name string, left time.Duration, cause string) *customer.Refusal {
	wait := max(f.shares.recovery(now, service, name), retryFull)
	if left > 0 {
		wait = min(wait, time.Duration(retryAfterShare/(1+shareSpread)*float64(left)))
	}
	wait = time.Duration(float64(wait) * (1 + shareSpread*(2*f.random()-1)))
	return customer.Refuse(customer.ReasonShareExceeded, "the customer exceeds its share of scarce capacity: "+cause, customer.RetryAfter(wait))
}
