// Package caller serves the callers' HTTP API.
//
// The API is OpenAI-compatible for models (/v1/completions, /v1/chat/completions, /v1/models) and passes calls below
// /services/{name}/ to plain services byte for byte, but for the Authorization header: it has the API key, which a plain
// service does not get. An API key selects the customer. Every answer carries a request ID;
// every failure carries a verdict, a reason and, where waiting helps, Retry-After.
//
// A [Server] reads a request within its bounds, builds an engine.Completion or a service.Request from it and the contract,
// and passes it to a [Router]. The context of the request ends at its deadline, when the caller closes its connection, and
// when the VM stops; its cause is a *customer.Refusal. The chunks of an answer go through one delivery, which passes each byte
// on once and in order. What follows is kept:
//   - No answer is delivered as whole without its end mark. A stream that fails ends with an error event and without [DONE].
//   - A request that is refused before its first text gets the HTTP status of the refusal, streamed or not.
//   - The memory of all request bodies together, parsing included, stays within one bound, and no customer's requests take all
//     of it.
//   - A caller that reads nothing is cut off after the write timeout, and its request is cancelled.
package caller
