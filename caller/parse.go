package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxAnswerTokens is the largest accepted max_tokens. It is far above what engines generate for one request.
const maxAnswerTokens = 10_000_000

// Upper bounds of the memory that parsing takes, in bytes: for each byte of the body, which may be in the body, the
// decoded text and the prompt at the same time, and additionally for each list element, list and object. These
// additional sizes are those of an interface value in a list that has grown, and of a small map.
const (
	parseBytesPerByte    = 3
	parseBytesPerElement = 64
	parseBytesPerList    = 128
	parseBytesPerObject  = 512
)

// maxParseMemory returns an upper bound of the memory that parsing body takes, in bytes. A body of many small values
// takes far more than its length.
func maxParseMemory(body []byte) int {
	n := parseBytesPerByte * len(body)
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			i = stringEnd(body, i)
		case ',':
			n += parseBytesPerElement
		case '[':
			n += parseBytesPerList
		case '{':
			n += parseBytesPerObject
		}
	}
	return n
}

// stringEnd returns the index of the quote that ends the string starting at start, or the last index of body if the
// string has no end.
func stringEnd(body []byte, start int) int {
	for i := start + 1; ; {
		quote := bytes.IndexByte(body[i:], '"')
		if quote < 0 {
			return len(body) - 1
		}
		end := i + quote
		escapeStart := end
		for escapeStart > start+1 && body[escapeStart-1] == '\\' {
			escapeStart--
		}
		if (end-escapeStart)%2 == 0 {
			return end
		}
		i = end + 1
	}
}

// generationRequest is the body of /v1/completions and /v1/chat/completions. Other fields, such as sampling
// parameters, are ignored, because engines accept none. Fields that would change the form or the end of the answer
// are refused. The prompt is decoded into any rather than json.RawMessage, which would copy it once more and scan it
// twice more.
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

// generationParams is the parsed body of a completion request.
type generationParams struct {
	model        string
	prompt       []byte
	maxTokens    int
	chat         bool
	stream       bool
	includeUsage bool
}

// parseGeneration parses a request body. Its error is a message for the caller that names the field.
func parseGeneration(body []byte, chat bool, defaultLimit int) (*generationParams, error) {
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
	g := &generationParams{chat: chat, stream: r.Stream, includeUsage: r.StreamOptions.IncludeUsage}
	var err error
	if g.model, err = decodeString("model", r.Model); err != nil {
		return nil, err
	}
	if g.maxTokens, err = r.answerLimit(defaultLimit); err != nil {
		return nil, err
	}
	if chat {
		g.prompt, err = joinMessages(r.Messages)
	} else {
		g.prompt, err = decodePrompt(r.Prompt)
	}
	return g, err
}

// checkSupported returns an error if a field that would change the form or the end of the answer is set to a value other
// than its default.
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

// isDefault reports whether value has no effect: it is absent, false, empty, or the response format "text".
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

// answerLimit returns the maximum number of tokens of the answer.
func (r *generationRequest) answerLimit(defaultLimit int) (int, error) {
	name, value := "max_tokens", r.MaxTokens
	if r.MaxCompletionTokens != nil {
		name, value = "max_completion_tokens", r.MaxCompletionTokens
	}
	switch {
	case value == nil:
		return defaultLimit, nil
	case *value < 1 || *value > maxAnswerTokens:
		return 0, fmt.Errorf("field %s has to be from 1 to %d", name, maxAnswerTokens)
	default:
		return *value, nil
	}
}

// decodePrompt decodes a string or a list of one string.
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

// joinMessages converts the messages of a chat to one prompt. Each message becomes a line with its role and a colon,
// followed by its text. A last line with the role of the assistant asks for the answer.
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
			return nil, typeError(field, "an object", m)
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

// appendContent appends the text of a message to prompt. The content is a string, or a list of content parts of type
// text.
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
			return typeError(part, "an object", p)
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

// decodeString decodes a string that must not be empty.
func decodeString(field string, value any) (string, error) {
	text, err := decodeText(field, value)
	if err == nil && text == "" {
		err = fmt.Errorf("field %s must not be empty", field)
	}
	return text, err
}

// decodeText decodes a string that may be empty.
func decodeText(field string, value any) (string, error) {
	if text, ok := value.(string); ok {
		return text, nil
	}
	return "", typeError(field, "a string", value)
}

// typeError returns the error for a value that is missing or has another JSON type than wanted.
func typeError(field, want string, value any) error {
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
		kind = "a boolean"
	default:
		kind = "a number"
	}
	return fmt.Errorf("field %s has to be %s, not %s", field, want, kind)
}

// unmarshal decodes JSON and converts the decoder's errors to messages for the caller that name the field.
func unmarshal(data []byte, v any) error {
	err := json.Unmarshal(data, v)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &syntaxErr):
		return fmt.Errorf("the body is not valid JSON at byte %d: %s", syntaxErr.Offset, syntaxErr)
	case errors.As(err, &typeErr) && typeErr.Field == "":
		return fmt.Errorf("the body has to be an object, not %s", typeErr.Value)
	case errors.As(err, &typeErr):
		return fmt.Errorf("field %s has to be %s, not %s", typeErr.Field, expectedKind(typeErr), typeErr.Value)
	default:
		return err
	}
}

// expectedKind describes the JSON type that the field in e expects.
func expectedKind(e *json.UnmarshalTypeError) string {
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
