// Package endpoint selects the endpoint that serves a request.
//
// [Fleet] is one VM's view of all endpoints: their entries from the platform's discovery, the requests that this VM and its peers
// run on them, and the outcomes of earlier requests. A model engine prefills prompts and decodes answers in steps. All pending
// prefills enter the next step, and every stream of the engine pauses for the duration of that step. [Fleet.SelectForGeneration]
// therefore keeps the prefills that share a step short: it prefers engines with the least pending prefill and divides a long
// prompt into segments for several engines. [Fleet.SelectForCall] selects an endpoint of a plain service.
//
// VMs send each other the complete load that they have on an endpoint ([Load]), so that a later message makes up for a lost one.
// A VM that receives no updates from its peers selects endpoints by its own requests alone.
//
// Nothing in this package performs I/O. Callers pass the current time.
package endpoint
