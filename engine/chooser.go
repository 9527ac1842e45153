package engine

import "time"

// Policy selects how a Chooser orders endpoints.
type Policy uint8

// Policies.
const (
	PolicyAffinity         Policy = iota // prefix rendezvous bounded by load; long prompts on few endpoints
	PolicyRoundRobin                     // baseline: endpoints in turn
	PolicyLeastOutstanding               // baseline: fewest requests of this VM
)

// maxCandidates bounds how many endpoints are tried for a request.
const maxCandidates = 3

// Chooser orders the endpoints for a request. It is safe for concurrent use.
type Chooser struct {
	policy Policy
}

// ChooserOption sets an optional property of a Chooser.
type ChooserOption func(*Chooser)

// NewChooser returns a chooser without knowledge of loads.
func NewChooser(policy Policy, opts ...ChooserOption) *Chooser {
	c := &Chooser{policy: policy}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Candidates returns the endpoints to try, best first.
func (c *Chooser) Candidates(now time.Time, r *Completion, specs []Spec) []Spec {
	var out []Spec
	for _, s := range specs {
		if s.Model == r.Model && len(out) < maxCandidates {
			out = append(out, s)
		}
	}
	return out
}

// ObserveLoad records an endpoint's load.
func (c *Chooser) ObserveLoad(now time.Time, endpoint string, l Load) {}

// ObserveEvents applies cache events to the endpoint's prefix index.
func (c *Chooser) ObserveEvents(endpoint string, events []CacheEvent) {}

// Began counts a request of this VM.
func (c *Chooser) Began(endpoint string) {}

// Ended counts the end of a request of this VM.
func (c *Chooser) Ended(endpoint string) {}
