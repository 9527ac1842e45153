package service

// Spec is one instance of a plain service in the configuration.
type Spec struct {
	Name                  string   // unique endpoint name
	Service               string   // service that the endpoint is an instance of
	DataCentre            string   // data centre that the endpoint is in
	Address               string   // IP address and port
	MaxConcurrent         int      // maximum number of concurrent calls
	IdempotentRules       []string // "METHOD /path/prefix" rules for calls that may be repeated
	HonoursIdempotencyKey bool     // the service itself runs calls with the same Idempotency-Key only once
	BodyLimitBytes        int      // maximum length of a request body in bytes
}
