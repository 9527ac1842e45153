package engine

import "time"

// Report is an endpoint's load report. It describes the state of the endpoint at the time Age before it was received.
type Report struct {
	Instance       uint64        // changes with each start of the engine
	Sequence       uint64        // increases within an instance
	Age            time.Duration // at most MaxReportAge plus the duration of the call that fetched the report
	Model          string
	Version        string
	Adapters       []string
	Role           string
	Cold           bool
	KVTokens       int // KV cache memory in tokens
	KVUsed         int // tokens of KVTokens in use by streams and reservations
	Sequences      int // maximum number of sequences decoded concurrently
	Running        int // sequences that are running
	Waiting        int // sequences that wait for a batch slot
	PrefillBacklog int // pending prefill in tokens
	Streams        []StreamReport
}

// StreamReport is one stream or reservation in a Report.
type StreamReport struct {
	ID     string // the grant's ID
	Holder string // name of the VM that started it
	Tokens int    // reserved memory in tokens

	Reservation bool // memory reserved for a stream on another engine of the group
}

// MaxReportAge is the maximum age of a report at the time at which the endpoint returns it.
const MaxReportAge = time.Second

// Load summarises a ledger for endpoint selection on other VMs.
type Load struct {
	Instance           uint64  // instance number of the last report
	Capacity           int     // KV cache memory that the owner's shares cover, in tokens
	FreeTokens         int     // tokens of Capacity that are not reserved
	FreeSlots          int     // batch slots that are free for new grants
	Running            int     // batch slots in use by grants, foreign streams and failed streams
	QueuedRequests     int     // number of queued grant requests
	QueuedTokens       int     // prompt tokens of the queued grant requests
	PrefillBacklog     int     // pending prefill in tokens
	LongPrompts        int     // number of granted or queued prompts of class Long or VeryLong
	LongPrefillBacklog int     // tokens of PrefillBacklog that belong to granted prompts of class Long or VeryLong
	PrefillRate        float64 // tokens per second
	Cold               bool
	ColdAllowance      int // concurrent sequences that the cold-start allowance admits
}

// Result describes how the stream of a grant ended.
type Result struct {
	Usage  Usage
	TTFT   time.Duration // time to first token, from the send to the first chunk, or 0 if there was none
	Failed bool          // the endpoint failed; a cancellation by the caller is not a failure
}
