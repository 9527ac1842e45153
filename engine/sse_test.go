package engine

import (
	"strings"
	"testing"
)

// contiguousSink fails the test at the first chunk that does not continue the answer.
type contiguousSink struct {
	t      *testing.T
	length int
	ended  bool
}

func (c *contiguousSink) Chunk(k Chunk) error {
	if c.ended {
		c.t.Fatalf("chunk after the end mark: %+v", k)
	}
	if k.Offset != c.length {
		c.t.Fatalf("chunk at offset %d after %d bytes", k.Offset, c.length)
	}
	if k.End && k.Text != "" {
		c.t.Fatalf("end mark with text: %+v", k)
	}
	c.length += len(k.Text)
	c.ended = k.End
	return nil
}

// FuzzAssembler guards against missing, repeated or reordered text and against an end mark before the whole text. The second
// read continues the answer on a new connection after the first one was cut.
func FuzzAssembler(f *testing.F) {
	for _, seed := range []string{
		"",
		"data: {\"offset\":0,\"text\":\"ab\",\"instance\":5}\n\ndata: {\"offset\":2,\"text\":\"\",\"end\":true}\n\n",
		"id: 0\r\ndata: {\"offset\":0,\"text\":\"ab\"}\r\n\r\n",
		"data: {\"offset\":2,\"text\":\"cd\"}\n\ndata: {\"offset\":0,\"text\":\"abc\"}\n\ndata: {\"offset\":4,\"end\":true}\n\n",
		"data: {\"offset\":9,\"end\":true}\n\ndata: {\"offset\":0,\"text\":\"ab\"}\n\n",
		"data: {\"offset\":0,\"text\":\"ab\",\"end\":true}\n\n",
		"data: {\"offset\":-1,\"text\":\"ab\"}\n\n",
		"data: {\"offset\":0,\ndata: \"text\":\"ab\"}\n\n: comment\n\n",
		"data: {\"offset\":0,\"text\":\"ab\"}\n",
	} {
		f.Add(seed, len(seed)/2)
	}
	f.Fuzz(func(t *testing.T, data string, cut int) {
		sink := &contiguousSink{t: t}
		a := &assembler{sink: sink}
		err := a.read(strings.NewReader(data[:min(max(cut, 0), len(data))]))
		if err != nil {
			err = a.read(strings.NewReader(data))
		}
		if (err == nil) != sink.ended {
			t.Fatalf("error %v with end mark delivered: %v", err, sink.ended)
		}
	})
}
