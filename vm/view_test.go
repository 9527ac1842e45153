package vm

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/oplog"
	"goldcrestpath/standin"
)

// publishAll publishes each content as the next revision of its document and returns the snapshot after each
// publication.
func publishAll(t testing.TB, changes [][2]string) []*oplog.Snapshot {
	t.Helper()
	log, err := standin.NewLog("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	store := oplog.NewStore(oplog.NewHTTPLog(log.Address()))
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	revisions := make(map[string]uint64)
	var snapshots []*oplog.Snapshot
	for _, c := range changes {
		for {
			revision, err := store.Publish(ctx, c[0], revisions[c[0]], []byte(c[1]))
			if err == nil {
				revisions[c[0]] = revision
				break
			}
			if !sleep(ctx, 10*time.Millisecond) { // the store has not read the log yet
				t.Fatal(err)
			}
		}
		snapshots = append(snapshots, store.Snapshot())
	}
	return snapshots
}

// fleetText returns the content of a fleet document with the given number of engines.
func fleetText(engines int) string {
	var b strings.Builder
	b.WriteString("[dataCentre a]\nregion = r\n")
	for i := range engines {
		fmt.Fprintf(&b, "[engine e%d]\ndataCentre = a\naddress = 127.0.0.1:%d\nmodel = small\nkvTokens = 1000\nsequences = 4\nprefillRate = 1000\ndecodeRate = 10\ncoldSequences = 1\n", i, 1000+i)
	}
	return b.String()
}

const contractLines = "[contract]\nname = team\nweight = 1\npriority = 1\ntokensPerSecond = 100\nburst = 1000\nconcurrent = 5\n" +
	"longestPrompt = 1000\nmodels = small\n[deadline]\nshort = 1s\nmedium = 1s\nlong = 1s\nveryLong = 1s\n[keys]\nk = "

var contractKey = strings.Repeat("0", 64)

// TestViewKeepsGoodContent guards against an invalid document that disables a customer or the whole fleet, and
// against a fleet document that is parsed again although it has not changed.
func TestViewKeepsGoodContent(t *testing.T) {
	snapshots := publishAll(t, [][2]string{
		{"fleet", fleetText(2)},
		{"contract/team", contractLines + contractKey + "\n"},
		{"contract/team", "[contract]\nname = team\n"},
		{"fleet", "[engine broken]\n"},
		{"fleet", fleetText(3)},
	})
	type state struct {
		Engines  int
		Team     bool
		Problems bool
		Reused   bool // whether the fleet of the previous view was reused
	}
	var got []state
	var old *view
	for _, s := range snapshots {
		w, err := newView("a", s, old)
		got = append(got, state{len(w.enginesOf("small", nil)), w.contracts["team"] != nil, err != nil, old != nil && old.fleet == w.fleet})
		old = w
	}
	want := []state{{2, false, false, false}, {2, true, false, true}, {2, true, true, true}, {2, true, true, true}, {3, true, true, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkNewView measures applying a contract change with a fleet of 10,000 engines, with and without a previous
// view to reuse.
func BenchmarkNewView(b *testing.B) {
	snapshots := publishAll(b, [][2]string{{"fleet", fleetText(10_000)}, {"contract/team", contractLines + contractKey + "\n"}})
	first, err := newView("a", snapshots[0], nil)
	if err != nil {
		b.Fatal(err)
	}
	for _, old := range []*view{nil, first} {
		b.Run(fmt.Sprintf("reuse=%t", old != nil), func(b *testing.B) {
			for b.Loop() {
				if _, err := newView("a", snapshots[1], old); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
