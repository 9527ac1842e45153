// Package soak runs gateways as separate processes on loopback, injects random faults from outside and checks what callers
// and endpoints see.
//
// A seed decides faults, their order and the behaviour of endpoints. Faults come in series and overlap: processes are
// stopped, killed, paused and restarted by signals, connections to endpoints and to the store are delayed, reset, cut and
// silenced by a proxy in this process, the store refuses, is silent or forgets its answers, and the configuration changes
// meanwhile. Clients keep using open connections until a process is gone.
package soak
