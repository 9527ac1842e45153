// Package soak runs gateways as separate processes on loopback addresses, injects random faults from outside and checks what
// clients and endpoints observe.
//
// The seed determines the faults, their order and the behaviour of endpoints. Faults follow one another and overlap. Signals stop,
// kill, pause and restart the processes. Proxies in this process delay, reset, fragment and discard the traffic to endpoints and to
// the store. VMs that run from goldlab also lose their paths to all endpoints: connections hang, are reset, or live on while new ones are
// refused. The store refuses requests, does not answer or loses its answers, and the configuration changes in the meantime.
// Clients use their open connections until the process at the other end exits.
package soak
