// Package standin provides small stand-ins for the systems outside this project: model engines, plain services and the platform's
// log, VM list and weight store. They serve tests, demos and experiments. The package also has a load generator with a report
// and a TCP relay that can stop forwarding.
//
// Each stand-in is an HTTP server on a loopback address that speaks the protocol of docs/PROTOCOLS.md. Its methods inject
// faults. The stand-ins count what their clients must not cause: memory overcommits, leaked reservations and bookings that are
// executed twice.
package standin
