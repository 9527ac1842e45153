package oplog

import "context"

// Entry is one record of the log.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Batch is the answer to a read.
type Batch struct {
	Entries  []Entry
	Earliest uint64 // oldest offset that the log still keeps
	Next     uint64 // offset that the next append will get
	Identity string // changes when the log was recreated and offsets started again
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds records in order and returns the first one's offset. After an error the records may have been appended.
	Append(ctx context.Context, records [][]byte) (uint64, error)
	// Read returns at most n entries from offset from. With no entry there, it waits a while for one.
	Read(ctx context.Context, from uint64, n int) (Batch, error)
}
