package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxAnswerTokens bounds max_tokens far above what engines generate for one request.
const maxAnswerTokens = 10_000_000

// parseFactor is the memory that parsing takes, in lengths of the body: the body, the raw value, the decoded string and the
// prompt.
const parseFactor = 4

// generationRequest is the body of /v1/completions and /v1/chat/completions. Fields that it does not have are ignored, as
// sampling parameters are: engines take none. Fields that would change the form or the end of the answer are refused.
type generationRequest struct {
	Model               json.RawMessage   `json:"model"`
	Prompt              json.RawMessage   `json:"prompt"`
	Messages            []json.RawMessage `json:"messages"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	StreamOptions       streamOptions     `json:"stream_options"`
	N                   *int              `json:"n"`
	BestOf              *int              `json:"best_of"`
	Echo                bool              `json:"echo"`
	Suffix              json.RawMessage   `json:"suffix"`
	Stop                json.RawMessage   `json:"stop"`
	Logprobs            json.RawMessage   `json:"logprobs"`
	Tools               json.RawMessage   `json:"tools"`
	Functions           json.RawMessage   `json:"functions"`
	ResponseFormat      json.RawMessage   `json:"response_format"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    json.RawMessage `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type json.RawMessage `json:"type"`
	Text json.RawMessage `json:"text"`
}

// generation is a parsed request for a completion.
type generation struct {
	model        string
	prompt       []byte
	maxTokens    int
	chat         bool
	stream       bool
	includeUsage bool
}

// parseGeneration reads a request's body. The error is a text for the caller that names the field.
func parseGeneration(body []byte, chat bool, defaultTokens int) (*generation, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("the body is not valid UTF-8")
	}
	var r generationRequest
	if err := unmarshal("", body, &r); err != nil {
		return nil, err
	}
	if err := r.checkSupported(); err != nil {
		return nil, err
	}
	g := &generation{chat: chat, stream: r.Stream, includeUsage: r.StreamOptions.IncludeUsage}
	var err error
	if g.model, err = decodeString("model", r.Model); err != nil {
		return nil, err
	}
	if g.maxTokens, err = r.answerLimit(defaultTokens); err != nil {
		return nil, err
	}
	if chat {
		g.prompt, err = joinMessages(r.Messages)
	} else {
		g.prompt, err = decodePrompt(r.Prompt)
	}
	return g, err
}

func (r *generationRequest) checkSupported() error {
	for _, f := range []struct {
		name  string
		value *int
	}{{"n", r.N}, {"best_of", r.BestOf}} {
		if f.value != nil && *f.value != 1 {
			return fmt.Errorf("field %s has to be 1", f.name)
		}
	}
	if r.Echo {
		return errors.New("field echo is not supported")
	}
	for _, f := range []struct {
		name  string
		value json.RawMessage
	}{
		{"suffix", r.Suffix}, {"stop", r.Stop}, {"logprobs", r.Logprobs}, {"tools", r.Tools},
		{"functions", r.Functions}, {"response_format", r.ResponseFormat},
	} {
		switch string(f.value) {
		case "", "null", "false", "[]", `""`, `{"type":"text"}`, `{"type": "text"}`:
		default:
			return fmt.Errorf("field %s is not supported", f.name)
		}
	}
	return nil
}

func (r *generationRequest) answerLimit(defaultTokens int) (int, error) {
	name, value := "max_tokens", r.MaxTokens
	if r.MaxCompletionTokens != nil {
		name, value = "max_completion_tokens", r.MaxCompletionTokens
	}
	switch {
	case value == nil:
		return defaultTokens, nil
	case *value < 1 || *value > maxAnswerTokens:
		return 0, fmt.Errorf("field %s has to be from 1 to %d", name, maxAnswerTokens)
	default:
		return *value, nil
	}
}

// decodePrompt reads a string or a list of one string.
func decodePrompt(raw json.RawMessage) ([]byte, error) {
	const field = "prompt"
	if kindOf(raw) == "a list" {
		var list []json.RawMessage
		if err := unmarshal(field, raw, &list); err != nil {
			return nil, err
		}
		if len(list) != 1 {
			return nil, fmt.Errorf("field %s has to be one string, not a list of %d values", field, len(list))
		}
		raw = list[0]
	}
	text, err := decodeString(field, raw)
	return []byte(text), err
}

// joinMessages makes one prompt of a chat: for each message a line with its role and a colon, then its text. The last line
// asks for the assistant's answer.
func joinMessages(messages []json.RawMessage) ([]byte, error) {
	if len(messages) == 0 {
		return nil, errors.New("field messages has to be a list of at least one message")
	}
	var prompt bytes.Buffer
	for i, raw := range messages {
		field := fmt.Sprintf("messages[%d]", i)
		var m chatMessage
		if err := unmarshal(field, raw, &m); err != nil {
			return nil, err
		}
		role, err := decodeString(field+".role", m.Role)
		if err != nil {
			return nil, err
		}
		switch role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return nil, fmt.Errorf("field %s.role has to be system, developer, user, assistant or tool", field)
		}
		prompt.WriteString(role)
		prompt.WriteString(":\n")
		if err := appendContent(&prompt, field+".content", m.Content); err != nil {
			return nil, err
		}
		prompt.WriteByte('\n')
	}
	prompt.WriteString("assistant:\n")
	return prompt.Bytes(), nil
}

// appendContent adds a message's text: a string, or a list of parts of type text.
func appendContent(prompt *bytes.Buffer, field string, raw json.RawMessage) error {
	if kindOf(raw) != "a list" {
		text, err := decodeText(field, raw)
		prompt.WriteString(text)
		return err
	}
	var parts []contentPart
	if err := unmarshal(field, raw, &parts); err != nil {
		return err
	}
	for i, p := range parts {
		part := fmt.Sprintf("%s[%d]", field, i)
		kind, err := decodeString(part+".type", p.Type)
		if err != nil {
			return err
		}
		if kind != "text" {
			return fmt.Errorf("field %s.type has to be text", part)
		}
		text, err := decodeText(part+".text", p.Text)
		if err != nil {
			return err
		}
		prompt.WriteString(text)
	}
	return nil
}

// decodeString reads a string that must not be empty.
func decodeString(field string, raw json.RawMessage) (string, error) {
	text, err := decodeText(field, raw)
	if err == nil && text == "" {
		err = fmt.Errorf("field %s must not be empty", field)
	}
	return text, err
}

func decodeText(field string, raw json.RawMessage) (string, error) {
	kind := kindOf(raw)
	if kind == "" {
		return "", fmt.Errorf("field %s is required", field)
	}
	if kind != "a string" {
		return "", fmt.Errorf("field %s has to be a string, not %s", field, kind)
	}
	var text string
	err := unmarshal(field, raw, &text)
	return text, err
}

// kindOf names the kind of a valid JSON value, or "" where there is none.
func kindOf(raw json.RawMessage) string {
	if len(raw) == 0 {
		return ""
	}
	switch raw[0] {
	case '"':
		return "a string"
	case '[':
		return "a list"
	case '{':
		return "an object"
	case 't', 'f':
		return "a truth value"
	case 'n':
		return ""
	default:
		return "a number"
	}
}

// unmarshal reads JSON and turns the decoder's errors into texts that name the field.
func unmarshal(field string, data []byte, v any) error {
	err := json.Unmarshal(data, v)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &syntax):
		return fmt.Errorf("the body is not valid JSON at byte %d: %s", syntax.Offset, syntax)
	case errors.As(err, &wrongType):
		name := field
		if wrongType.Field != "" && field != "" {
			name += "."
		}
		name += wrongType.Field
		if name == "" {
			return fmt.Errorf("the body has to be an object, not %s", wrongType.Value)
		}
		return fmt.Errorf("field %s has to be %s, not %s", name, wantedKind(wrongType), wrongType.Value)
	default:
		return err
	}
}

func wantedKind(e *json.UnmarshalTypeError) string {
	switch e.Type.Kind().String() {
	case "int":
		return "a whole number"
	case "bool":
		return "true or false"
	case "slice":
		return "a list"
	case "string":
		return "a string"
	default:
		return "an object"
	}
}
