package engine

import "time"

// Report is an endpoint's load report. It describes the endpoint as it was Age before the report was fetched.
type Report struct {
	Instance       uint64        // changes with each start of the engine
	Sequence       uint64        // counts up within an instance
	Age            time.Duration // at most MaxReportAge
	Model          string
	Version        string
	Adapters       []string
	Role           string
	Cold           bool
	KVTokens       int // KV-cache memory in tokens
	KVUsed         int // memory reserved by streams and reservations
	Sequences      int // sequences decoded together at most
	Running        int
	Waiting        int
	PrefillBacklog int // in tokens
	Streams        []StreamReport
}

// StreamReport is one stream or reservation in a Report.
type StreamReport struct {
	ID     string // the grant's ID
	Holder string // place of the VM that started it
	Tokens int    // reserved memory

	Reservation bool // memory for a stream on another engine of the group
}

// MaxReportAge is the longest lag of a report behind the endpoint's state.
const MaxReportAge = time.Second

// Load summarises a ledger for endpoint selection on other VMs.
type Load struct {
	Instance       uint64  // instance number of the last report
	Capacity       int     // usable KV-cache memory in tokens
	FreeTokens     int     // part of Capacity that is not reserved
	FreeSequences  int     // sequences that can be granted now
	Running        int     // grants and foreign streams
	Queue          int     // queued demands
	QueuedTokens   int     // prompt tokens of queued demands
	PrefillBacklog int     // prompt tokens not yet prefilled
	LongPrompts    int     // granted or queued prompts of class Long or VeryLong
	LongBacklog    int     // part of PrefillBacklog that belongs to them
	PrefillRate    float64 // tokens a second
	Cold           bool
	Allowance      int // sequences that the cold-start allowance admits
}

// Result tells the ledger how granted work ended.
type Result struct {
	Usage      Usage
	FirstToken time.Duration // from the send to the first chunk, or 0 where none came
	Failed     bool          // the endpoint failed; a cancellation by the caller is no failure
}
