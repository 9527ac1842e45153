package operator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/endpoint"
)

// RouteKind says what may be repeated.
type RouteKind uint8

// Kinds of routes.
const (
	Idempotent      RouteKind = iota + 1 // may run more than once
	AtMostOnce                           // runs at most once for each attempt of the caller
	Stream                               // events, at most once
	ResumableStream                      // events that another endpoint can continue after the last delivered one
)

// Repeatable says whether a request may run more than once.
func (k RouteKind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streams says whether the answer is a series of events.
func (k RouteKind) Streams() bool { return k == Stream || k == ResumableStream }

// Split is one service of a route and its share of the route's requests.
type Split struct {
	Service string
	Weight  float64
}

// Route is one rule of the routing table. A Table makes it immutable.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     RouteKind
	Timeout  time.Duration // longest time to the end of the answer, 0 for none
	Aim      time.Duration // time to the answer or its first event within which it is worth most
	Pause    time.Duration // longest pause between events of an answer that is in time
	Priority int           // 0 is the most urgent
	Attempts int           // endpoints to which one request may be sent
	Public   bool          // needs no API key
	Splits   []Split
}

// Pick selects a service of the route; random is in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := random * total
	for _, s := range r.Splits {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // to the end of a request's header
	IdleTimeout   time.Duration // of a connection between requests
}

// Customer is the holder of an API key.
type Customer struct {
	Name        string
	Priority    int // takes precedence over the route's where HasPriority is set
	Keys        []string
	HasPriority bool
}

// RoutingSpec is the content of a routing table.
type RoutingSpec struct {
	Version   int64
	Routes    []Route
	Services  []endpoint.Service
	Limits    CallerLimits
	Customers []Customer
	NeedsKey  bool // whether the configuration names customers at all
}

// Table is one version of the operators' routing configuration. It is immutable and swapped whole.
type Table struct {
	spec   RoutingSpec
	hosts  map[string][]*Route // longest prefix first
	keys   map[string]*Customer
	byName map[string]*endpoint.Service
}

// NewTable checks a configuration and indexes it.
func NewTable(spec RoutingSpec) (*Table, error) {
	t := &Table{spec: spec, hosts: map[string][]*Route{}, keys: map[string]*Customer{}, byName: map[string]*endpoint.Service{}}
	spec.Services = slices.Clone(spec.Services) // the table adds to them
	for i := range spec.Services {
		t.byName[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		switch {
		case len(r.Splits) == 0:
			return nil, errors.Errorf("route %q names no service", r.Name)
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return nil, errors.Errorf("route %q: the path prefix %q does not begin and end with a slash", r.Name, r.Prefix)
		}
		for _, split := range r.Splits {
			if s := t.byName[split.Service]; s != nil && r.Pause > 0 && (s.Pause == 0 || r.Pause < s.Pause) {
				s.Pause = r.Pause
			}
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range spec.Customers {
		c := &spec.Customers[i]
		for _, key := range c.Keys {
			t.keys[key] = c
		}
	}
	return t, nil
}

// Version returns the version of the configuration, which increases with each change.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns what a caller may send.
func (t *Table) Limits() CallerLimits { return t.spec.Limits }

// Services returns the services by name.
func (t *Table) Services() map[string]*endpoint.Service { return t.byName }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.spec.Routes) }

// NeedsKey says whether requests on routes that are not public need an API key.
func (t *Table) NeedsKey() bool { return t.spec.NeedsKey }

// Route returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the holder of the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }
