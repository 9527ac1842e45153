package engine

// Spec is an endpoint's configuration.
type Spec struct {
	Name             string  // unique endpoint name
	DataCentre       string  // data centre that the endpoint is in
	Address          string  // IP address and port
	Model            string  // model that the endpoint serves
	KVTokens         int     // KV cache memory in tokens
	MaxSequences     int     // maximum number of sequences decoded concurrently
	PrefillRate      float64 // prefill rate when warm, in tokens per second
	DecodeRate       float64 // decode rate of one sequence when warm, in tokens per second
	MaxColdSequences int     // concurrent sequences that the endpoint can take when cold
	ChecksFence      bool    // whether the endpoint refuses orders with an outdated fencing token
	Group            string  // group of engines that can serve one prompt together, or ""
	Version          string  // version of the model, or "" for any
	Adapters         string  // adapters to load, separated by commas; a string keeps Spec comparable
	Role             string  // role of the engine, or "" for any
	WeightBytes      int     // size of the model's weights, for reservations at the weight store
}
