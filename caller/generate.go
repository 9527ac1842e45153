package caller

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// prefixBytes is the length of the prompt's first block, whose hash steers cache affinity (docs/PROTOCOLS.md).
const prefixBytes = 1024

// generate serves /v1/completions and /v1/chat/completions.
func (x *exchange) generate(chat bool) {
	contract, refusal := x.contract()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	h := x.server.memory.hold(contract.Name())
	g, c, refusal := x.completion(contract, chat, h)
	if refusal != nil {
		h.release()
		x.refuse(refusal)
		return
	}
	ctx, cancel, stop := x.context(c.Deadline)
	if g.stream {
		// The stream's writer stops the watch when the stream has ended.
		x.answerStream(ctx, cancel, stop, g, c, h)
		return
	}
	defer stop()
	x.answerWhole(ctx, g, c, h)
}

// completion reads the request's body and builds the completion. The hold has the prompt's memory afterwards.
func (x *exchange) completion(contract *customer.Contract, chat bool, h *hold) (*generation, *engine.Completion, *customer.Refusal) {
	body, refusal := x.readBody(h)
	if refusal != nil {
		return nil, nil, refusal
	}
	if need := parseBytes(body); !h.resize(need) {
		return nil, nil, x.noMemory(need)
	}
	g, err := parseGeneration(body, chat, x.server.maxTokens)
	if err != nil {
		return nil, nil, customer.Refuse(customer.ReasonBadRequest, err.Error())
	}
	h.resize(len(g.prompt))
	if !contract.AllowsModel(g.model) {
		return nil, nil, customer.Refuse(customer.ReasonUnknownModel,
			fmt.Sprintf("model %q is not allowed; %s", g.model, contract.Line("models")))
	}
	tokens := x.server.router.Estimate(g.model, len(g.prompt))
	limits, class := contract.Limits(), customer.ClassOf(tokens)
	deadline, refusal := x.deadline(time.Now(), limits.Deadline(class))
	if refusal != nil {
		return nil, nil, refusal
	}
	return g, &engine.Completion{
		ID:           x.uniqueID,
		Customer:     contract.Name(),
		Model:        g.model,
		Prompt:       g.prompt,
		PromptTokens: tokens,
		MaxTokens:    g.maxTokens,
		Prefix:       xxhash.Sum64(g.prompt[:min(prefixBytes, len(g.prompt))]),
		Priority:     contract.Priority(),
		Deadline:     deadline,
		FirstToken:   limits.FirstToken(class),
		Idempotent:   true,
	}, nil
}

// answerWhole answers with one JSON document. Nothing is sent before the answer is whole.
func (x *exchange) answerWhole(ctx context.Context, g *generation, c *engine.Completion, h *hold) {
	var text strings.Builder
	d := &delivery{
		ctx:   ctx,
		emit:  func(s string) error { text.WriteString(s); return nil },
		reset: text.Reset,
	}
	usage, refusal := await(ctx, x.complete(ctx, c, d, h))
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.json(fasthttp.StatusOK, newWriter(g, c).document(text.String(), usage))
	x.answered(c.Deadline)
}

// answerStream answers with server-sent events. It waits for the first text, so that a request that is refused before it
// gets the HTTP status of the refusal.
func (x *exchange) answerStream(ctx context.Context, cancel context.CancelCauseFunc, stop func(), g *generation, c *engine.Completion, h *hold) {
	s := &stream{exchange: x, writer: newWriter(g, c), deadline: c.Deadline, texts: make(chan string)}
	d := &delivery{ctx: ctx, emit: func(text string) error {
		select {
		case s.texts <- text:
			return nil
		case <-ctx.Done():
			return asRefusal(ctx, ctx.Err())
		}
	}}
	s.done = x.complete(ctx, c, d, h)
	if refusal := s.begin(ctx); refusal != nil {
		stop()
		x.refuse(refusal)
		return
	}
	x.ctx.SetContentType("text/event-stream")
	x.ctx.Response.Header.Set("Cache-Control", "no-cache")
	conn := x.ctx.Conn()
	s.extend = func() { conn.SetWriteDeadline(time.Now().Add(x.server.writeTimeout)) }
	x.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer stop()
		s.out = w
		if err := s.serve(ctx); err != nil {
			cancel(errCallerGone)
			x.count(errCallerGone)
		}
	})
}
