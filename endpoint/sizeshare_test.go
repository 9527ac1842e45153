package endpoint_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// sizePrompt returns a long prompt with that many tokens.
func sizePrompt(tokens int, retried bool) endpoint.Prompt {
	return endpoint.Prompt{Tokens: tokens, TTFTTarget: 4 * time.Second, GapLimit: time.Second, TimeLimit: 15 * time.Second, Retried: retried}
}

// TestSizeSharesOfAllVMs guards against shares by size that count only the requests of one VM, that count a report twice, or that count a
// prompt as refused that was placed when its caller came back.
func TestSizeSharesOfAllVMs(t *testing.T) {
	late := customer.Refuse(customer.ReasonDeadline, "late")
	none := customer.Refuse(customer.ReasonNoEndpoint, "none")
	a, b := newFleet(1), newFleet(1)
	a.RecordPlacement(start, model, sizePrompt(150_000, false), nil)
	a.RecordPlacement(start, model, sizePrompt(150_000, false), nil)
	a.RecordPlacement(start, model, sizePrompt(300_000, false), late)
	a.RecordPlacement(start, model, sizePrompt(300_000, true), late) // the same prompt again
	b.RecordPlacement(start, model, sizePrompt(300_000, false), late)
	b.RecordPlacement(start, model, sizePrompt(300_000, true), nil) // the refused prompt was placed on its return
	b.RecordPlacement(start, model, sizePrompt(300_000, false), none)
	b.RecordPlacement(start, model, sizePrompt(2_000, false), late) // too short to wait
	a.MergePlacements(start, b.TakePlacements())
	b.MergePlacements(start, a.TakePlacements())
	if got := b.TakePlacements(); got != nil {
		t.Errorf("placements reported twice: %+v", got)
	}
	want := []endpoint.SizeShare{
		{Class: sizeClassOf(150_000), Prompts: 2, Share: 1, ShareAll: 0.75},
		{Class: sizeClassOf(300_000), Prompts: 2, Share: 0.5, ShareAll: 0.75},
	}
	for name, f := range map[string]*endpoint.Fleet{"a": a, "b": b} {
		if diff := cmp.Diff(want, f.SizeShares(start)); diff != "" {
			t.Errorf("shares of VM %s (-want +got):\n%s", name, diff)
		}
	}
	if got := a.SizeShares(start.Add(10 * time.Minute)); got != nil {
		t.Errorf("after ten minutes: %+v", got)
	}
}

// sizeClassOf returns the class of a prompt with that many tokens.
func sizeClassOf(tokens int) endpoint.SizeClass {
	f := endpoint.NewFleet()
	f.SetServices(map[string]*endpoint.Service{model: {Name: model, Engine: testEngine()}})
	f.RecordPlacement(start, model, sizePrompt(tokens, false), nil)
	return f.SizeShares(start)[0].Class
}

// TestInterruptedPromptOfALaggingSize guards against a prompt that is refused after its attempt was interrupted, because its size lags and it
// disturbs streams: it was placed before, and its caller may have had events. One that was never placed waits beside others and is refused.
func TestInterruptedPromptOfALaggingSize(t *testing.T) {
	f := newFleet(20)
	for range 5 {
		f.RecordPlacement(start, model, sizePrompt(150_000, false), nil)
		f.RecordPlacement(start, model, sizePrompt(300_000, false), customer.Refuse(customer.ReasonDeadline, "late"))
	}
	for i := range 20 { // a stream that accepts only short gaps on each engine
		mustSelect(t, f, start, shortPrompt, allButOne(f, i)...)
	}
	p := sizePrompt(300_000, false)
	p.Waited = 8 * time.Second
	if _, refusal := f.SelectForGeneration(start.Add(time.Second), model, p, nil); refusal == nil || refusal.Reason() != customer.ReasonDeadline {
		t.Errorf("a prompt that was never placed: refusal %v, want one because of its time", refusal)
	}
	p.Interrupted = true
	if _, refusal := f.SelectForGeneration(start.Add(time.Second), model, p, nil); refusal != nil {
		t.Errorf("an interrupted prompt is refused: %v", refusal)
	}
}

// allButOne returns the IDs of all engines but one.
func allButOne(f *endpoint.Fleet, one int) []string {
	return slices.DeleteFunc(f.IDs(), func(id string) bool { return id == engineEntry(one).ID })
}
