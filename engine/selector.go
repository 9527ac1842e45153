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

// SelectionPolicy determines how a Selector ranks endpoints.
type SelectionPolicy uint8

// Policies.
const (
	PolicyAffinity         SelectionPolicy = iota // rendezvous hashing of the prefix with bounded loads; long prompts go to few endpoints
	PolicyRoundRobin                              // baseline: each endpoint in turn
	PolicyLeastOutstanding                        // baseline: the endpoint with the fewest outstanding requests of this VM
)

// Limits of the selector.
const (
	defaultCandidates  = 3                     // endpoints tried for a request; each further one costs a message to its owner
	affinityCandidates = 8                     // endpoints considered for a prefix, in rendezvous order
	maxLoadAge         = 5 * time.Second       // a load older than this is ignored
	maxPrefixes        = 1 << 16               // prefixes kept per endpoint
	maxModelIndexes    = 16                    // model indexes kept in memory
	loadBoundFactor    = 1.25                  // an endpoint above this multiple of the mean load is overloaded (rendezvous hashing with bounded loads)
	maxLongPrefillTime = 50 * time.Millisecond // an endpoint with more pending prefill of long prompts than this counts as loaded for short prompts
)

// Selector selects the endpoints to try for a request. It is safe for concurrent use.
//
// A short prompt goes to the endpoint that is likely to have its prefix cached, unless that endpoint is loaded well above
// the mean, is cold and has used up its allowance, or is prefilling long prompts. Long prompts fill the endpoints in a fixed
// order per model, which keeps the endpoints at the end of that order free for short prompts. Loads arrive with a delay, so
// the selector adds the requests that this VM has started since it received an endpoint's load.
type Selector struct {
	policy        SelectionPolicy
	maxCandidates int

	mu           sync.Mutex
	states       map[string]*endpointState
	modelIndexes map[modelIndexKey]*modelIndex
	rotation     int
}

// endpointState is what the selector knows about one endpoint.
type endpointState struct {
	load             Load
	loadAt           time.Time
	startedSinceLoad int // requests that this VM started after loadAt
	outstanding      int // requests of this VM in progress
	prefixes         map[uint64]struct{}
	nextEvent        uint64 // sequence number of the next expected cache event
}

// modelIndexKey identifies a model and a list of specifications, by the address of its first element and its length.
type modelIndexKey struct {
	first *Spec
	n     int
	model string
}

// modelIndex holds what is computed once per model and list of specifications.
type modelIndex struct {
	specs      []Spec // keeps the list alive, so that its address cannot be reused for another list
	nodes      []node // endpoints that serve the model
	longOrder  []int  // indices into nodes, in the order in which long prompts fill the endpoints
	groupLeads []int  // indices into nodes of the endpoints that are the first member of a group
}

// node is one endpoint of a modelIndex.
type node struct {
	index int // index into specs
	hash  uint64
	state *endpointState
}

// SelectorOption sets an optional property of a Selector.
type SelectorOption func(*Selector)

// WithMaxCandidates sets the maximum number of endpoints that Candidates returns.
func WithMaxCandidates(n int) SelectorOption { return func(c *Selector) { c.maxCandidates = n } }

// NewSelector returns a selector that has no loads yet.
func NewSelector(policy SelectionPolicy, opts ...SelectorOption) *Selector {
	s := &Selector{policy: policy, maxCandidates: defaultCandidates, states: make(map[string]*endpointState), modelIndexes: make(map[modelIndexKey]*modelIndex)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Candidates returns the endpoints to try for r, best first. The caller must not modify specs afterwards. A prompt that
// exceeds the memory of every endpoint goes to the first member of a group; see PlanGroup.
func (s *Selector) Candidates(now time.Time, r *Completion, specs []Spec) []Spec {
	if len(specs) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	idx := s.modelIndexFor(r.Model, specs)
	if len(idx.nodes) == 0 {
		return nil
	}
	var selected []int
	switch {
	case s.policy == PolicyRoundRobin:
		s.rotation++
		for i := range min(s.maxCandidates, len(idx.nodes)) {
			selected = append(selected, (s.rotation+i)%len(idx.nodes))
		}
	case s.policy == PolicyLeastOutstanding:
		s.rotation++
		selected = s.leastOutstanding(idx)
	case customer.ClassOf(r.PromptTokens) >= customer.Long:
		selected = s.longCandidates(now, idx, r)
	default:
		selected = s.shortCandidates(now, idx, r)
	}
	candidates := make([]Spec, 0, len(selected))
	for _, i := range selected {
		candidates = append(candidates, specs[idx.nodes[i].index])
	}
	return candidates
}

// modelIndexFor returns the index for model and specs, and builds it if there is none.
func (s *Selector) modelIndexFor(model string, specs []Spec) *modelIndex {
	key := modelIndexKey{first: &specs[0], n: len(specs), model: model}
	if idx, ok := s.modelIndexes[key]; ok {
		return idx
	}
	if len(s.modelIndexes) >= maxModelIndexes {
		clear(s.modelIndexes)
	}
	idx := &modelIndex{specs: specs}
	for i, spec := range specs {
		if spec.Model == model {
			idx.nodes = append(idx.nodes, node{index: i, hash: xxhash.Sum64String(spec.Name), state: s.state(spec.Name)})
		}
	}
	modelHash := xxhash.Sum64String(model)
	idx.longOrder = make([]int, len(idx.nodes))
	for i := range idx.longOrder {
		idx.longOrder[i] = i
	}
	slices.SortFunc(idx.longOrder, func(a, b int) int {
		if score(modelHash, idx.nodes[a].hash) > score(modelHash, idx.nodes[b].hash) {
			return -1
		}
		return 1
	})
	for _, i := range idx.longOrder {
		if leadsGroup(specs[idx.nodes[i].index], specs) {
			idx.groupLeads = append(idx.groupLeads, i)
		}
	}
	s.modelIndexes[key] = idx
	return idx
}

// state returns the state of the endpoint, and creates it if there is none.
func (s *Selector) state(name string) *endpointState {
	state := s.states[name]
	if state == nil {
		state = &endpointState{}
		s.states[name] = state
	}
	return state
}

// score returns the rendezvous hashing weight of an endpoint for a key.
func score(key, endpoint uint64) uint64 {
	hi, lo := bits.Mul64(key^0x9e3779b97f4a7c15, endpoint|1) // an odd factor keeps every bit of the key
	return hi ^ lo
}

// longCandidates returns candidates for a long prompt in the model's fixed order: first the endpoints that have capacity and are
// not prefilling a long prompt, then the others that are large enough. If the prompt is too large for every endpoint, it
// returns the first members of the groups that have enough memory for it.
func (s *Selector) longCandidates(now time.Time, idx *modelIndex, r *Completion) []int {
	var available, occupied []int
	for _, i := range idx.longOrder {
		if len(available) >= s.maxCandidates {
			return available
		}
		n := idx.nodes[i]
		if r.Tokens() > idx.specs[n.index].KVTokens {
			continue
		}
		state := n.state
		if !state.hasRecentLoad(now) || !state.load.Cold && state.load.FreeTokens >= r.Tokens() && state.load.LongPrefillBacklog == 0 && state.load.QueuedRequests == 0 {
			available = append(available, i)
		} else if len(occupied) < s.maxCandidates {
			occupied = append(occupied, i)
		}
	}
	available = append(available, occupied...)
	if len(available) == 0 {
		for _, i := range idx.groupLeads {
			if _, ok := PlanGroup(r, idx.specs[idx.nodes[i].index], idx.specs); ok {
				available = append(available, i)
			}
		}
	}
	return available[:min(len(available), s.maxCandidates)]
}

// hasRecentLoad reports whether the endpoint's load is recent enough to be used.
func (s *endpointState) hasRecentLoad(now time.Time) bool { return now.Sub(s.loadAt) < maxLoadAge }

// inFlight returns the number of running and queued requests on the endpoint, as far as this VM knows.
func (s *endpointState) inFlight() int {
	return s.load.Running + s.load.QueuedRequests + s.startedSinceLoad
}

// shortCandidates returns candidates for a short prompt: the first endpoints in the prefix's rendezvous order that are not
// overloaded, followed by the least loaded of the others.
func (s *Selector) shortCandidates(now time.Time, idx *modelIndex, r *Completion) []int {
	var top [affinityCandidates]struct {
		score uint64
		node  int
	}
	n, totalInFlight := 0, 0
	for i := range idx.nodes {
		node := &idx.nodes[i]
		totalInFlight += node.state.inFlight()
		weight := score(r.Prefix, node.hash)
		if n == affinityCandidates && weight <= top[n-1].score {
			continue
		}
		pos := n
		if n < affinityCandidates {
			n++
		} else {
			pos = n - 1
		}
		for ; pos > 0 && top[pos-1].score < weight; pos-- {
			top[pos] = top[pos-1]
		}
		top[pos].score, top[pos].node = weight, i
	}
	bound := loadBoundFactor*float64(totalInFlight)/float64(len(idx.nodes)) + 1
	type ranked struct{ node, rank int }
	best := make([]ranked, 0, affinityCandidates+s.maxCandidates)
	for _, t := range top[:n] {
		best = append(best, ranked{t.node, s.rank(now, idx, t.node, r, bound)})
	}
	// If none of the endpoints in top is suitable, look for others, starting at an offset derived from the prefix.
	if suitable := func(x ranked) bool { return x.rank < rankLoaded }; !slices.ContainsFunc(best, suitable) {
		offset := int(r.Prefix % uint64(len(idx.nodes)))
		for i := 0; i < len(idx.nodes) && len(best) < cap(best); i++ {
			node := (offset + i) % len(idx.nodes)
			if k := s.rank(now, idx, node, r, bound); k < rankLoaded {
				best = append(best, ranked{node, k})
			}
		}
	}
	slices.SortStableFunc(best, func(a, b ranked) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.rank >= rankLoaded {
			return idx.nodes[a.node].state.inFlight() - idx.nodes[b.node].state.inFlight()
		}
		return 0
	})
	selected := make([]int, 0, s.maxCandidates)
	for _, b := range best {
		if len(selected) < s.maxCandidates && idx.specs[idx.nodes[b.node].index].KVTokens >= r.Tokens() && !slices.Contains(selected, b.node) {
			selected = append(selected, b.node)
		}
	}
	return selected
}

// Ranks of an endpoint for a short prompt, best first.
const (
	rankCached    = iota // has the prefix in its cache
	rankAvailable        // has capacity, but not the prefix in its cache
	rankUnknown          // has no recent load
	rankLoaded           // is above the load bound, has no capacity, or is prefilling long prompts
	rankCold             // is cold, with its cold-start allowance used up
)

// rank returns the rank of node i for r. An endpoint with more than bound requests in flight gets rankLoaded.
func (s *Selector) rank(now time.Time, idx *modelIndex, i int, r *Completion, bound float64) int {
	state := idx.nodes[i].state
	l := &state.load
	switch {
	case !state.hasRecentLoad(now):
		return rankUnknown
	case l.Cold && l.FreeSlots <= state.startedSinceLoad:
		return rankCold
	case float64(state.inFlight()) > bound, l.FreeTokens < r.Tokens(), l.FreeSlots <= state.startedSinceLoad, l.longPrefillTime() > maxLongPrefillTime:
		return rankLoaded
	}
	if _, ok := state.prefixes[r.Prefix]; ok {
		return rankCached
	}
	return rankAvailable
}

// longPrefillTime returns how long the pending prefill of long prompts will take.
func (l *Load) longPrefillTime() time.Duration {
	if l.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(l.LongPrefillBacklog) / l.PrefillRate * float64(time.Second))
}

// leastOutstanding returns the endpoints with the fewest outstanding requests of this VM. Ties are broken in round-robin
// order.
func (s *Selector) leastOutstanding(idx *modelIndex) []int {
	selected := make([]int, 0, s.maxCandidates+1)
	for k := range idx.nodes {
		i := (s.rotation + k) % len(idx.nodes)
		pos := len(selected)
		for pos > 0 && idx.nodes[selected[pos-1]].state.outstanding > idx.nodes[i].state.outstanding {
			pos--
		}
		if pos < s.maxCandidates {
			selected = slices.Insert(selected, pos, i)
			selected = selected[:min(len(selected), s.maxCandidates)]
		}
	}
	return selected
}

// ObserveLoad records an endpoint's load. If the instance changed, its prefix index is cleared, because a restarted engine
// has an empty prefix cache.
func (s *Selector) ObserveLoad(now time.Time, endpoint string, l Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(endpoint)
	if state.load.Instance != 0 && state.load.Instance != l.Instance {
		state.prefixes, state.nextEvent = nil, 0
	}
	state.load, state.loadAt, state.startedSinceLoad = l, now, 0
}

// ObserveCacheEvents applies cache events to the endpoint's prefix index. Events that were already applied are skipped. After a
// gap in the sequence numbers, the index may be wrong, so it is cleared before the next event is applied. A full index is
// cleared as well.
func (s *Selector) ObserveCacheEvents(endpoint string, events []CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(endpoint)
	for _, e := range events {
		if e.Sequence < state.nextEvent {
			continue
		}
		if e.Sequence != state.nextEvent && state.nextEvent != 0 || len(state.prefixes) >= maxPrefixes {
			state.prefixes = nil
		}
		state.nextEvent = e.Sequence + 1
		if !e.Stored {
			delete(state.prefixes, e.Prefix)
			continue
		}
		if state.prefixes == nil {
			state.prefixes = make(map[uint64]struct{})
		}
		state.prefixes[e.Prefix] = struct{}{}
	}
}

// NextCacheEvent returns the sequence number of the next cache event to fetch from the endpoint.
func (s *Selector) NextCacheEvent(endpoint string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(endpoint).nextEvent
}

// HasPrefix reports whether the prefix index lists the prefix for the endpoint.
func (s *Selector) HasPrefix(endpoint string, prefix uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.state(endpoint).prefixes[prefix]
	return ok
}

// RequestStarted counts a request that this VM starts on the endpoint.
func (s *Selector) RequestStarted(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(endpoint)
	state.startedSinceLoad++
	state.outstanding++
}

// RequestEnded counts the end of a request that RequestStarted counted.
func (s *Selector) RequestEnded(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.state(endpoint); state.outstanding > 0 {
		state.outstanding--
	}
}

// RetainEndpoints drops the state of all endpoints that are not in specs.
func (s *Selector) RetainEndpoints(specs []Spec) {
	names := make(map[string]bool, len(specs))
	for _, spec := range specs {
		names[spec.Name] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.modelIndexes)
	maps.DeleteFunc(s.states, func(name string, _ *endpointState) bool { return !names[name] })
}
