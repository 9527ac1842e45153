package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/engine"
)

// Guards against a field that is lost between VMs because two fields have the same number or a conversion omits it.
func TestWireEncodings(t *testing.T) {
	codec, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	type message struct {
		Request grantRequestWire `cbor:"demand"`
		Load    loadBody         `cbor:"load"`
		Result  *resultBody      `cbor:"result"`
	}
	req := engine.GrantRequest{ID: "i", Holder: "h", Customer: "c", PromptTokens: 4, CachedTokens: 5, MaxTokens: 6, Priority: 7, Weight: 8, StartWithin: 9, MaxWait: 10}
	l := engine.Load{Instance: 1, Capacity: 2, FreeTokens: 3, FreeSlots: 4, Running: 5, QueuedRequests: 6, QueuedTokens: 7, PrefillBacklog: 8, LongPrompts: 9,
		LongPrefillBacklog: 10, PrefillRate: 11, Cold: true, ColdAllowance: 13}
	r := &engine.Result{Usage: engine.Usage{PromptTokens: 1, CachedTokens: 2, AnswerTokens: 3}, TTFT: 4 * time.Second, Failed: true}
	data, err := codec.Marshal(message{grantRequestWire(req), loadBody(l), resultToWire(r)})
	if err != nil {
		t.Fatal(err)
	}
	var m message
	if err := codec.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	if s := cmp.Diff(req, engine.GrantRequest(m.Request)) + cmp.Diff(l, engine.Load(m.Load)) + cmp.Diff(r, m.Result.result()); s != "" {
		t.Error(s)
	}
}
