package caller

import (
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestpath/engine"
)

// answer is a completion, a chat completion, or a chunk of either, in the OpenAI format.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice has Text in completions, Message in chat completions, and Delta in chunks of chat completions.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Logprobs     *string  `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          tokenDetails `json:"prompt_tokens_details"`
}

type tokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// answerBuilder builds the JSON documents of one answer.
type answerBuilder struct {
	id, model    string
	created      int64
	maxTokens    int
	chat         bool
	includeUsage bool
}

func newAnswerBuilder(g *generationParams, c *engine.Completion) *answerBuilder {
	prefix := "cmpl-"
	if g.chat {
		prefix = "chatcmpl-"
	}
	return &answerBuilder{
		id: prefix + c.ID, model: c.Model, created: time.Now().Unix(), maxTokens: c.MaxTokens,
		chat: g.chat, includeUsage: g.includeUsage,
	}
}

// document returns the complete answer.
func (b *answerBuilder) document(text string, u engine.Usage) answer {
	object, c := "text_completion", choice{Text: &text}
	if b.chat {
		object, c = "chat.completion", choice{Message: &message{Role: "assistant", Content: &text}}
	}
	c.FinishReason = b.finishReason(u)
	a := b.answer(object, c)
	a.Usage = newUsage(u)
	return a
}

// openingChunk returns the chunk that precedes the first text. It is nil unless the answer is a chat completion.
func (b *answerBuilder) openingChunk() any {
	if !b.chat {
		return nil
	}
	empty := ""
	return b.chunk(choice{Delta: &message{Role: "assistant", Content: &empty}})
}

// textChunk returns a chunk that carries text.
func (b *answerBuilder) textChunk(text string) answer {
	if b.chat {
		return b.chunk(choice{Delta: &message{Content: &text}})
	}
	return b.chunk(choice{Text: &text})
}

// closingChunks returns the chunks that follow the last text.
func (b *answerBuilder) closingChunks(u engine.Usage) []answer {
	last := choice{FinishReason: b.finishReason(u)}
	if b.chat {
		last.Delta = &message{}
	} else {
		empty := ""
		last.Text = &empty
	}
	answers := []answer{b.chunk(last)}
	if b.includeUsage {
		a := b.chunk()
		a.Usage = newUsage(u)
		answers = append(answers, a)
	}
	return answers
}

func (b *answerBuilder) chunk(choices ...choice) answer {
	if b.chat {
		return b.answer("chat.completion.chunk", choices...)
	}
	return b.answer("text_completion", choices...)
}

func (b *answerBuilder) answer(object string, choices ...choice) answer {
	if choices == nil {
		choices = []choice{}
	}
	return answer{ID: b.id, Object: object, Created: b.created, Model: b.model, Choices: choices}
}

// finishReason returns "length" if the answer used all tokens of its limit, and "stop" otherwise.
func (b *answerBuilder) finishReason(u engine.Usage) *string {
	reason := "stop"
	if u.AnswerTokens >= b.maxTokens {
		reason = "length"
	}
	return &reason
}

func newUsage(u engine.Usage) *usage {
	return &usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.AnswerTokens,
		TotalTokens:      u.PromptTokens + u.AnswerTokens,
		Details:          tokenDetails{CachedTokens: u.CachedTokens},
	}
}

// listModels serves /v1/models.
func (x *exchange) listModels() {
	contract, refusal := x.contract()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range x.server.router.Models(contract) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "goldcrestpath"})
	}
	x.writeJSON(fasthttp.StatusOK, list)
}
