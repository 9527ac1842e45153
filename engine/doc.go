// Package engine implements admission control, endpoint selection and the client protocol for model engines.
//
// An engine is modelled by its KV cache memory, counted in tokens, the number of sequences that it decodes concurrently (its
// batch slots), and its prefill rate. Each engine has one VM as its owner, which keeps the engine's [Ledger]. Before a VM sends
// a [Completion] to the engine, it sends a [GrantRequest] to the owner. With the [Grant] that it receives, it sends the
// completion with a [Client] and receives the answer as [Chunk] values. Decisions depend only on the ledger's state, the time
// and the request; only [Client] and [OrderDispatcher] do I/O.
//
// The ledger reserves memory for the whole prompt and the maximum length of the answer. The owner's grants, together with the
// other streams that the engine reports, stay within the shares of the engine that are leased to the owner. An engine that is
// cold or in an unknown state starts with a small number of concurrent sequences. The number grows with completed requests and
// returns to its initial value at the first failure. Grant requests for which there is no capacity wait in a bounded queue, or
// are refused if they are predicted to start too late. Long prompts leave some memory, batch slots and prefill time to short
// ones.
//
// A [Selector] on each VM ranks the engines for a request. It uses loads that arrive with a delay, so its ranking is only a
// preference; the ledger decides. [PlanGroup] splits the memory for a prompt that is too large for a single engine over
// the members of a group of engines. An [OrderDispatcher] sends orders with fencing tokens to engines, and delays orders that
// download model weights according to the weight store.
package engine
