package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Bounds of the event stream's parser.
const (
	maxLine    = 1 << 20 // bytes of one line
	maxPending = 64      // chunks held while an earlier one is missing
)

// Faults of an event stream. After each of them the stream can be resumed at the assembler's offset.
var (
	errTruncated = errors.New("stream ends without its end mark")
	errGap       = errors.New("stream lacks a chunk")
	errMalformed = errors.New("stream has a malformed event")
)

// errInstance means that the engine was restarted, so that it cannot continue the answer.
var errInstance = errors.New("engine was restarted during the stream")

// wireEvent is the data of one event.
type wireEvent struct {
	Offset   int       `json:"offset"`
	Text     string    `json:"text"`
	Instance uint64    `json:"instance"`
	End      bool      `json:"end"`
	Usage    wireUsage `json:"usage"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// assembler puts the events of one answer in order. Text is delivered once and without gaps, over any number of
// connections. The end mark is delivered only after the whole text.
type assembler struct {
	attempt  int
	sink     Sink
	offset   int // length of the delivered text
	instance uint64
	pending  map[int]wireEvent
	end      *wireEvent
	done     bool
	sinkErr  error
}

// read delivers the events of one connection. It returns nil after the end mark was delivered.
func (a *assembler) read(r io.Reader) error {
	clear(a.pending) // a resumed stream sends again what an earlier connection sent too early
	a.end = nil
	lines := bufio.NewReaderSize(r, 4<<10)
	var data []byte
	hasData := false
	for {
		line, err := readLine(lines)
		if err != nil {
			// An event without its closing blank line is incomplete and dropped.
			if err == io.EOF || err == io.ErrUnexpectedEOF {
				return errTruncated
			}
			return err
		}
		switch {
		case len(line) == 0:
			if !hasData {
				continue
			}
			if err := a.event(data); err != nil || a.done {
				return err
			}
			data, hasData = data[:0], false
		case bytes.HasPrefix(line, []byte("data:")):
			if hasData {
				data = append(data, '\n')
			}
			hasData = true
			data = append(data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
			if len(data) > maxLine {
				return errMalformed
			}
		}
	}
}

// readLine returns the next line without its line break. Line breaks are LF or CR LF.
func readLine(r *bufio.Reader) ([]byte, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			if long = append(long, part...); len(long) > maxLine {
				return nil, errMalformed
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		if long != nil {
			part = append(long, part...)
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte("\r")), nil
	}
}

func (a *assembler) event(data []byte) error {
	var e wireEvent
	if err := json.Unmarshal(data, &e); err != nil || e.Offset < 0 {
		return errMalformed
	}
	if e.Instance != 0 {
		if a.instance != 0 && a.instance != e.Instance {
			return errInstance
		}
		a.instance = e.Instance
	}
	if e.End {
		e.Offset += len(e.Text)
		if e.Offset < a.offset {
			return errMalformed // the engine states less text than it sent
		}
		a.end = &e
	}
	if err := a.text(e); err != nil {
		return err
	}
	if a.end == nil {
		return nil
	}
	switch {
	case a.offset == a.end.Offset:
		return a.finish()
	case a.offset > a.end.Offset:
		return errMalformed
	}
	return nil
}

// text delivers e's text if it continues what was delivered, and then what was held back for it.
func (a *assembler) text(e wireEvent) error {
	start := e.Offset
	if e.End {
		start -= len(e.Text)
	}
	if start > a.offset {
		if e.Text == "" {
			return nil
		}
		if len(a.pending) >= maxPending {
			return errGap
		}
		if a.pending == nil {
			a.pending = make(map[int]wireEvent)
		}
		if held, ok := a.pending[start]; !ok || len(held.Text) < len(e.Text) {
			a.pending[start] = wireEvent{Offset: start, Text: e.Text}
		}
		return nil
	}
	if err := a.deliver(start, e.Text); err != nil {
		return err
	}
	for progress := true; progress && len(a.pending) > 0; {
		progress = false
		for at, held := range a.pending {
			if at > a.offset {
				continue
			}
			delete(a.pending, at)
			progress = true
			if err := a.deliver(at, held.Text); err != nil {
				return err
			}
		}
	}
	return nil
}

// deliver hands over the part of text at start that was not delivered yet.
func (a *assembler) deliver(start int, text string) error {
	if start+len(text) <= a.offset {
		return nil
	}
	text = text[a.offset-start:]
	c := Chunk{Attempt: a.attempt, Offset: a.offset, Text: text}
	a.offset += len(text)
	a.sinkErr = a.sink.Chunk(c)
	return a.sinkErr
}

func (a *assembler) finish() error {
	u := a.end.Usage
	a.done = true
	a.sinkErr = a.sink.Chunk(Chunk{
		Attempt: a.attempt, Offset: a.offset, End: true,
		Usage: Usage{PromptTokens: u.PromptTokens, CachedTokens: u.CachedTokens, AnswerTokens: u.CompletionTokens},
	})
	return a.sinkErr
}
