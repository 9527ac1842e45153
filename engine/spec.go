package engine

// Spec is an endpoint's configuration.
type Spec struct {
	Name          string  // unique endpoint name
	DataCentre    string  // data centre that holds the endpoint
	Address       string  // IP address and port
	Model         string  // model that the endpoint serves
	KVTokens      int     // KV-cache memory in tokens
	Sequences     int     // sequences decoded together at most
	PrefillRate   float64 // prefill tokens a second when warm
	DecodeRate    float64 // generated tokens a second for one sequence when warm
	ColdSequences int     // sequences that the endpoint bears when cold
	ChecksFence   bool    // refuses orders with an old fencing number
	Group         string  // group of engines that can hold one prompt together, or ""
	Version       string  // version of the model, or "" for any
	Adapters      string  // adapters to load, separated by commas; a string keeps Spec comparable
	Role          string  // role, or "" for any
	WeightBytes   int     // size of the model's weights, for the weight store
}
