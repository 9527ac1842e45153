// Package endpoint decides which endpoint of a service gets a request.
//
// [Fleet] is one VM's view of all endpoints: what the platform says of them, what this VM and its peers run on them, and the
// evidence of earlier requests. A model engine reads prompts and writes answers in passes. All that waits to be read enters
// the next pass, and every stream of the engine pauses for the length of that pass. [Fleet.PlaceGeneration] therefore keeps
// the reads that meet in one pass short: it prefers engines with the least unread work and divides a long prompt among
// several engines. [Fleet.PlaceCall] selects an endpoint of a plain service.
//
// Loads travel between VMs as the complete load that one VM has on one endpoint ([Load]), so that a lost message is repaired
// by the next one. A VM without news from its peers goes on with its own view.
//
// Nothing in this package performs I/O. Callers pass the current time.
package endpoint
