package engine

import (
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestpath/customer"
)

// Policy selects how a Chooser orders endpoints.
type Policy uint8

// Policies.
const (
	PolicyAffinity         Policy = iota // prefix rendezvous bounded by load; long prompts on few endpoints
	PolicyRoundRobin                     // baseline: endpoints in turn
	PolicyLeastOutstanding               // baseline: fewest requests of this VM
)

// Bounds of the chooser.
const (
	defaultCandidates = 3                     // endpoints tried for a request; each further one costs a message to its owner
	preferred         = 8                     // endpoints in rendezvous order that are looked at for a prefix
	loadLifetime      = 5 * time.Second       // a load that is older says nothing
	maxPrefixes       = 1 << 16               // prefixes kept for an endpoint
	maxPlans          = 16                    // specification lists whose order is kept
	boundFactor       = 1.25                  // of the mean load; rendezvous hashing with bounded loads
	longSlice         = 50 * time.Millisecond // prefill of long prompts that a short one may meet
)

// Chooser orders the endpoints for a request. It is safe for concurrent use.
//
// A short prompt goes to the endpoint that is likely to have its prefix cached, unless that endpoint is loaded well above
// the mean, is cold, or prefills long prompts. Long prompts fill the endpoints in one order for each model, so that the
// later ones stay free of them. Loads arrive late, so requests that this VM began since the last load are added.
type Chooser struct {
	policy Policy
	count  int

	mu     sync.Mutex
	states map[string]*endpointState
	plans  map[planKey]*plan
	turn   int
}

// endpointState is what the chooser knows of one endpoint.
type endpointState struct {
	load        Load
	loadAt      time.Time
	began       int // requests of this VM since loadAt
	outstanding int // requests of this VM in progress
	prefixes    map[uint64]struct{}
	next        uint64 // sequence number of the next cache event
}

// planKey identifies a list of specifications and a model.
type planKey struct {
	first *Spec
	n     int
	model string
}

// plan is what is computed once for a list of specifications.
type plan struct {
	specs  []Spec // keeps the list alive, so that its address is not used for another one
	nodes  []node // endpoints of the model
	long   []int  // indices of nodes in the order for long prompts
	groups []int  // indices of nodes that lead a group
}

type node struct {
	index int // in specs
	hash  uint64
	state *endpointState
}

// ChooserOption sets an optional property of a Chooser.
type ChooserOption func(*Chooser)

// WithCandidates sets how many endpoints are returned at most.
func WithCandidates(n int) ChooserOption { return func(c *Chooser) { c.count = n } }

// NewChooser returns a chooser without knowledge of loads.
func NewChooser(policy Policy, opts ...ChooserOption) *Chooser {
	c := &Chooser{policy: policy, count: defaultCandidates, states: make(map[string]*endpointState), plans: make(map[planKey]*plan)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Candidates returns the endpoints to try, best first. The caller does not modify specs afterwards. A prompt beyond the
// memory of every endpoint goes to the first member of a group, see PlanGroup.
func (c *Chooser) Candidates(now time.Time, r *Completion, specs []Spec) []Spec {
	if len(specs) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plan(r.Model, specs)
	if len(p.nodes) == 0 {
		return nil
	}
	var picked []int
	switch {
	case c.policy == PolicyRoundRobin:
		c.turn++
		for i := range min(c.count, len(p.nodes)) {
			picked = append(picked, (c.turn+i)%len(p.nodes))
		}
	case c.policy == PolicyLeastOutstanding:
		c.turn++
		picked = c.leastOutstanding(p)
	case customer.ClassOf(r.PromptTokens) >= customer.Long:
		picked = c.forLong(now, p, r)
	default:
		picked = c.forShort(now, p, r)
	}
	out := make([]Spec, 0, len(picked))
	for _, i := range picked {
		out = append(out, specs[p.nodes[i].index])
	}
	return out
}

// plan returns the kept plan for specs or makes one.
func (c *Chooser) plan(model string, specs []Spec) *plan {
	key := planKey{first: &specs[0], n: len(specs), model: model}
	if p, ok := c.plans[key]; ok {
		return p
	}
	if len(c.plans) >= maxPlans {
		clear(c.plans)
	}
	p := &plan{specs: specs}
	for i, s := range specs {
		if s.Model == model {
			p.nodes = append(p.nodes, node{index: i, hash: xxhash.Sum64String(s.Name), state: c.state(s.Name)})
		}
	}
	order := xxhash.Sum64String(model)
	p.long = make([]int, len(p.nodes))
	for i := range p.long {
		p.long[i] = i
	}
	slices.SortFunc(p.long, func(a, b int) int {
		if score(order, p.nodes[a].hash) > score(order, p.nodes[b].hash) {
			return -1
		}
		return 1
	})
	for _, i := range p.long {
		if leadsGroup(specs[p.nodes[i].index], specs) {
			p.groups = append(p.groups, i)
		}
	}
	c.plans[key] = p
	return p
}

func (c *Chooser) state(name string) *endpointState {
	s := c.states[name]
	if s == nil {
		s = &endpointState{}
		c.states[name] = s
	}
	return s
}

// score is the rendezvous weight of an endpoint for a key.
func score(key, endpoint uint64) uint64 {
	hi, lo := bits.Mul64(key^0x9e3779b97f4a7c15, endpoint|1) // an odd factor keeps every bit of the key
	return hi ^ lo
}

// forLong returns the first endpoints of the model's order that have room and prefill no long prompt, and then the first
// others.
func (c *Chooser) forLong(now time.Time, p *plan, r *Completion) []int {
	var fit, full []int
	for _, i := range p.long {
		if len(fit) >= c.count {
			return fit
		}
		n := p.nodes[i]
		if r.Tokens() > p.specs[n.index].KVTokens {
			continue
		}
		s := n.state
		if !s.known(now) || !s.load.Cold && s.load.FreeTokens >= r.Tokens() && s.load.LongBacklog == 0 && s.load.Queue == 0 {
			fit = append(fit, i)
		} else if len(full) < c.count {
			full = append(full, i)
		}
	}
	fit = append(fit, full...)
	if len(fit) == 0 {
		for _, i := range p.groups {
			if _, ok := PlanGroup(r, p.specs[p.nodes[i].index], p.specs); ok {
				fit = append(fit, i)
			}
		}
	}
	return fit[:min(len(fit), c.count)]
}

// known says whether the endpoint's load is recent.
func (s *endpointState) known(now time.Time) bool { return now.Sub(s.loadAt) < loadLifetime }

// busy returns the endpoint's requests as far as this VM knows.
func (s *endpointState) busy() int { return s.load.Running + s.load.Queue + s.began }

// forShort returns the first endpoints in the prefix's order that are not above the bound, then the least loaded others.
func (c *Chooser) forShort(now time.Time, p *plan, r *Completion) []int {
	var top [preferred]struct {
		score uint64
		node  int
	}
	n, busy := 0, 0
	for i := range p.nodes {
		node := &p.nodes[i]
		busy += node.state.busy()
		s := score(r.Prefix, node.hash)
		if n == preferred && s <= top[n-1].score {
			continue
		}
		at := n
		if n < preferred {
			n++
		} else {
			at = n - 1
		}
		for ; at > 0 && top[at-1].score < s; at-- {
			top[at] = top[at-1]
		}
		top[at].score, top[at].node = s, i
	}
	bound := boundFactor*float64(busy)/float64(len(p.nodes)) + 1
	type ranked struct{ node, rank int }
	best := make([]ranked, 0, preferred+c.count)
	for _, t := range top[:n] {
		best = append(best, ranked{t.node, c.rank(now, p, t.node, r, bound)})
	}
	// With every preferred endpoint unsuited, a sample in another order finds one that is not.
	if good := func(x ranked) bool { return x.rank < rankLoaded }; !slices.ContainsFunc(best, good) {
		from := int(r.Prefix % uint64(len(p.nodes)))
		for i := 0; i < len(p.nodes) && len(best) < cap(best); i++ {
			node := (from + i) % len(p.nodes)
			if k := c.rank(now, p, node, r, bound); k < rankLoaded {
				best = append(best, ranked{node, k})
			}
		}
	}
	slices.SortStableFunc(best, func(a, b ranked) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.rank >= rankLoaded {
			return p.nodes[a.node].state.busy() - p.nodes[b.node].state.busy()
		}
		return 0
	})
	picked := make([]int, 0, c.count)
	for _, b := range best {
		if len(picked) < c.count && p.specs[p.nodes[b.node].index].KVTokens >= r.Tokens() && !slices.Contains(picked, b.node) {
			picked = append(picked, b.node)
		}
	}
	return picked
}

// Ranks of an endpoint for a short prompt, best first.
const (
	rankCached  = iota // has the prefix
	rankFree           // may have it later
	rankUnknown        // no recent load
	rankLoaded         // above the bound, without room, or behind long prefill
	rankCold
)

func (c *Chooser) rank(now time.Time, p *plan, i int, r *Completion, bound float64) int {
	s := p.nodes[i].state
	l := &s.load
	switch {
	case !s.known(now):
		return rankUnknown
	case l.Cold && l.FreeSequences <= s.began:
		return rankCold
	case float64(s.busy()) > bound, l.FreeTokens < r.Tokens(), l.FreeSequences <= s.began, l.longPrefill() > longSlice:
		return rankLoaded
	}
	if _, ok := s.prefixes[r.Prefix]; ok {
		return rankCached
	}
	return rankFree
}

// longPrefill returns the time that the prefill of long prompts still takes.
func (l *Load) longPrefill() time.Duration {
	if l.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(l.LongBacklog) / l.PrefillRate * float64(time.Second))
}

// leastOutstanding returns the endpoints with the fewest requests of this VM, beginning at the next one in turn.
func (c *Chooser) leastOutstanding(p *plan) []int {
	picked := make([]int, 0, c.count+1)
	for k := range p.nodes {
		i := (c.turn + k) % len(p.nodes)
		at := len(picked)
		for at > 0 && p.nodes[picked[at-1]].state.outstanding > p.nodes[i].state.outstanding {
			at--
		}
		if at < c.count {
			picked = slices.Insert(picked, at, i)
			picked = picked[:min(len(picked), c.count)]
		}
	}
	return picked
}

// ObserveLoad records an endpoint's load. A new instance has an empty prefix cache.
func (c *Chooser) ObserveLoad(now time.Time, endpoint string, l Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(endpoint)
	if s.load.Instance != 0 && s.load.Instance != l.Instance {
		s.prefixes, s.next = nil, 0
	}
	s.load, s.loadAt, s.began = l, now, 0
}

// ObserveEvents applies cache events to the endpoint's prefix index. Events that were applied before are skipped. After a
// gap the index no longer shows what the endpoint has, so it starts again empty.
func (c *Chooser) ObserveEvents(endpoint string, events []CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(endpoint)
	for _, e := range events {
		if e.Sequence < s.next {
			continue
		}
		if e.Sequence != s.next && s.next != 0 || len(s.prefixes) >= maxPrefixes {
			s.prefixes = nil
		}
		s.next = e.Sequence + 1
		if !e.Stored {
			delete(s.prefixes, e.Prefix)
			continue
		}
		if s.prefixes == nil {
			s.prefixes = make(map[uint64]struct{})
		}
		s.prefixes[e.Prefix] = struct{}{}
	}
}

// NextEvent returns the sequence number from which the endpoint's cache events are needed.
func (c *Chooser) NextEvent(endpoint string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(endpoint).next
}

// Cached says whether the endpoint is believed to have a prefix in its cache.
func (c *Chooser) Cached(endpoint string, prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.state(endpoint).prefixes[prefix]
	return ok
}

// Began counts a request of this VM.
func (c *Chooser) Began(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(endpoint)
	s.began++
	s.outstanding++
}

// Ended counts the end of a request of this VM.
func (c *Chooser) Ended(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.state(endpoint); s.outstanding > 0 {
		s.outstanding--
	}
}

// Retain drops what is known of endpoints that specs does not name.
func (c *Chooser) Retain(specs []Spec) {
	names := make(map[string]bool, len(specs))
	for _, s := range specs {
		names[s.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.plans)
	maps.DeleteFunc(c.states, func(name string, _ *endpointState) bool { return !names[name] })
}
