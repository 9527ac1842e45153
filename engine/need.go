package engine

import (
	"slices"
	"strings"
)

// Needs returns the orders that bring an endpoint from what it reports to its configuration. The load of another model comes
// alone, because it changes the version and the adapters too.
func Needs(s Spec, r Report) []Order {
	if r.Model != s.Model {
		return []Order{{Kind: OrderLoadModel, Model: s.Model, Version: s.Version}}
	}
	var orders []Order
	if s.Version != "" && r.Version != s.Version {
		orders = append(orders, Order{Kind: OrderSetVersion, Model: s.Model, Version: s.Version})
	}
	for _, a := range s.AdapterNames() {
		if !slices.Contains(r.Adapters, a) {
			orders = append(orders, Order{Kind: OrderLoadAdapter, Model: s.Model, Adapter: a})
		}
	}
	if s.Role != "" && r.Role != s.Role {
		orders = append(orders, Order{Kind: OrderSetRole, Role: s.Role})
	}
	return orders
}

// AdapterNames returns the adapters to load.
func (s Spec) AdapterNames() []string {
	if s.Adapters == "" {
		return nil
	}
	return strings.Split(s.Adapters, ",")
}

// Downloads says whether an order makes the endpoint download the weights of a model.
func (o Order) Downloads() bool { return o.Kind == OrderLoadModel || o.Kind == OrderSetVersion }
