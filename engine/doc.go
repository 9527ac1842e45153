// Package engine speaks to model engines and decides how much work each one gets.
//
// The model: an engine has KV-cache memory counted in tokens, a number of sequences that it decodes together, and a prefill
// rate. The owner of an engine keeps its [Ledger] and admits a [Demand] with a [Grant] before anything is sent. The VM that
// holds the grant sends the [Completion] with a [Client] and receives [Chunk] values. Decisions are pure functions over the
// ledger's state, the time and the demand; only Client and Orderer do I/O.
//
// The ledger reserves a request's prompt and answer limit. Own grants and the work that the engine reports from others stay
// within the shares that are lent to the owner. An engine that is cold, or of which nothing is known, gets a small number of
// sequences that grows with completed work and falls back at the first failure. Demands that find no room wait in a bounded
// queue, or are refused when they are predicted to start too late. Long prompts leave memory, sequences and prefill time to
// short ones.
//
// A [Chooser] on each VM orders the engines for a request. It works on loads that arrive late, so its choice is only a
// preference; the ledger decides. [PlanGroup] splits a prompt that no single engine can hold. An [Orderer] sends control
// commands with fencing tokens, at the pace of the weight store.
package engine
