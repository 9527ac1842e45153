package standin_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/oplog"
	"goldcrestpath/standin"
)

// textSink collects an answer.
type textSink struct {
	text strings.Builder
	end  engine.Usage
}

// Chunk implements engine.Sink.
func (s *textSink) Chunk(c engine.Chunk) error {
	s.text.WriteString(c.Text)
	if c.End {
		s.end = c.Usage
	}
	return nil
}

// TestEngineProtocol guards against a stand-in engine that implements docs/PROTOCOLS.md differently from the engine client.
func TestEngineProtocol(t *testing.T) {
	e := testEngine(t, func(cfg *standin.EngineConfig) { cfg.ReportInterval = time.Millisecond })
	spec := engine.Spec{Name: "e1", Address: e.Address(), Model: "small", KVTokens: e.Config().KVTokens}
	client := engine.NewClient(engine.WithIncarnation(3))
	ctx := t.Context()
	prompt := strings.Repeat("abc ", 300)
	stream := func(id string, maxTokens int, sink engine.Sink) error {
		c := &engine.Completion{ID: id, Model: "small", Prompt: []byte(prompt), PromptTokens: 300, MaxTokens: maxTokens,
			Deadline: time.Now().Add(time.Minute), Idempotent: true}
		g := engine.Grant{ID: id, Endpoint: "e1", Holder: "jm-a/1", RequestedAt: time.Now(),
			Request: engine.GrantRequest{ID: id, Holder: "jm-a/1", PromptTokens: 300, MaxTokens: maxTokens}}
		return client.Stream(ctx, spec, c, g, 1, sink)
	}

	e.ResetStreams(1)
	var sink textSink
	if err := stream("r1", 40, &sink); err != nil {
		t.Fatal(err)
	}
	if got, want := sink.text.String(), standin.AnswerText("r1", "small", 40); got != want {
		t.Errorf("answer %q, want %q", got, want)
	}
	if diff := cmp.Diff(engine.Usage{PromptTokens: 300, AnswerTokens: 40}, sink.end); diff != "" {
		t.Error(diff)
	}
	if n := e.Counters().Resumed; n != 1 {
		t.Errorf("%d resumptions, want 1", n)
	}
	if r := customer.AsRefusal(stream("r2", 20_000, &sink)); r.Verdict() != customer.NotRun {
		t.Errorf("a refusal for memory is %v", r)
	}

	if err := client.Reserve(ctx, spec, "r3", "jm-a/1", 500); err != nil {
		t.Error(err)
	}
	var report engine.Report
	for report.KVUsed == 0 && ctx.Err() == nil {
		var err error
		if report, err = client.Report(ctx, spec); err != nil {
			t.Fatal(err)
		}
	}
	want := engine.Report{Instance: e.Instance(), Model: "small", Version: "1", Adapters: []string{}, Role: "mixed", KVTokens: 10_000,
		KVUsed: 500, Sequences: 32, Streams: []engine.StreamReport{{ID: "r3", Holder: "jm-a/1", Tokens: 500, Reservation: true}}}
	report.Sequence, report.Age = 0, 0
	if diff := cmp.Diff(want, report); diff != "" {
		t.Error(diff)
	}
	if err := client.CancelHolder(ctx, spec, "jm-a/1", 3); err != nil {
		t.Error(err)
	}
	if tokens, _, _ := e.InUse(); tokens != 0 {
		t.Errorf("%d tokens are held after the holder was cancelled", tokens)
	}
	events, err := client.CacheEvents(ctx, spec, 1)
	if err != nil || len(events) != 1 || !events[0].Stored {
		t.Errorf("events %+v, %v", events, err)
	}
	if err := client.Order(ctx, spec, engine.Order{Kind: "setRole", Role: "decode", Fence: 1}); err != nil {
		t.Error(err)
	}
}

// TestPlatformProtocol guards against stand-ins that implement docs/PROTOCOLS.md differently from the clients of the platform.
func TestPlatformProtocol(t *testing.T) {
	ctx := t.Context()
	log, err := standin.NewLog(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	store := oplog.NewStore(oplog.NewHTTPLog(log.Address()))
	defer store.Close()
	for !store.LogReachable() {
		time.Sleep(time.Millisecond)
	}
	revision, err := store.Publish(ctx, "fleet", 0, []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	if d, ok := store.Snapshot().Document("fleet"); !ok || d.Revision != revision {
		t.Errorf("document %+v, %v", d, ok)
	}
	list, err := standin.NewVMList(anyPort, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	list.Set(standin.ListedVM{Name: "jm-a/1", Instance: "i-1", Address: "127.0.0.1:1", State: "leaving"})
	vms, err := oplog.NewVMList(list.Address()).Get(ctx)
	want := []oplog.ListedVM{{Name: "jm-a/1", Instance: "i-1", Address: "127.0.0.1:1", State: oplog.VMLeaving}}
	if diff := cmp.Diff(want, vms.VMs); diff != "" || err != nil {
		t.Error(err, diff)
	}
	weights, err := standin.NewWeightStore(anyPort, 1000, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer weights.Close()
	if err := reserveTwice(ctx, oplog.NewWeightStore(weights.Address())); err != nil {
		t.Error(err)
	}
}

func reserveTwice(ctx context.Context, w *oplog.WeightStore) error {
	for range 2 {
		if _, err := w.Reserve(ctx, "small", 1000); err != nil {
			return err
		}
	}
	return nil
}
