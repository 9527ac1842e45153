package operator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/endpoint"
)

// RouteKind states how often a request may run and whether its response is a stream of events.
type RouteKind uint8

// Kinds of routes.
const (
	Idempotent      RouteKind = iota + 1 // a request may run more than once
	AtMostOnce                           // a request runs at most once per attempt of the caller
	Stream                               // the response is a stream of events; a request runs at most once
	ResumableStream                      // like Stream, but another endpoint can resume the stream after the last delivered event
)

// Repeatable reports whether a request may run more than once.
func (k RouteKind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streams reports whether the response is a stream of events.
func (k RouteKind) Streams() bool { return k == Stream || k == ResumableStream }

// WeightedService is a service of a route with the weight that determines its share of the route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one rule of the routing table. It must not be changed after it is passed to NewRoutingTable.
type Route struct {
	Name        string
	Host        string
	Prefix      string // path prefix; begins and ends with a slash
	Kind        RouteKind
	Timeout     time.Duration // time limit for the whole response, 0 for none
	TTFTTarget  time.Duration // target for the time to the response or, for a stream, to its first event
	GapLimit    time.Duration // longest acceptable gap between events of a stream
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // maximum number of endpoints to which one request is sent
	Public      bool          // requests need no API key
	Services    []WeightedService
}

// SelectService selects a service of the route by weight; random is a random number in [0, 1).
func (r *Route) SelectService(random float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Services {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// CallerLimits are the limits on connections and requests of callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // for receiving the whole header of a request
	IdleTimeout   time.Duration // maximum time between two requests on a connection
}

// Customer is a team with its API keys.
type Customer struct {
	Name        string
	Priority    int // overrides the priority of the route if HasPriority is set
	APIKeys     []string
	HasPriority bool
}

// RoutingSpec is the content of a routing configuration.
type RoutingSpec struct {
	Version     int64
	Routes      []Route
	Services    []endpoint.Service
	Limits      CallerLimits
	Customers   []Customer
	RequiresKey bool     // whether the configuration has a list of customers
	Warnings    []string // descriptions of invalid values that are not used
	// LimitedPriorities names the routes and teams whose priorities were limited to the range from 0 to endpoint.LowestPriority, with
	// the values that the configuration gives.
	LimitedPriorities []string
}

// RoutingTable is the routing table of one version of the operators' configuration. It is immutable; a new version replaces it
// as a whole.
type RoutingTable struct {
	spec           RoutingSpec
	routesByHost   map[string][]*Route  // keys in lower case; longest prefix first
	customersByKey map[string]*Customer // by API key
	services       map[string]*endpoint.Service
}

// NewRoutingTable validates a configuration and builds its indexes. The gap limit of a service is the smallest GapLimit of the
// routes that name it.
func NewRoutingTable(spec RoutingSpec) (*RoutingTable, error) {
	t := &RoutingTable{spec: spec, routesByHost: map[string][]*Route{}, customersByKey: map[string]*Customer{}, services: map[string]*endpoint.Service{}}
	spec.Services = slices.Clone(spec.Services) // the gap limits below must not change the caller's slice
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		switch {
		case len(r.Services) == 0:
			return nil, errors.Errorf("route %q names no service", r.Name)
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return nil, errors.Errorf("route %q: the path prefix %q does not begin and end with a slash", r.Name, r.Prefix)
		}
		for _, weighted := range r.Services {
			if s := t.services[weighted.Service]; s != nil && r.GapLimit > 0 && (s.GapLimit == 0 || r.GapLimit < s.GapLimit) {
				s.GapLimit = r.GapLimit
			}
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	t.setPriorities()
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range spec.Customers {
		c := &spec.Customers[i]
		for _, key := range c.APIKeys {
			t.customersByKey[key] = c
		}
	}
	return t, nil
}

// setPriorities derives the attributes of the services that follow from the priorities of the routes to them. Only routes with streamed
// answers use the engines of a service.
func (t *RoutingTable) setPriorities() {
	type span struct {
		first, last *Route
		gap         time.Duration // smallest gap limit of the most urgent routes
	}
	spans := map[string]span{}
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		for _, weighted := range r.Services {
			if s := t.services[weighted.Service]; s == nil || s.Engine != nil && !r.Kind.Streams() {
				continue
			}
			sp, known := spans[weighted.Service]
			if !known || r.Priority < sp.first.Priority {
				sp.gap = 0 // the limits of less urgent routes do not count
			}
			if (!known || r.Priority <= sp.first.Priority) && r.GapLimit > 0 && (sp.gap == 0 || r.GapLimit < sp.gap) {
				sp.gap = r.GapLimit
			}
			if !known || r.Priority < sp.first.Priority || r.Priority == sp.first.Priority && r.TTFTTarget < sp.first.TTFTTarget {
				sp.first = r
			}
			if !known || r.Priority > sp.last.Priority {
				sp.last = r
			}
			spans[weighted.Service] = sp
		}
	}
	for name, sp := range spans {
		s := t.services[name]
		s.Prioritised = sp.first.Priority != sp.last.Priority
		s.UrgentTarget, s.UrgentGap = sp.first.TTFTTarget, sp.gap
		s.MostUrgent, s.LeastUrgent = priorityOf(sp.first.Priority), priorityOf(sp.last.Priority)
	}
}

// PrioritisedServices returns the names of the services to which routes of different priorities lead, sorted.
func (t *RoutingTable) PrioritisedServices() []string {
	var names []string
	for name, s := range t.services {
		if s.Prioritised {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// priorityOf limits a priority to the valid range.
func priorityOf(p int) uint8 { return uint8(min(max(p, 0), endpoint.LowestPriority)) }

// Rank returns the urgency of a request of the customer, nil for none, on the route. The priority of the customer goes before that of
// the route.
func (t *RoutingTable) Rank(r *Route, c *Customer) endpoint.Rank {
	rank := endpoint.Rank{Team: priorityOf(r.Priority), Route: priorityOf(r.Priority)}
	if c != nil && c.HasPriority {
		rank.Team = priorityOf(c.Priority)
	}
	return rank
}

// Version returns the version of the configuration. Each change increases it.
func (t *RoutingTable) Version() int64 { return t.spec.Version }

// Limits returns the limits on connections and requests of callers.
func (t *RoutingTable) Limits() CallerLimits { return t.spec.Limits }

// Services returns the services by name.
func (t *RoutingTable) Services() map[string]*endpoint.Service { return t.services }

// RouteCount returns the number of routes.
func (t *RoutingTable) RouteCount() int { return len(t.spec.Routes) }

// RequiresKey reports whether requests on routes that are not public need an API key.
func (t *RoutingTable) RequiresKey() bool { return t.spec.RequiresKey }

// FindRoute returns the route of the host with the longest prefix that matches the path, or nil if there is none.
func (t *RoutingTable) FindRoute(host, path string) *Route {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// FindCustomer returns the customer with the given API key, or nil if the key is unknown.
func (t *RoutingTable) FindCustomer(key string) *Customer { return t.customersByKey[key] }

// CustomerNamed returns the customer with that name, or nil if there is none.
func (t *RoutingTable) CustomerNamed(name string) *Customer {
	i := slices.IndexFunc(t.spec.Customers, func(c Customer) bool { return c.Name == name })
	if i < 0 {
		return nil
	}
	return &t.spec.Customers[i]
}
