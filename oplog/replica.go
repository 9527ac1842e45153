package oplog

import "sync"

// Record is the newest value of a key of a compacted topic.
type Record struct {
	Key    string
	Value  []byte // nil where the key was dropped
	Offset int64
}

// Replica is a copy of the newest records of one compacted topic. It takes records from the log and from other VMs in any
// order: for each key the record with the highest offset wins, so a late or stale source never brings an older value back.
// It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	records map[string]Record
	end     int64 // every record below this offset is applied
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{records: map[string]Record{}} }

// End returns the offset up to which the replica is complete.
func (r *Replica) End() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// Apply takes over records and returns those that changed a key's value. end is the offset up to which records together
// with the present content are complete, or 0 where that is not known.
func (r *Replica) Apply(records []Record, end int64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.applyLocked(records)
	r.end = max(r.end, end)
	return changed
}

func (r *Replica) applyLocked(records []Record) []Record {
	var changed []Record
	for _, rec := range records {
		if old, ok := r.records[rec.Key]; ok && old.Offset >= rec.Offset {
			continue
		}
		r.records[rec.Key] = rec
		changed = append(changed, rec)
	}
	return changed
}

// Reset takes over a complete listing of the topic as of the offset end. Keys that the listing lacks and whose records are
// older were dropped.
func (r *Replica) Reset(listing []Record, end int64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(listing))
	for _, rec := range listing {
		listed[rec.Key] = true
	}
	changed := r.applyLocked(listing)
	for key, old := range r.records {
		if !listed[key] && old.Value != nil && old.Offset < end {
			rec := Record{Key: key, Offset: end - 1}
			r.records[key] = rec
			changed = append(changed, rec)
		}
	}
	r.end = max(r.end, end)
	return changed
}

// Since returns the records from the offset on, with dropped keys, and the offset up to which they are complete.
func (r *Replica) Since(from int64) ([]Record, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []Record
	for _, rec := range r.records {
		if rec.Offset >= from {
			records = append(records, rec)
		}
	}
	return records, r.end
}
