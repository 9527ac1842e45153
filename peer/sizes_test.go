package peer_test

import (
	"testing"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
	"goldcrestpath/peer"
)

// TestLaggingSizesReachPeers guards against VMs that compare sizes by their own prompts only, and against a prompt whose size lags that
// the other VMs place behind shorter ones.
func TestLaggingSizesReachPeers(t *testing.T) {
	a, b := newVM(t), newVM(t)
	a.exchange.AddPeers([]peer.VM{{Address: b.address}})
	b.exchange.AddPeers([]peer.VM{{Address: a.address}})
	for _, v := range []*vm{a, b} {
		v.fleet.SetServices(map[string]*endpoint.Service{"m": {Name: "m", Engine: &endpoint.Engine{Slots: 4, KVTokens: 1_000_000, PrefillRate: 100_000}}})
		v.fleet.SetEntry(time.Now(), endpoint.Entry{ID: "e", Service: "m", Address: "10.0.0.1:80", DataCentre: "a", Slots: 4}, 0)
	}
	await(t, "the VMs find each other", func() bool { return len(a.exchange.Alive()) == 2 && len(b.exchange.Alive()) == 2 })
	short := endpoint.Prompt{Tokens: 100_000, TTFTTarget: time.Minute, TimeLimit: time.Hour}
	long := endpoint.Prompt{Tokens: 200_000, TTFTTarget: time.Minute, TimeLimit: time.Hour}
	for range 5 {
		a.fleet.RecordPlacement(time.Now(), "m", long, customer.Refuse(customer.ReasonDeadline, "late"))
		b.fleet.RecordPlacement(time.Now(), "m", short, nil)
	}
	for name, v := range map[string]*vm{"a": a, "b": b} {
		await(t, "VM "+name+" knows the placements of both", func() bool {
			shares := v.fleet.SizeShares(time.Now())
			return len(shares) == 2 && !shares[0].Lags() && shares[1].Lags() && shares[0].Prompts > 4 && shares[1].Prompts > 4
		})
	}
	w := a.fleet.NewWaiter(time.Now(), "m", long)
	defer w.Cancel()
	await(t, "the shorter prompt at b waits for the longer one at a", func() bool {
		sel, refusal := b.fleet.SelectForGeneration(time.Now(), "m", short, nil)
		if refusal == nil {
			sel.End(time.Now(), endpoint.Cancelled)
		}
		return refusal != nil
	})
}
