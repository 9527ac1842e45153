// Package customer implements customer contracts, their enforcement, and the refusals that callers receive.
//
// Operators write one [Contract] per customer. All limits that apply to the customer are derived from it by
// [Contract.Limits]. A request that cannot be served is refused with a [Refusal], whose [Verdict] says whether the request
// may have run. The package imports no other package of this module, so that every layer can use its types.
//
// A [Limiter] enforces contracts on one VM. For each contract it uses the [Lease] that the VM has been given, which is a share
// of the contract's limits. Leases expire, and a VM can use nothing of an expired lease. All VMs together therefore stay
// within a contract as long as the leases in effect do. A [RetryBudget] limits retries in proportion to successful requests.
// An [Estimator] estimates the number of tokens in a prompt, and improves its estimate with the usage that engines report.
package customer
