package oplog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
)

// Inputs of the operations on one key that porcupine checks.
type (
	claimOp    struct{ key, digest, holder string }
	completeOp struct {
		key, holder string
		status      int
	}
	releaseOp struct{ key, holder string }
)

// unboundedReturn is the return time of an operation that may take effect at any time after its call.
const unboundedReturn = 1 << 40

// keyState is the state of one key in claimModel.
type keyState struct {
	digest, holder string // empty if no claim holds the key
	status         int    // status of the outcome, or 0 if there is none
}

// claimModel is the sequential specification of claims. A claim whose result is unknown may have taken effect, and the store
// may release it later.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := ""
			switch in := op.Input.(type) {
			case claimOp:
				key = in.key
			case completeOp:
				key = in.key
			case releaseOp:
				key = in.key
			}
			byKey[key] = append(byKey[key], op)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		st := state.(keyState)
		switch in := input.(type) {
		case claimOp:
			return stepClaim(st, in, output)
		case completeOp:
			if st.holder == in.holder && st.status == 0 {
				st.status = in.status
			}
			return []any{st}
		case releaseOp:
			released := st
			if st.holder == in.holder && st.status == 0 {
				released = keyState{}
			}
			if output == nil { // the store may have released the claim itself
				return []any{st, released}
			}
			return []any{released}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%T%+v -> %v", input, input, output)
	},
}

// stepClaim returns the possible states after a claim with the given result, or nil if the result is wrong in state st.
func stepClaim(st keyState, in claimOp, output any) []any {
	won := keyState{digest: in.digest, holder: in.holder}
	valid := false
	switch out := output.(type) {
	case nil:
		if st.holder == "" {
			return []any{st, won}
		}
		return []any{st}
	case ClaimWon:
		if st.holder == "" {
			return []any{won}
		}
		return nil
	case ClaimHeld:
		valid = st.holder == out.Holder && st.digest == in.digest && st.status == 0
	case ClaimDone:
		valid = st.digest == in.digest && st.status != 0 && st.status == out.Outcome.Status
	case ClaimMismatch:
		valid = st.holder != "" && st.digest != in.digest
	}
	if valid {
		return []any{st}
	}
	return nil
}

// Guards against two requests that win the same key, and against a claim that gets the outcome of another request. Both can
// happen when responses are lost, the log is down or claims are abandoned.
func TestClaimsAreLinearizable(t *testing.T) {
	results := map[string]int{}
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkClaims(t, seed, results) })
		})
	}
	t.Logf("results: %v", results)
	for _, kind := range []string{"oplog.ClaimWon", "oplog.ClaimHeld", "oplog.ClaimDone", "oplog.ClaimMismatch", "<nil>"} {
		if results[kind] == 0 {
			t.Errorf("no claim had the result %s", kind)
		}
	}
}

// checkClaims runs random claims from several clients on three stores while the log fails, and checks that the history is
// linearizable. It counts the results of the operations by type in results.
func checkClaims(t *testing.T, seed uint64, results map[string]int) {
	const clients, opsPerClient = 4, 16
	l := newFakeLog()
	stores := []*Store{openStore(t, l), openStore(t, l), openStore(t, l)}
	var (
		clock   atomic.Int64
		mu      sync.Mutex
		history []porcupine.Operation
	)
	record := func(op porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, op)
		results[fmt.Sprintf("%T", op.Output)]++
	}
	// claim makes a claim and records it in the history. It returns nil if the claim was refused.
	claim := func(client int, s *Store, in claimOp, timeout time.Duration) ClaimResult {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		op := porcupine.Operation{ClientId: client, Input: in, Call: clock.Add(1)}
		out, err := s.Claim(ctx, Claim{Key: in.key, Digest: in.digest, Holder: in.holder})
		op.Output, op.Return = any(out), clock.Add(1)
		if err != nil {
			if !strings.Contains(err.Error(), "may or may not be in the log") {
				return nil // the claim was certainly not made and is not part of the history
			}
			op.Output, op.Return = nil, unboundedReturn
			record(porcupine.Operation{ClientId: client, Input: releaseOp{in.key, in.holder}, Call: op.Call, Return: unboundedReturn})
		}
		record(op)
		return out
	}
	var wg sync.WaitGroup
	for client := range clients {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(client)))
			for n := range opsPerClient {
				s := stores[r.IntN(len(stores))]
				in := claimOp{key: fmt.Sprint("k", (n+r.IntN(3))/4), digest: fmt.Sprint("d", r.IntN(5)/4), holder: fmt.Sprintf("%d-%d", client, n)}
				out := claim(client, s, in, time.Duration(1+r.IntN(2000))*time.Millisecond)
				if out == (ClaimResult)(ClaimWon{}) {
					time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
					end := porcupine.Operation{ClientId: client, Call: clock.Add(1), Output: true}
					var err error
					if r.IntN(3) == 0 {
						status := 100*client + n + 1
						end.Input = completeOp{in.key, in.holder, status}
						err = s.Complete(t.Context(), in.key, Outcome{Status: status})
					} else {
						end.Input = releaseOp{in.key, in.holder}
						err = s.Release(t.Context(), in.key)
					}
					if err != nil {
						t.Errorf("complete or release a claim: %v", err)
					}
					end.Return = clock.Add(1)
					record(end)
				}
				time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
			}
		})
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		r := rand.New(rand.NewPCG(seed, 99))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(r.IntN(300)) * time.Millisecond):
			}
			switch r.IntN(3) {
			case 0:
				l.set(func(l *fakeLog) { l.loseResponses, l.downAfterLoss = 1+r.IntN(3), r.IntN(2) == 0 })
			case 1:
				l.set(func(l *fakeLog) { l.down, l.unsent = true, r.IntN(4) > 0 })
			case 2:
				l.set(func(l *fakeLog) { l.down = false })
			}
		}
	})
	wg.Wait()
	close(stop)
	faults.Wait()
	// Make claims whose record is in the log, but cannot be read back before the writer abandons the claim.
	for i, s := range stores {
		l.set(func(l *fakeLog) { l.down, l.loseResponses, l.downAfterLoss = false, 0, false })
		time.Sleep(3 * maxBackoff)
		l.set(func(l *fakeLog) { l.loseResponses, l.downAfterLoss = 1, true })
		key := fmt.Sprint("lost", i)
		claim(clients, s, claimOp{key, "d", "lost"}, time.Second)
		l.set(func(l *fakeLog) { l.down, l.loseResponses, l.downAfterLoss = false, 0, false })
		time.Sleep(3 * maxBackoff)
		if out := claim(clients, stores[(i+1)%len(stores)], claimOp{key, "d", "next"}, time.Second); out != (ClaimResult)(ClaimWon{}) {
			t.Errorf("claim of a key whose earlier claim was abandoned: %v", out)
		}
	}
	if !porcupine.CheckOperations(claimModel.ToModel(), history) {
		t.Errorf("the history of claims is not linearizable")
	}
}
