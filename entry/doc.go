// Package entry implements the protocols between the entry VMs.
//
// Each VM has a name that is fixed in its data centre, such as jm-a/1, and an incarnation number. [Node] tracks the members
// of the data centre by heartbeats with indirect probes, grants and holds leases on shares of endpoints, keeps the ledgers of
// the endpoints that it owns, requests grants from other owners and forwards requests to other data centres. One goroutine
// owns all control state; other goroutines access it by passing closures to it. A VM's view of the membership can be wrong
// for a time, but leases stay exclusive: each share is leased to at most one lessee at a time.
//
// # Share leases
//
// An endpoint's capacity is split into three shares. Each share has a lessor, one of the first three VM names in rendezvous
// order, which leases it to one owner at a time. [Lessor], [Lessee] and [Timers] implement the rules and document why they
// are safe; customers' limits are leased with the same types. After a start, a lessor grants no lease for one lease period, and
// an owner leaves a new share unused for 3 s more, so a restarted data centre serves after about 7 s. There are two exceptions.
// With [WithFirstStart], the caller asserts that no process ran under the VM name before, and shares that were never leased are
// used at once. The only VM of a data centre waits only for the report lag, because every earlier lessee was a process with its
// own VM name.
//
// # Failed VMs
//
// The shares of a failed lessor stay unused until a VM with its name grants leases again, or until a record in the log
// releases the lessor and another VM leases out its shares; see [Node.SetReleased]. Meanwhile:
//
//   - One of three VMs failed: two of the three shares of each endpoint remain. Work that needs a majority of the shares, such
//     as a prompt that takes more than half of an endpoint's memory, continues.
//   - Two of three VMs failed: one share remains. Work that needs a majority stops.
//   - One of two VMs failed: two shares remain of the endpoints for which the running VM is first in rendezvous order, and one
//     share of the others. Work that needs a majority stops on the latter.
//   - More than three VMs: an endpoint loses a share only if one of its three lessors fails.
//
// If an endpoint's owner fails, the endpoint is served again after the suspicion timeout, the rest of the lease and the wait
// for new shares: 6.75 to 7.75 s in five runs with three VMs. If an owner hands an endpoint over, the endpoint is served again
// after the wait for new shares: 3.25 s with three VMs.
//
// A replacement VM grants leases one lease period after its start. It must not grant any while its predecessor may still be
// running; see [WithMayLease].
package entry
