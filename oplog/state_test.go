package oplog

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const testRetention = time.Hour

// epoch is the start time of a random log.
var epoch = time.Unix(1_700_000_000, 0)

// randomLog draws a log. Base revisions, generations, claim IDs and checkpoints come from the state at an earlier record, as if
// their writers lagged behind.
func randomLog(t *rapid.T) []Entry {
	var entries []Entry
	lagging := NewState()
	now := epoch
	appendRecord := func(b body) {
		skew := time.Duration(rapid.IntRange(0, 300).Draw(t, "skew")) * time.Second
		data, err := record{id: newRecordID(), time: now.Add(-skew), body: b}.encode()
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, Entry{Offset: uint64(len(entries)), Data: data})
	}
	for range rapid.IntRange(1, 60).Draw(t, "records") {
		now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
		if rapid.Bool().Draw(t, "catch up") {
			lagging.apply(batch(entries, 0))
		}
		key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
		switch rapid.IntRange(0, 8).Draw(t, "kind") {
		case 0, 1:
			name := rapid.SampledFrom([]string{FleetDocument, "contract/a", "no/document"}).Draw(t, "document")
			appendRecord(publishBody{Document: name, Base: lagging.documents[name].Revision, Content: []byte(fmt.Sprint(len(entries)))})
		case 2:
			target := rapid.SampledFrom([]string{"dataCentre/a", "vm/a/1"}).Draw(t, "target")
			appendRecord(drainBody{Drain{Target: target, Generation: lagging.drains[target].Generation + 1, Drained: rapid.Bool().Draw(t, "drained")}})
		case 3, 4:
			appendRecord(claimBody{Key: key, Digest: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "digest"), Holder: "h", Retention: testRetention})
		case 5:
			if h := lagging.claims[key]; h != nil && rapid.Bool().Draw(t, "release") {
				appendRecord(releaseBody{Key: key, Claim: h.ID})
			} else if h != nil {
				appendRecord(outcomeBody{Key: key, Claim: h.ID, Outcome: Outcome{Status: len(entries)}})
			}
		case 6:
			appendRecord(fenceBody{Resource: "e", Token: lagging.fences["e"] + 1})
		case 7:
			vmName := rapid.SampledFrom([]string{"a/1", "a/2"}).Draw(t, "place")
			run := VMRun{VMName: vmName, Incarnation: lagging.runs[vmName].Incarnation, FleetRevision: lagging.documents[FleetDocument].Revision}
			run.Released = rapid.Bool().Draw(t, "freed")
			if run.Ended = run.Released || rapid.Bool().Draw(t, "ended"); !run.Ended || run.Incarnation == 0 {
				run.Incarnation++
			}
			appendRecord(registrationBody{run})
		case 8:
			for _, b := range lagging.checkpoint(now, newRegisters()) {
				appendRecord(b)
			}
		}
	}
	return entries
}

// batch returns the result of a read of all entries of a log that retains those from offset earliest on.
func batch(entries []Entry, earliest int) Batch {
	return Batch{Entries: entries[earliest:], Earliest: uint64(earliest), Next: uint64(len(entries)), Identity: "log"}
}

// unexpiredClaims returns the claims that still hold their keys at now.
func unexpiredClaims(s *State, now time.Time) map[string]heldClaim {
	claims := map[string]heldClaim{}
	for key, h := range s.claims {
		if !h.expired(now) {
			claims[key] = *h
		}
	}
	return claims
}

// diffStates compares the states of two readers at the end of a log. It ignores claims that have expired at the time of the
// newest record, because they no longer affect a decision.
func diffStates(entries []Entry, a, b *State) string {
	last := epoch
	for _, e := range entries {
		if r, err := decodeRecord(e.Data); err == nil && r.time.After(last) {
			last = r.time
		}
	}
	return cmp.Diff(a.documents, b.documents, cmp.Comparer(sameTime)) + cmp.Diff(a.drains, b.drains) + cmp.Diff(a.fences, b.fences) + cmp.Diff(a.runs, b.runs) +
		cmp.Diff(unexpiredClaims(a, last), unexpiredClaims(b, last), cmp.Comparer(sameTime))
}

func sameTime(a, b time.Time) bool { return a.Equal(b) }

// Guards against decisions that depend on anything but the records, such as the size of reads, the local clock or the offset
// at which a reader started.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := randomLog(t)
		reference := NewState()
		reference.Apply(batch(entries, 0))

		incremental := NewState()
		for from := 0; from < len(entries); {
			to := rapid.IntRange(from+1, len(entries)).Draw(t, "to")
			incremental.Apply(batch(entries[:to], 0))
			from = to
		}
		if diff := diffStates(entries, reference, incremental); diff != "" {
			t.Fatalf("a reader with smaller batches differs:\n%s", diff)
		}

		earliest := rapid.IntRange(0, len(entries)).Draw(t, "earliest")
		late := NewState()
		late.Apply(batch(entries, earliest))
		if late.Bootstrapped() {
			if diff := diffStates(entries, reference, late); diff != "" {
				t.Fatalf("a reader from offset %d differs:\n%s", earliest, diff)
			}
		}

		readUpTo := rapid.IntRange(0, earliest).Draw(t, "before")
		resumed := NewState()
		resumed.Apply(batch(entries[:readUpTo], 0))
		resumed.Apply(batch(entries, earliest))
		if resumed.Bootstrapped() {
			if diff := diffStates(entries, reference, resumed); diff != "" {
				t.Fatalf("a reader with a gap from %d to %d differs:\n%s", readUpTo, earliest, diff)
			}
		}
	})
}

// Guards against registers or an applied offset that revert when the log is truncated or recreated, or when a checkpoint holds
// older values.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		logs := [][]Entry{randomLog(t), randomLog(t)}
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			logIndex := rapid.IntRange(0, 1).Draw(t, "log")
			entries := logs[logIndex][:rapid.IntRange(0, len(logs[logIndex])).Draw(t, "end")]
			b := batch(entries, rapid.IntRange(0, len(entries)).Draw(t, "earliest"))
			b.Identity = fmt.Sprint(logIndex)
			previous, offset := s.registers.clone(), s.Offset()
			s.Apply(b)
			if lost := previous.newerThan(&s.registers); !lost.empty() {
				t.Fatalf("lost %+v", lost)
			}
			if s.Offset() < offset {
				t.Fatalf("applied offset went from %d to %d", offset, s.Offset())
			}
		}
	})
}

// Guards against several accepted publications on the same base revision, and against a base for which none is accepted.
func TestOneWinnerForEachBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := randomLog(t)
		s := NewState()
		revision := map[string]uint64{}
		for i := range entries {
			r, _ := decodeRecord(entries[i].Data)
			results := s.apply(batch(entries[:i+1], 0))
			b, ok := r.body.(publishBody)
			if !ok {
				continue
			}
			want := b.Base == revision[b.Document] && ValidDocumentName(b.Document)
			if results[0].accepted != want {
				t.Fatalf("publication of %s on base %d at revision %d: accepted is %v", b.Document, b.Base, revision[b.Document], !want)
			}
			if want {
				revision[b.Document]++
			}
		}
		for name, want := range revision {
			if got := s.documents[name].Revision; got != want {
				t.Fatalf("%s has revision %d after %d winners", name, got, want)
			}
		}
	})
}

// Guards against drain states that depend on the order in which a VM receives them.
func TestDrainsMergeInAnyOrder(t *testing.T) {
	drain := rapid.Custom(func(t *rapid.T) Drain {
		return Drain{Target: "vm/a/1", Generation: rapid.Uint64Range(1, 3).Draw(t, "generation"), Drained: rapid.Bool().Draw(t, "drained")}
	})
	rapid.Check(t, func(t *rapid.T) {
		drains := rapid.SliceOfN(drain, 1, 6).Draw(t, "drains")
		a, b := newRegisters(), newRegisters()
		for _, d := range drains {
			a.setDrain(d)
		}
		for _, d := range rapid.Permutation(drains).Draw(t, "order") {
			b.setDrain(d)
			b.setDrain(d)
		}
		if diff := cmp.Diff(a.drains, b.drains); diff != "" {
			t.Fatalf("order matters:\n%s", diff)
		}
		for _, d := range drains {
			if got := a.drains[d.Target]; d.Generation == got.Generation && d.Drained && !got.Drained {
				t.Fatalf("%+v won a tie against drained", got)
			}
		}
	})
}

// Guards against a reader that stops at a damaged record or at a record that a VM of another version wrote.
func FuzzDecodeRecord(f *testing.F) {
	bodies := []body{
		publishBody{Document: FleetDocument, Base: 1, Content: []byte("x")},
		drainBody{Drain{Target: "vm/a/1", Generation: 2, Drained: true}},
		claimBody{Key: "k", Digest: "d", Holder: "h", Retention: testRetention},
		outcomeBody{Key: "k", Outcome: Outcome{Status: 200, Headers: []Header{{"A", "b"}}, Body: []byte("y")}},
		releaseBody{Key: "k"},
		fenceBody{Resource: "e", Token: 3},
		checkpointBody{Parts: 1, Documents: []Document{{Name: FleetDocument, Revision: 1}}, Claims: []heldClaim{{Key: "k"}}, Fences: map[string]uint64{"e": 1}},
	}
	for _, b := range bodies {
		want := record{id: newRecordID(), time: epoch, body: b}
		data, err := want.encode()
		if err != nil {
			f.Fatal(err)
		}
		got, err := decodeRecord(data)
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(record{}), cmp.Comparer(sameTime)); diff != "" || err != nil {
			f.Fatalf("decoded record differs, %v:\n%s", err, diff)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x62, 'i', 'd', 0x40})
	f.Add([]byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, earliest := range []uint64{0, 1} {
			s := NewState()
			s.Apply(Batch{Entries: []Entry{{Offset: earliest, Data: data}}, Earliest: earliest, Next: earliest + 1, Identity: "log"})
			if s.Next() != earliest+1 {
				t.Errorf("the reader stopped at offset %d", s.Next())
			}
		}
	})
}

// Guards against a checkpoint that omits a claim which has not expired for records that its writer has yet to apply. That
// happened when the clock of the writing VM was far ahead of the records that it had applied.
func TestCheckpointOfLaggingReader(t *testing.T) {
	var entries []Entry
	add := func(minutes int, b body) {
		data, err := record{id: newRecordID(), time: epoch.Add(time.Duration(minutes) * time.Minute), body: b}.encode()
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, Entry{Offset: uint64(len(entries)), Data: data})
	}
	claim := claimBody{Key: "k", Digest: "d", Holder: "h", Retention: testRetention}
	lagging, reference, late := NewState(), NewState(), NewState()
	add(0, claim)
	lagging.Apply(batch(entries, 0))
	add(59, claim) // loses to the first claim
	add(61, claim) // wins, because the first claim has expired
	for _, b := range lagging.checkpoint(epoch.Add(75*time.Minute), newRegisters()) {
		add(75, b)
	}
	reference.Apply(batch(entries, 0))
	late.Apply(batch(entries, 1))
	if !late.Bootstrapped() || reference.claims["k"].ID != late.claims["k"].ID {
		t.Errorf("readers differ: %v and %v", reference.claims["k"], late.claims["k"])
	}
}

// Guards against checkpoints that lose claims when they don't fit into one record, or that bootstrap a reader which has read
// only some of the parts.
func TestCheckpointInParts(t *testing.T) {
	const claims, outcomeBytes = 400, 16 << 10
	var entries []Entry
	add := func(b body) {
		data, err := record{id: newRecordID(), time: epoch, body: b}.encode()
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, Entry{Offset: uint64(len(entries)), Data: data})
	}
	reference := NewState()
	for i := range claims {
		add(claimBody{Key: fmt.Sprint("k", i), Digest: "d", Holder: "h", Retention: testRetention})
		reference.Apply(batch(entries, 0))
		add(outcomeBody{Key: fmt.Sprint("k", i), Claim: reference.claims[fmt.Sprint("k", i)].ID, Outcome: Outcome{Status: 200, Body: make([]byte, outcomeBytes)}})
	}
	reference = NewState()
	reference.Apply(batch(entries, 0))
	first := len(entries)
	for _, b := range reference.checkpoint(epoch, newRegisters()) {
		add(b)
	}
	for _, e := range entries[first:] {
		if n := len(e.Data); n > maxPartBytes {
			t.Errorf("a part has %d bytes, above %d", n, maxPartBytes)
		}
	}
	late := NewState()
	late.Apply(batch(entries, first))
	done := 0
	for _, h := range late.claims {
		if h.Outcome != nil {
			done++
		}
	}
	if !late.Bootstrapped() || len(late.claims) != claims || done != maxCheckpointOutcomeBytes/(outcomeBytes+entryOverheadBytes) {
		t.Errorf("bootstrapped %v, %d claims, %d outcomes", late.Bootstrapped(), len(late.claims), done)
	}
	missingFirstPart := NewState()
	missingFirstPart.Apply(batch(entries, first+1))
	if missingFirstPart.Bootstrapped() {
		t.Error("a reader that missed the first part is bootstrapped")
	}
}
