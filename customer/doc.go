// Package customer implements customer contracts, their enforcement, and the refusals that callers receive.
//
// Operators write one [Contract] per customer. All limits that apply to the customer are derived from it by
// [Contract.Limits]. A request that cannot be served is refused with a [Refusal], whose [Verdict] says whether the request
// may have run. The package imports no other package of this module, so that every layer can use its types.
//
// A [Limiter] enforces contracts on one VM, using the [Lease] of each contract that is leased to the VM. Leases expire, and
// nothing of an expired lease can be used, so all VMs together stay within the contract as long as the leased parts do. A
// [RetryBudget] limits retries in proportion to successful requests. An [Estimator] estimates the number of tokens in a
// prompt from the usage that engines report.
package customer
