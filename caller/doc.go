// Package caller serves the HTTP API for callers.
//
// The API is OpenAI-compatible for models (/v1/completions, /v1/chat/completions, /v1/models). Requests below
// /services/{name}/ are passed to plain services byte for byte, except for the hop-by-hop header fields and the
// Authorization field, whose API key a plain service must not learn. The API key determines the customer. Every
// response carries a request ID; every failure also carries a verdict, a reason and, where waiting helps,
// Retry-After.
//
// A [Server] reads a request within its size and time limits, builds an engine.Completion or a service.Request from
// the request and the customer's contract, and passes it to a [Router]. The context of the request ends at its
// deadline, when the caller closes its connection, and when the VM stops; its cause is then a *customer.Refusal. The
// chunks of an answer go through one answerSink, which passes each byte on once and in order. The package guarantees
// the following:
//   - No answer is delivered as complete without its end mark. A stream that fails ends with an error event and
//     without [DONE].
//   - A request that is refused before its first text gets the HTTP status of the refusal, whether it is streamed or
//     not.
//   - The memory for all request bodies together, parsing included, stays within one limit. A customer that already
//     has a request running cannot use it up with further requests.
//   - A caller that stops reading is disconnected after the write timeout, and its request is cancelled.
package caller
