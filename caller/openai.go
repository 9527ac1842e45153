package caller

import (
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestpath/engine"
)

// answer is a completion, a chat completion or a chunk of either in the OpenAI shape.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice has Text in completions, Message in chat completions and Delta in chunks of chat completions.
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

// answerWriter builds the documents of one answer.
type answerWriter struct {
	id, model    string
	created      int64
	maxTokens    int
	chat         bool
	includeUsage bool
}

func newWriter(g *generation, c *engine.Completion) *answerWriter {
	prefix := "cmpl-"
	if g.chat {
		prefix = "chatcmpl-"
	}
	return &answerWriter{
		id: prefix + c.ID, model: c.Model, created: time.Now().Unix(), maxTokens: c.MaxTokens,
		chat: g.chat, includeUsage: g.includeUsage,
	}
}

// document returns the whole answer.
func (w *answerWriter) document(text string, u engine.Usage) answer {
	object, c := "text_completion", choice{Text: &text}
	if w.chat {
		object, c = "chat.completion", choice{Message: &message{Role: "assistant", Content: &text}}
	}
	c.FinishReason = w.finishReason(u)
	a := w.answer(object, c)
	a.Usage = newUsage(u)
	return a
}

// opening returns the chunk before the first text, or nil where there is none.
func (w *answerWriter) opening() any {
	if !w.chat {
		return nil
	}
	empty := ""
	return w.chunk(choice{Delta: &message{Role: "assistant", Content: &empty}})
}

// part returns the chunk of a text.
func (w *answerWriter) part(text string) answer {
	if w.chat {
		return w.chunk(choice{Delta: &message{Content: &text}})
	}
	return w.chunk(choice{Text: &text})
}

// closing returns the chunks after the last text.
func (w *answerWriter) closing(u engine.Usage) []answer {
	last := choice{FinishReason: w.finishReason(u)}
	if w.chat {
		last.Delta = &message{}
	} else {
		empty := ""
		last.Text = &empty
	}
	answers := []answer{w.chunk(last)}
	if w.includeUsage {
		a := w.chunk()
		a.Usage = newUsage(u)
		answers = append(answers, a)
	}
	return answers
}

func (w *answerWriter) chunk(choices ...choice) answer {
	if w.chat {
		return w.answer("chat.completion.chunk", choices...)
	}
	return w.answer("text_completion", choices...)
}

func (w *answerWriter) answer(object string, choices ...choice) answer {
	if choices == nil {
		choices = []choice{}
	}
	return answer{ID: w.id, Object: object, Created: w.created, Model: w.model, Choices: choices}
}

// finishReason is length where the answer used its whole limit.
func (w *answerWriter) finishReason(u engine.Usage) *string {
	reason := "stop"
	if u.AnswerTokens >= w.maxTokens {
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
	x.json(fasthttp.StatusOK, list)
}
