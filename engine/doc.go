// Package engine implements admission control, endpoint selection and the client protocol for model engines.
//
// An engine is modelled by its KV cache memory, counted in tokens, the number of sequences that it decodes concurrently (its
// batch slots), and its prefill rate. The VM that owns an engine keeps the engine's [Ledger] and answers each [GrantRequest] with
// a [Grant] before anything is sent. The VM that holds the grant sends the [Completion] with a [Client] and receives the
// answer as [Chunk] values. Decisions depend only on the ledger's state, the time and the demand; only Client and Orderer do
// I/O.
//
// The ledger reserves memory for the whole prompt and the maximum length of the answer. The owner's grants, together with the
// work of others that the engine reports, stay within the shares that are leased to the owner. An engine that is cold or in
// an unknown state starts with a small number of concurrent sequences, which grows with completed work and falls back at the
// first failure. Demands for which there is no capacity wait in a bounded queue, or are refused if they are predicted to
// start too late. Long prompts leave some memory, batch slots and prefill time to short ones.
//
// A [Selector] on each VM ranks the engines for a request. It uses loads that arrive with a delay, so its ranking is only a
// preference; the ledger decides. [PlanGroup] splits a prompt that is too large for a single engine over the members of a
// group. An [OrderDispatcher] sends control commands with fencing tokens, and downloads of weights at the rate that the weight store
// permits.
package engine
