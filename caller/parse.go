package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxAnswerTokens bounds max_tokens far above what engines generate for one request.
const maxAnswerTokens = 10_000_000

// Memory that parsing takes at most: the body, the decoded text and the prompt, and what each value of a list, each list and
// each object takes beyond its text. The sizes are those of an interface value in a list that grew, and of a small map.
const (
	parseFactor       = 3
	parseBytesElement = 64
	parseBytesList    = 128
	parseBytesObject  = 512
)

// parseBytes returns the memory that parsing body takes at most. A body of many small values takes far more than its length.
func parseBytes(body []byte) int {
	n := parseFactor * len(body)
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			i = stringEnd(body, i)
		case ',':
			n += parseBytesElement
		case '[':
			n += parseBytesList
		case '{':
			n += parseBytesObject
		}
	}
	return n
}

// stringEnd returns the position of the quote that ends the string which begins at start, or the last position.
func stringEnd(body []byte, start int) int {
	for i := start + 1; ; {
		quote := bytes.IndexByte(body[i:], '"')
		if quote < 0 {
			return len(body) - 1
		}
		end := i + quote
		slashes := end
		for slashes > start+1 && body[slashes-1] == '\\' {
			slashes--
		}
		if (end-slashes)%2 == 0 {
			return end
		}
		i = end + 1
	}
}

// generationRequest is the body of /v1/completions and /v1/chat/completions. Fields that it does not have are ignored, as
// sampling parameters are: engines take none. Fields that would change the form or the end of the answer are refused. A prompt
// is decoded into any rather than json.RawMessage, which would copy it once more and scan it twice more.
type generationRequest struct {
	Model               any           `json:"model"`
	Prompt              any           `json:"prompt"`
	Messages            any           `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	N                   *int          `json:"n"`
	BestOf              *int          `json:"best_of"`
	Echo                any           `json:"echo"`
	Suffix              any           `json:"suffix"`
	Stop                any           `json:"stop"`
	Logprobs            any           `json:"logprobs"`
	Tools               any           `json:"tools"`
	Functions           any           `json:"functions"`
	ResponseFormat      any           `json:"response_format"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
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
	if err := unmarshal(body, &r); err != nil {
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
	for _, f := range []struct {
		name  string
		value any
	}{
		{"echo", r.Echo}, {"suffix", r.Suffix}, {"stop", r.Stop}, {"logprobs", r.Logprobs}, {"tools", r.Tools},
		{"functions", r.Functions}, {"response_format", r.ResponseFormat},
	} {
		if !isDefault(f.value) {
			return fmt.Errorf("field %s is not supported", f.name)
		}
	}
	return nil
}

// isDefault says whether a field has a value that asks for nothing.
func isDefault(value any) bool {
	switch v := value.(type) {
	case nil:
		return true
	case bool:
		return !v
	case string:
		return v == ""
	case []any:
		return len(v) == 0
	case map[string]any:
		return len(v) == 1 && v["type"] == "text"
	default:
		return false
	}
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
func decodePrompt(value any) ([]byte, error) {
	const field = "prompt"
	if list, ok := value.([]any); ok {
		if len(list) != 1 {
			return nil, fmt.Errorf("field %s has to be one string, not a list of %d values", field, len(list))
		}
		value = list[0]
	}
	text, err := decodeString(field, value)
	return []byte(text), err
}

// joinMessages makes one prompt of a chat: for each message a line with its role and a colon, then its text. The last line
// asks for the assistant's answer.
func joinMessages(value any) ([]byte, error) {
	messages, ok := value.([]any)
	if !ok || len(messages) == 0 {
		return nil, errors.New("field messages has to be a list of at least one message")
	}
	var prompt bytes.Buffer
	for i, m := range messages {
		field := fmt.Sprintf("messages[%d]", i)
		fields, ok := m.(map[string]any)
		if !ok {
			return nil, wrongKind(field, "an object", m)
		}
		role, err := decodeString(field+".role", fields["role"])
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
		if err := appendContent(&prompt, field+".content", fields["content"]); err != nil {
			return nil, err
		}
		prompt.WriteByte('\n')
	}
	prompt.WriteString("assistant:\n")
	return prompt.Bytes(), nil
}

// appendContent adds a message's text: a string, or a list of parts of type text.
func appendContent(prompt *bytes.Buffer, field string, value any) error {
	parts, ok := value.([]any)
	if !ok {
		text, err := decodeText(field, value)
		prompt.WriteString(text)
		return err
	}
	for i, p := range parts {
		part := fmt.Sprintf("%s[%d]", field, i)
		fields, ok := p.(map[string]any)
		if !ok {
			return wrongKind(part, "an object", p)
		}
		if fields["type"] != "text" {
			return fmt.Errorf("field %s.type has to be text", part)
		}
		text, err := decodeText(part+".text", fields["text"])
		if err != nil {
			return err
		}
		prompt.WriteString(text)
	}
	return nil
}

// decodeString reads a string that must not be empty.
func decodeString(field string, value any) (string, error) {
	text, err := decodeText(field, value)
	if err == nil && text == "" {
		err = fmt.Errorf("field %s must not be empty", field)
	}
	return text, err
}

func decodeText(field string, value any) (string, error) {
	if text, ok := value.(string); ok {
		return text, nil
	}
	return "", wrongKind(field, "a string", value)
}

func wrongKind(field, want string, value any) error {
	var kind string
	switch value.(type) {
	case nil:
		return fmt.Errorf("field %s is required", field)
	case string:
		kind = "a string"
	case []any:
		kind = "a list"
	case map[string]any:
		kind = "an object"
	case bool:
		kind = "a truth value"
	default:
		kind = "a number"
	}
	return fmt.Errorf("field %s has to be %s, not %s", field, want, kind)
}

// unmarshal reads JSON and turns the decoder's errors into texts that name the field.
func unmarshal(data []byte, v any) error {
	err := json.Unmarshal(data, v)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &syntax):
		return fmt.Errorf("the body is not valid JSON at byte %d: %s", syntax.Offset, syntax)
	case errors.As(err, &wrongType) && wrongType.Field == "":
		return fmt.Errorf("the body has to be an object, not %s", wrongType.Value)
	case errors.As(err, &wrongType):
		return fmt.Errorf("field %s has to be %s, not %s", wrongType.Field, wantedKind(wrongType), wrongType.Value)
	default:
		return err
	}
}

func wantedKind(e *json.UnmarshalTypeError) string {
	switch e.Type.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number in range"
	case reflect.Bool:
		return "true or false"
	default:
		return "an object"
	}
}
