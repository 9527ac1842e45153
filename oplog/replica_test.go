package oplog_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"goldcrestpath/oplog"
)

// Guards against a late or stale source that restores an older value: applying records in any order must give the same
// content.
func TestReplicaOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "records")
		log := make([]oplog.TopicRecord, n)
		want := map[string]oplog.TopicRecord{}
		for i := range log {
			log[i] = oplog.TopicRecord{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Offset: int64(i)}
			if rapid.Bool().Draw(t, "kept") {
				log[i].Value = []byte{byte(i)}
			}
			want[log[i].Key] = log[i]
		}
		r := oplog.NewTopicReplica()
		for _, i := range rapid.Permutation(slices.Collect(seq(n))).Draw(t, "order") {
			r.Apply(log[i:i+1], 0)
			if rapid.Bool().Draw(t, "again") {
				if changed := r.Apply(log[i:i+1], 0); len(changed) > 0 {
					t.Fatalf("a repeated record changes %v", changed)
				}
			}
		}
		got := map[string]oplog.TopicRecord{}
		records, _ := r.Since(0)
		for _, rec := range records {
			got[rec.Key] = rec
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// seq iterates over the integers from 0 to n-1.
func seq(n int) func(func(int) bool) {
	return func(yield func(int) bool) {
		for i := range n {
			if !yield(i) {
				return
			}
		}
	}
}

// Guards against keys that remain after the topic has dropped the record of their deletion, and against a listing that deletes
// a key written after it.
func TestReplicaReset(t *testing.T) {
	r := oplog.NewTopicReplica()
	r.Apply([]oplog.TopicRecord{{Key: "gone", Value: []byte("1"), Offset: 1}, {Key: "new", Value: []byte("2"), Offset: 9}}, 10)
	changed := r.Reset([]oplog.TopicRecord{{Key: "kept", Value: []byte("3"), Offset: 4}}, 8)
	slices.SortFunc(changed, func(a, b oplog.TopicRecord) int { return int(a.Offset - b.Offset) })
	want := []oplog.TopicRecord{{Key: "kept", Value: []byte("3"), Offset: 4}, {Key: "gone", Offset: 7}}
	if diff := cmp.Diff(want, changed); diff != "" {
		t.Error(diff)
	}
	if got := r.End(); got != 10 {
		t.Errorf("End = %d after a listing as of an earlier offset, want 10", got)
	}
}
