// Package entry speaks to the other entry VMs.
//
// Each VM has a place in its data centre, such as jm-a/1, and an incarnation number. [Node] keeps the members by heartbeats with
// indirect probes, lends and borrows shares of endpoints, hosts the ledgers of the endpoints that it owns, asks other owners
// for grants and forwards requests to other data centres. One goroutine holds all control state; other goroutines reach it by
// closures. Membership may be wrong for a while; a loan never is: each share is lent to one borrower at a time.
//
// # Share leases
//
// An endpoint's capacity is split into three shares. Each has a guardian, one of the first three places by rendezvous hash,
// which lends it to one owner at a time. [Lender], [Borrower] and [Timers] hold the rules and why they are safe; a customer's
// limits are leased by the same types. After a start, a guardian lends nothing for one lease, and an owner leaves a new share
// unused for 3 s more, so a restarted site serves after about 7 s. There are two exceptions. With [WithFirstStart], the
// assembly vouches that no process ran at the place before, and shares that were never lent are used at once. The only VM of
// a data centre waits just for the report lag, because every earlier borrower was its own predecessor.
//
// # Lost VMs
//
// The share of a lost guardian stays unused until a VM at its place lends again. What remains meanwhile:
//
//   - One of three VMs lost: two of three shares for each endpoint. Indivisible work, which needs a majority, goes on.
//   - Two of three lost: one share. Indivisible work stops.
//   - One of two lost: two shares of the endpoints whose first place remains, one share of the others. For the latter
//     indivisible work stops.
//   - More than three VMs: an endpoint loses a share only if one of its three guardians is lost.
//
// An endpoint whose owner is lost is served again after the suspicion timeout, the rest of the lease and the wait for new shares:
// 6.75 to 7.75 s in five runs with three VMs. One that is handed over is served again after the wait, 3.25 s with three VMs.
//
// A replacement VM lends one lease after its start. It must not start to lend while its predecessor may still run; see
// [WithMayLend].
package entry
