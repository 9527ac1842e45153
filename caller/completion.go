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

// prefixBytes is the length of a prompt's first block, whose hash determines cache affinity (docs/PROTOCOLS.md).
const prefixBytes = 1024

// generate serves /v1/chat/completions if chat is true, and /v1/completions otherwise.
func (x *exchange) generate(chat bool) {
	contract, refusal := x.contract()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	mem := x.server.bodyMemory.newReservation(contract.Name())
	g, c, refusal := x.newCompletion(contract, chat, mem)
	if refusal != nil {
		mem.release()
		x.refuse(refusal)
		return
	}
	ctx, cancel, stop := x.requestContext(c.Deadline)
	if g.stream {
		// The stream writer calls stop when the stream has ended.
		x.answerStream(ctx, cancel, stop, g, c, mem)
		return
	}
	defer stop()
	x.answerWhole(ctx, g, c, mem)
}

// newCompletion reads the request body and builds the completion. On success, mem has been reduced to the memory of
// the prompt.
func (x *exchange) newCompletion(contract *customer.Contract, chat bool, mem *reservation) (*generationParams, *engine.Completion, *customer.Refusal) {
	body, refusal := x.readBody(mem)
	if refusal != nil {
		return nil, nil, refusal
	}
	if need := maxParseMemory(body); !mem.resize(need) {
		return nil, nil, x.bodyMemoryRefusal(need)
	}
	g, err := parseGeneration(body, chat, x.server.defaultMaxTokens)
	if err != nil {
		return nil, nil, customer.Refuse(customer.ReasonBadRequest, err.Error())
	}
	mem.resize(len(g.prompt))
	if !contract.AllowsModel(g.model) {
		return nil, nil, customer.Refuse(customer.ReasonUnknownModel,
			fmt.Sprintf("model %q is not allowed; %s", g.model, contract.DescribeSetting("models")))
	}
	tokens := x.server.router.EstimateTokens(g.model, len(g.prompt))
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
		TTFTTarget:   limits.TTFTTarget(class),
		Idempotent:   true,
	}, nil
}

// answerWhole answers with one JSON document, which is sent only when the answer is complete.
func (x *exchange) answerWhole(ctx context.Context, g *generationParams, c *engine.Completion, mem *reservation) {
	var text strings.Builder
	sink := &answerSink{
		ctx:     ctx,
		emit:    func(s string) error { text.WriteString(s); return nil },
		discard: text.Reset,
	}
	usage, refusal := await(ctx, x.startCompletion(ctx, c, sink, mem))
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.writeJSON(fasthttp.StatusOK, newAnswerBuilder(g, c).document(text.String(), usage))
	x.recordAnswer(c.Deadline)
}

// answerStream answers with server-sent events. It sends nothing before the first text arrives, so that a request
// that is refused before then gets the HTTP status of the refusal.
func (x *exchange) answerStream(ctx context.Context, cancel context.CancelCauseFunc, stop func(), g *generationParams, c *engine.Completion, mem *reservation) {
	s := &eventStream{exchange: x, builder: newAnswerBuilder(g, c), deadline: c.Deadline, texts: make(chan string)}
	sink := &answerSink{ctx: ctx, emit: func(text string) error {
		select {
		case s.texts <- text:
			return nil
		case <-ctx.Done():
			return asRefusal(ctx, ctx.Err())
		}
	}}
	s.done = x.startCompletion(ctx, c, sink, mem)
	if refusal := s.awaitFirstText(ctx); refusal != nil {
		stop()
		x.refuse(refusal)
		return
	}
	x.ctx.SetContentType("text/event-stream")
	x.ctx.Response.Header.Set("Cache-Control", "no-cache")
	conn := x.ctx.Conn()
	s.extendWriteDeadline = func() { conn.SetWriteDeadline(time.Now().Add(x.server.writeTimeout)) }
	x.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer stop()
		s.out = w
		if err := s.writeEvents(ctx); err != nil {
			cancel(errCallerDisconnected)
			x.recordRefusal(errCallerDisconnected)
		}
	})
}
