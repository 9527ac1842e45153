package engine

// OrderKind is the kind of change that an order makes.
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
	Fence   uint64 // fencing token from the platform's log; engines that check it refuse an order with a lower token than before
}
