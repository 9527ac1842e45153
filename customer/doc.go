// Package customer holds what a customer is promised and what a customer is told.
//
// A contract is written by operators, one for each customer. Every limit that the customer meets is derived from it by
// [Contract.Limits]. A request that cannot be served is refused with a [Refusal], which carries a [Verdict]: whether the
// request may have run. The package imports no other package of this module, so that every layer can use its types.
//
// A [Limiter] enforces contracts on one VM by the [Part] of each contract that is leased to it. Parts expire, and nothing of an
// expired part can be used, so the VMs together stay within the contract as long as the leased parts do. A [RetryBudget]
// bounds retries by successes, and an [Estimator] learns the tokens of a prompt from the usage that engines report.
package customer
