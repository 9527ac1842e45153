package vm

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"goldcrestpath/engine"
)

// textSink collects an answer and counts its end marks. It can be reset only if buffers is set.
type textSink struct {
	text    strings.Builder
	ends    int
	buffers bool
}

func (s *textSink) Chunk(c engine.Chunk) error {
	s.text.WriteString(c.Text)
	if c.End {
		s.ends++
	}
	return nil
}

func (s *textSink) Reset() bool {
	if s.buffers {
		s.text.Reset()
	}
	return s.buffers
}

// TestRelayDelivery guards against an answer with duplicated, missing or reordered text, with text of an earlier
// attempt, or with an end mark before the end of the text.
func TestRelayDelivery(t *testing.T) {
	const answer = "the whole answer"
	type step struct {
		attempt int // 0 starts a new attempt
		chunk   engine.Chunk
		wantErr bool
	}
	tests := []struct {
		name    string
		buffers bool
		steps   []step
		want    string
		ends    int
	}{
		{"in order", false, []step{{}, {1, engine.Chunk{Text: answer}, false}, {1, engine.Chunk{Offset: len(answer), End: true}, false}}, answer, 1},
		{"duplicate chunk and end mark", false, []step{{}, {1, engine.Chunk{Text: "the "}, false}, {1, engine.Chunk{Text: "the "}, false},
			{1, engine.Chunk{Offset: 2, Text: "e whole answer"}, false}, {1, engine.Chunk{Offset: len(answer), End: true}, false},
			{1, engine.Chunk{Offset: len(answer), End: true}, false}}, answer, 1},
		{"gap", false, []step{{}, {1, engine.Chunk{Text: "the "}, false}, {1, engine.Chunk{Offset: 9, Text: "x"}, true}}, "the ", 0},
		{"end mark before the end of the text", false, []step{{}, {1, engine.Chunk{Text: "the "}, false}, {1, engine.Chunk{Offset: 2, End: true}, true}}, "the ", 0},
		{"late chunk of an earlier attempt", true, []step{{}, {1, engine.Chunk{Text: "old"}, false}, {}, {1, engine.Chunk{Offset: 3, Text: " text"}, false},
			{2, engine.Chunk{Text: "new"}, false}, {2, engine.Chunk{Offset: 3, End: true}, false}}, "new", 1},
		{"second attempt after delivered text", false, []step{{}, {1, engine.Chunk{Text: "old"}, false}, {0, engine.Chunk{}, true}}, "old", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := &textSink{buffers: test.buffers}
			r := newRelay(out)
			var sinks []engine.Sink
			for i, s := range test.steps {
				var failed bool
				if s.attempt == 0 {
					sink, _, ok := r.begin()
					sinks, failed = append(sinks, sink), !ok
				} else {
					failed = sinks[s.attempt-1].Chunk(s.chunk) != nil
				}
				if failed != s.wantErr {
					t.Fatalf("step %d failed: %v, want %v", i, failed, s.wantErr)
				}
			}
			if diff := cmp.Diff(test.want, out.text.String()); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
			if out.ends != test.ends {
				t.Errorf("%d end marks, want %d", out.ends, test.ends)
			}
		})
	}
}

// TestRelayAnyOrder guards against delivered text that is not a prefix of the answer, for arbitrary sequences
// of chunks.
func TestRelayAnyOrder(t *testing.T) {
	const answer = "abcdefghijklmnopqrstuvwxyz"
	rapid.Check(t, func(t *rapid.T) {
		out := &textSink{}
		r := newRelay(out)
		sink, _, _ := r.begin()
		for range rapid.IntRange(1, 40).Draw(t, "chunks") {
			from := rapid.IntRange(0, len(answer)).Draw(t, "from")
			to := rapid.IntRange(from, len(answer)).Draw(t, "to")
			_ = sink.Chunk(engine.Chunk{Offset: from, Text: answer[from:to], End: to == len(answer) && rapid.Bool().Draw(t, "end")})
			if !strings.HasPrefix(answer, out.text.String()) {
				t.Fatalf("delivered %q", out.text.String())
			}
			if out.ends > 0 && out.text.String() != answer {
				t.Fatalf("end mark after %q", out.text.String())
			}
		}
	})
}
