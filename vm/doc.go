// Package vm assembles one entry VM from the packages that communicate with its peers, engines and services,
// and implements the path of a request through it: admission, endpoint selection, retries and forwarding to
// other data centres.
package vm
