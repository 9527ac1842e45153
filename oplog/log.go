package oplog

import "context"

// Entry is one encoded record and its offset in the log.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	Entries  []Entry
	Earliest uint64 // oldest offset that the log still retains
	Next     uint64 // offset that the next appended record will get
	Identity string // changes when the log is recreated and offsets start again at 0
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends records in order and returns the offset of the first one. After an error that is not an *UnsentError the
	// records may have been appended.
	Append(ctx context.Context, records [][]byte) (uint64, error)
	// Read returns at most n entries, starting with the one at offset from. If there is none yet, it waits a limited time for
	// one and may then return none.
	Read(ctx context.Context, from uint64, n int) (Batch, error)
}
