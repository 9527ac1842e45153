// Package entry speaks to the other entry VMs.
//
// Each VM has a place in its data centre, such as jm-a/1, and an incarnation number. [Node] keeps the members by heartbeats with
// indirect probes, lends and borrows shares of endpoints, hosts the ledgers of the endpoints that it owns, asks other owners
// for grants and forwards requests to other data centres. One goroutine holds all control state; other goroutines reach it by
// closures. Membership may be wrong for a while; a loan never is: each share is lent to one borrower at a time.
package entry
