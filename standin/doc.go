// Package standin holds small stand-ins for the systems outside this project: model engines, plain services and the platform's
// log, VM list and weight store. They exist for tests, demos and experiments.
//
// Each stand-in is an HTTP server on a loopback address that speaks the protocol of docs/PROTOCOLS.md. Its faults are switched
// by methods, and what a caller must not cause (an overcommit, a leak, a booking that runs twice) is counted.
package standin
