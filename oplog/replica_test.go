package oplog_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"goldcrestpath/oplog"
)

// Guards against an older value that a late or stale source brings back: any order of deliveries gives the same copy.
func TestReplicaOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "records")
		log := make([]oplog.Record, n)
		want := map[string]oplog.Record{}
		for i := range log {
			log[i] = oplog.Record{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Offset: int64(i)}
			if rapid.Bool().Draw(t, "kept") {
				log[i].Value = []byte{byte(i)}
			}
			want[log[i].Key] = log[i]
		}
		r := oplog.NewReplica()
		for _, i := range rapid.Permutation(slices.Collect(seq(n))).Draw(t, "order") {
			r.Apply(log[i:i+1], 0)
			if rapid.Bool().Draw(t, "again") {
				if changed := r.Apply(log[i:i+1], 0); len(changed) > 0 {
					t.Fatalf("a repeated record changes %v", changed)
				}
			}
		}
		got := map[string]oplog.Record{}
		records, _ := r.Since(0)
		for _, rec := range records {
			got[rec.Key] = rec
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func seq(n int) func(func(int) bool) {
	return func(yield func(int) bool) {
		for i := range n {
			if !yield(i) {
				return
			}
		}
	}
}

// Guards against entries that stay after the store forgot the record of their removal, and against a listing that removes
// what was written after it.
func TestReplicaReset(t *testing.T) {
	r := oplog.NewReplica()
	r.Apply([]oplog.Record{{Key: "gone", Value: []byte("1"), Offset: 1}, {Key: "new", Value: []byte("2"), Offset: 9}}, 10)
	changed := r.Reset([]oplog.Record{{Key: "kept", Value: []byte("3"), Offset: 4}}, 8)
	slices.SortFunc(changed, func(a, b oplog.Record) int { return int(a.Offset - b.Offset) })
	want := []oplog.Record{{Key: "kept", Value: []byte("3"), Offset: 4}, {Key: "gone", Offset: 7}}
	if diff := cmp.Diff(want, changed); diff != "" {
		t.Error(diff)
	}
	if got := r.End(); got != 10 {
		t.Errorf("End = %d after a listing of an earlier offset, want 10", got)
	}
}
