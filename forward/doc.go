// Package forward sends callers' requests to endpoints over HTTP/1.1 and returns the answers.
//
// A [Handler] finds the route and the customer of a request, selects an endpoint, sends the request and delivers either the
// complete answer or a failure. Every attempt has a verdict. A request that certainly did not run may be sent to another
// endpoint; one that may have run is sent again only if its route allows repetition. If a resumable stream breaks off, another
// endpoint continues it after the last delivered event, within the same answer.
//
// A [Codec] defines how requests and answers are represented in HTTP headers.
package forward
