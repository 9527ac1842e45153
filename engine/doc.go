// Package engine speaks to model engines and decides how much work each one gets.
//
// The model: an engine has KV-cache memory counted in tokens, a number of sequences that it decodes together, and a prefill
// rate. The owner of an engine keeps its [Ledger] and admits a [Demand] with a [Grant] before anything is sent. The VM that
// holds the grant sends the [Completion] with a [Client] and receives [Chunk] values. Decisions are pure functions over the
// ledger's state, the time and the demand; only Client does I/O.
package engine
