package service

// Spec is one instance of a plain service in the configuration.
type Spec struct {
	Name           string   // unique endpoint name
	Service        string   // service that the endpoint is an instance of
	DataCentre     string   // data centre that holds the endpoint
	Address        string   // IP address and port
	Concurrent     int      // calls at a time at most
	Idempotent     []string // "METHOD /path/prefix" rules for calls that may be repeated
	HonoursKey     bool     // the service itself runs a call with the same Idempotency-Key once
	BodyLimitBytes int      // longest request body in bytes
}
