// Package forward carries callers' requests to endpoints over HTTP/1.1 and their answers back.
//
// A [Handler] finds the route and the customer of a request, has an endpoint selected, sends the request and delivers the
// answer whole or says that it failed. Every send has a verdict: a request that certainly did not run may be sent to another
// endpoint, one that may have run only where its route allows repetition. A stream that breaks off goes on at another
// endpoint after the last delivered event, within the same answer.
//
// How requests and answers look on the wire is the matter of a [Codec].
package forward
