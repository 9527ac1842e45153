package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Limits of the event stream parser.
const (
	maxLineBytes  = 1 << 20 // for one line and for the data of one event
	maxOutOfOrder = 64      // chunks buffered while an earlier one is missing
)

// Errors of an event stream after which it can be resumed at the assembler's offset.
var (
	errTruncated    = errors.New("stream ended without an end mark")
	errMissingChunk = errors.New("stream is missing a chunk")
	errMalformed    = errors.New("stream contains a malformed event")
)

// errInstance means that the engine restarted during the stream and cannot continue the answer.
var errInstance = errors.New("engine was restarted during the stream")

// wireEvent is the JSON data of one event.
type wireEvent struct {
	Offset   int       `json:"offset"`
	Text     string    `json:"text"`
	Instance uint64    `json:"instance"`
	End      bool      `json:"end"`
	Usage    wireUsage `json:"usage"`
}

// wireUsage is the token usage in the end mark.
type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// assembler reassembles one answer from the events of one or more connections. It delivers the text to the sink in order,
// without gaps or repetitions, and the end mark only after the whole text.
type assembler struct {
	attempt    int
	sink       Sink
	offset     int               // length of the delivered text in bytes
	instance   uint64            // instance of the engine, or 0 until an event names it
	outOfOrder map[int]wireEvent // chunks that arrived before an earlier one, by offset
	endMark    *wireEvent        // end mark, if it has arrived on this connection; Offset is the length of the whole text
	done       bool              // the end mark was delivered
	sinkErr    error             // last result of the sink
}

// read delivers the events of one connection. It returns nil once the end mark has been delivered.
func (a *assembler) read(r io.Reader) error {
	clear(a.outOfOrder) // a resumed stream repeats everything after the offset
	a.endMark = nil
	lines := bufio.NewReaderSize(r, 4<<10)
	var data []byte
	hasData := false
	for {
		line, err := readLine(lines)
		if err != nil {
			// An event without its closing blank line is incomplete and is dropped.
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
			if err := a.handleEvent(data); err != nil || a.done {
				return err
			}
			data, hasData = data[:0], false
		case bytes.HasPrefix(line, []byte("data:")):
			if hasData {
				data = append(data, '\n')
			}
			hasData = true
			data = append(data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
			if len(data) > maxLineBytes {
				return errMalformed
			}
		}
	}
}

// readLine returns the next line without its line break, which is LF or CR LF.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			if line = append(line, fragment...); len(line) > maxLineBytes {
				return nil, errMalformed
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		if line != nil {
			fragment = append(line, fragment...)
		}
		return bytes.TrimSuffix(fragment[:len(fragment)-1], []byte("\r")), nil
	}
}

// handleEvent processes the data of one event. It sets done when the answer is complete.
func (a *assembler) handleEvent(data []byte) error {
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
			return errMalformed // the text is shorter than what was already delivered
		}
		a.endMark = &e
	}
	if err := a.handleText(e); err != nil {
		return err
	}
	if a.endMark == nil {
		return nil
	}
	switch {
	case a.offset == a.endMark.Offset:
		return a.finish()
	case a.offset > a.endMark.Offset:
		return errMalformed
	}
	return nil
}

// handleText delivers the text of e if there is no gap between it and the text delivered so far, and then the buffered chunks
// that have become deliverable. Otherwise it buffers the text.
func (a *assembler) handleText(e wireEvent) error {
	start := e.Offset
	if e.End {
		start -= len(e.Text)
	}
	if start > a.offset {
		if e.Text == "" {
			return nil
		}
		if len(a.outOfOrder) >= maxOutOfOrder {
			return errMissingChunk
		}
		if a.outOfOrder == nil {
			a.outOfOrder = make(map[int]wireEvent)
		}
		if buffered, ok := a.outOfOrder[start]; !ok || len(buffered.Text) < len(e.Text) {
			a.outOfOrder[start] = wireEvent{Offset: start, Text: e.Text}
		}
		return nil
	}
	if err := a.deliver(start, e.Text); err != nil {
		return err
	}
	for progress := true; progress && len(a.outOfOrder) > 0; {
		progress = false
		for offset, buffered := range a.outOfOrder {
			if offset > a.offset {
				continue
			}
			delete(a.outOfOrder, offset)
			progress = true
			if err := a.deliver(offset, buffered.Text); err != nil {
				return err
			}
		}
	}
	return nil
}

// deliver passes the text that begins at offset start to the sink, without the beginning that was already delivered.
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

// finish delivers the end mark.
func (a *assembler) finish() error {
	u := a.endMark.Usage
	a.done = true
	a.sinkErr = a.sink.Chunk(Chunk{
		Attempt: a.attempt, Offset: a.offset, End: true,
		Usage: Usage{PromptTokens: u.PromptTokens, CachedTokens: u.CachedTokens, AnswerTokens: u.CompletionTokens},
	})
	return a.sinkErr
}
