// Package caller serves the callers' HTTP API.
//
// The API is OpenAI-compatible for models (/v1/completions, /v1/chat/completions, /v1/models) and passes calls below
// /services/{name}/ to plain services byte for byte. An API key selects the customer. Every answer carries a request ID;
// every failure carries a verdict, a reason and, where waiting helps, Retry-After.
package caller
