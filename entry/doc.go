// Package entry implements the protocols between the entry VMs.
//
// Each VM has a name that is fixed in its data centre, such as jm-a/1, and an incarnation number. [Node] tracks the members
// of the data centre by heartbeats with indirect probes, grants and holds leases on shares of endpoints, hosts the ledgers of
// the endpoints that it owns, requests grants from other owners and forwards requests to other data centres. One goroutine
// owns all control state; other goroutines access it by passing closures to it. The view of the membership may be wrong
// temporarily, but leases stay exclusive: each share is leased to at most one lessee at a time.
//
// # Share leases
//
// An endpoint's capacity is split into three shares. Each share has a lessor, one of the first three VM names in rendezvous
// order, which leases it to one owner at a time. [Lessor], [Lessee] and [Timers] implement the rules and document why they
// are safe; customers' limits are leased with the same types. After a start, a lessor grants no lease for one lease period, and
// an owner leaves a new share unused for 3 s more, so a restarted site serves after about 7 s. There are two exceptions. With
// [WithFirstStart], the caller asserts that no process ran under the VM name before, and shares that were never leased are
// used at once. The only VM of a data centre waits only for the report lag, because every earlier lessee was one of its own
// predecessors.
//
// # Failed VMs
//
// The shares of a failed lessor stay unused until a VM with its name grants leases again. Meanwhile:
//
//   - One of three VMs failed: two of the three shares of each endpoint remain. Indivisible work, which needs a majority of
//     the shares, continues.
//   - Two of three VMs failed: one share remains. Indivisible work stops.
//   - One of two VMs failed: two shares remain of the endpoints whose first VM is running, and one share of the others.
//     Indivisible work stops on the latter.
//   - More than three VMs: an endpoint loses a share only if one of its three lessors fails.
//
// An endpoint whose owner fails is served again after the suspicion timeout, the rest of the lease and the wait for new
// shares: 6.75 to 7.75 s in five runs with three VMs. An endpoint that is handed over is served again after the wait for new
// shares, 3.25 s with three VMs.
//
// A replacement VM grants leases one lease period after its start. It must not grant any while its predecessor may still be
// running; see [WithMayLease].
package entry
