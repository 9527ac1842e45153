package engine

import (
	"slices"
	"strings"
)

// RequiredOrders returns the orders that bring an endpoint from its reported state to its configured state. If the endpoint has
// to load another model, that is the only order, because loading also changes the version and the adapters.
func RequiredOrders(s Spec, r Report) []Order {
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

// AdapterNames returns the names of the adapters that the endpoint should have loaded.
func (s Spec) AdapterNames() []string {
	if s.Adapters == "" {
		return nil
	}
	return strings.Split(s.Adapters, ",")
}

// Downloads reports whether the order makes the endpoint download model weights.
func (o Order) Downloads() bool { return o.Kind == OrderLoadModel || o.Kind == OrderSetVersion }
