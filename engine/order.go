package engine

// OrderKind names what an order changes.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderSetVersion  OrderKind = "setVersion"
	OrderSetRole     OrderKind = "setRole"
)

// Order is a control command to an engine.
type Order struct {
	Kind    OrderKind
	Model   string
	Version string
	Adapter string
	Role    string
	Fence   uint64 // fencing token from the platform's log
}
