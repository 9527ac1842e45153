package oplog

import "sync"

// Record is the newest value of a key of a compacted topic.
type Record struct {
	Key    string
	Value  []byte // nil if the key was deleted
	Offset int64
}

// Replica is a copy of the newest records of one compacted topic. Records from the log and from other VMs can be applied in
// any order: for each key the record with the highest offset wins, so a late or stale source never restores an older value.
// It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	records map[string]Record
	end     int64 // every record below this offset is applied
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{records: map[string]Record{}} }

// End returns the offset below which the replica has applied every record.
func (r *Replica) End() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// Apply applies records and returns those that replaced an older record or added a key. end is the offset below which the
// replica is complete once records are applied, or 0 if that is unknown.
func (r *Replica) Apply(records []Record, end int64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.applyLocked(records)
	r.end = max(r.end, end)
	return changed
}

// applyLocked applies records and returns those that had an effect. The caller holds mu.
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

// Reset applies a complete listing of the topic as of offset end and returns the records that had an effect. A key that the
// listing lacks and whose record is below end was deleted; Reset adds a record of its deletion.
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

// Since returns the newest records of the keys whose offset is from or higher, including those of deleted keys, and the
// offset below which they are complete.
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
