package oplog

import "sync"

// TopicRecord is the newest value of a key of a compacted topic.
type TopicRecord struct {
	Key    string
	Value  []byte // nil if the key was deleted
	Offset int64
}

// TopicReplica is a copy of the newest records of one compacted topic. Records from the log and from other VMs can be applied
// in any order: for each key the record with the highest offset wins, so a late or stale source never restores an older
// value. It is safe for concurrent use.
type TopicReplica struct {
	mu      sync.Mutex
	records map[string]TopicRecord
	end     int64 // every record below this offset is applied
}

// NewTopicReplica returns an empty replica.
func NewTopicReplica() *TopicReplica { return &TopicReplica{records: map[string]TopicRecord{}} }

// End returns the offset below which the replica has applied every record.
func (r *TopicReplica) End() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// Apply applies records and returns those that replaced an older record or added a key. end is the offset below which the
// replica is complete once records are applied, or 0 if that is unknown.
func (r *TopicReplica) Apply(records []TopicRecord, end int64) []TopicRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.applyLocked(records)
	r.end = max(r.end, end)
	return changed
}

// applyLocked applies records and returns those that had an effect. The caller holds mu.
func (r *TopicReplica) applyLocked(records []TopicRecord) []TopicRecord {
	var changed []TopicRecord
	for _, rec := range records {
		if old, ok := r.records[rec.Key]; ok && old.Offset >= rec.Offset {
			continue
		}
		r.records[rec.Key] = rec
		changed = append(changed, rec)
	}
	return changed
}

// Reset applies a complete listing of the topic as of offset end and returns the records that had an effect. A key was deleted
// if the listing lacks it and its record is below end; Reset adds a record of the deletion.
func (r *TopicReplica) Reset(listing []TopicRecord, end int64) []TopicRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(listing))
	for _, rec := range listing {
		listed[rec.Key] = true
	}
	changed := r.applyLocked(listing)
	for key, old := range r.records {
		if !listed[key] && old.Value != nil && old.Offset < end {
			rec := TopicRecord{Key: key, Offset: end - 1}
			r.records[key] = rec
			changed = append(changed, rec)
		}
	}
	r.end = max(r.end, end)
	return changed
}

// Since returns the newest records of the keys whose offset is from or higher, including those of deleted keys, and the
// offset below which they are complete.
func (r *TopicReplica) Since(from int64) ([]TopicRecord, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []TopicRecord
	for _, rec := range r.records {
		if rec.Offset >= from {
			records = append(records, rec)
		}
	}
	return records, r.end
}
