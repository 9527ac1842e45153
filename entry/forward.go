package entry

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/service"
)

// forwardAttempts is the largest number of VMs of another data centre to which one request is offered. The next VM is tried
// only if the request has certainly not been sent to the previous one.
const forwardAttempts = 3

type forwardedKey struct{}

// Forwarded reports whether a request was forwarded by another data centre. Such a request is not forwarded again.
func Forwarded(ctx context.Context) bool {
	v, _ := ctx.Value(forwardedKey{}).(bool)
	return v
}

// forwardRequest is a completion that is forwarded to another data centre. It contains the remaining time instead of a
// deadline, because the clocks of VMs differ.
type forwardRequest struct {
	ID           string        `cbor:"id"`
	Customer     string        `cbor:"customer"`
	Model        string        `cbor:"model"`
	Prompt       []byte        `cbor:"prompt"`
	PromptTokens int           `cbor:"promptTokens"`
	MaxTokens    int           `cbor:"maxTokens"`
	Prefix       uint64        `cbor:"prefix"`
	Priority     int           `cbor:"priority"`
	TimeLeft     time.Duration `cbor:"timeLeft"`
	FirstToken   time.Duration `cbor:"firstToken,omitempty"`
	Idempotent   bool          `cbor:"idempotent,omitempty"`
}

// forwardMessage is one message of the answer. Done is set in the last one.
type forwardMessage struct {
	Chunk   engine.Chunk `cbor:"chunk"`
	Done    bool         `cbor:"done,omitempty"`
	Refusal *refusalWire `cbor:"refusal,omitempty"`
}

// Complete forwards a completion to an entry VM of another data centre. The error is a *customer.Refusal. Its verdict is
// notRun only if no byte of the request has left this VM or the other VM reported that verdict.
func (n *Node) Complete(ctx context.Context, dataCentre string, r *engine.Completion, sink engine.Sink) error {
	req := &forwardRequest{
		ID: r.ID, Customer: r.Customer, Model: r.Model, Prompt: r.Prompt, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		Prefix: r.Prefix, Priority: r.Priority, TimeLeft: time.Until(r.Deadline), FirstToken: r.TTFTTarget, Idempotent: r.Idempotent,
	}
	return n.forwardTo(ctx, dataCentre, func(ctx context.Context, c *grpc.ClientConn) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stream, err := c.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, methodPath("forward"))
		if err != nil {
			return err
		}
		if err := stream.SendMsg(req); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err := stream.CloseSend(); err != nil {
			return err
		}
		for {
			msg := new(forwardMessage)
			if err := stream.RecvMsg(msg); err != nil {
				return err
			}
			if msg.Done {
				if ref := msg.Refusal.refusal(); ref != nil {
					return ref
				}
				return nil
			}
			if err := sink.Chunk(msg.Chunk); err != nil {
				return customer.Fail(customer.ReasonCallerGone, err.Error())
			}
		}
	})
}

// forwardTo calls attempt for VMs of a data centre in turn until one attempt succeeds or may have sent the request.
func (n *Node) forwardTo(ctx context.Context, dataCentre string, attempt func(context.Context, *grpc.ClientConn) error) error {
	v := n.view.Load()
	if v.drained("dataCentre/" + dataCentre) {
		return customer.Refuse(customer.ReasonDrained, "data centre "+dataCentre+" is drained")
	}
	contacts := v.contacts[dataCentre]
	for _, m := range contacts[:min(len(contacts), forwardAttempts)] {
		c, err := n.transport.conn(m.vm.Address)
		if err != nil {
			break
		}
		tracked, flag := trackSent(ctx)
		err = attempt(tracked, c)
		if err == nil {
			return nil
		}
		var ref *customer.Refusal
		if errors.As(err, &ref) {
			return ref
		}
		if flag.sent.Load() {
			return customer.Fail(customer.ReasonForwardUnavailable, "the answer from data centre "+dataCentre+" was lost: "+err.Error())
		}
		if ctx.Err() != nil {
			return customer.Refuse(customer.ReasonCallerGone, "the request was cancelled before it was forwarded")
		}
	}
	return customer.Refuse(customer.ReasonForwardUnavailable, "no VM of data centre "+dataCentre+" can be reached")
}

// forwardSink sends chunks to the VM that forwarded the request.
type forwardSink struct{ stream grpc.ServerStream }

// Chunk implements engine.Sink.
func (s forwardSink) Chunk(c engine.Chunk) error { return s.stream.SendMsg(&forwardMessage{Chunk: c}) }

// handleForward serves a completion that another data centre forwarded. It reports errors in the last message of the
// stream, so that their verdicts are not lost.
func handleForward(srv any, stream grpc.ServerStream) error {
	n := srv.(*Node)
	req := new(forwardRequest)
	if err := stream.RecvMsg(req); err != nil {
		return err
	}
	final := &forwardMessage{Done: true}
	if n.opts.forwardHandler == nil {
		final.Refusal = refusalToWire(customer.Refuse(customer.ReasonNotReady, "the VM does not serve forwarded requests"))
		return stream.SendMsg(final)
	}
	c := &engine.Completion{
		ID: req.ID, Customer: req.Customer, Model: req.Model, Prompt: req.Prompt, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens,
		Prefix: req.Prefix, Priority: req.Priority, Deadline: time.Now().Add(req.TimeLeft), TTFTTarget: req.FirstToken, Idempotent: req.Idempotent,
	}
	ctx := context.WithValue(stream.Context(), forwardedKey{}, true)
	if err := n.opts.forwardHandler.Complete(ctx, c, forwardSink{stream}); err != nil {
		final.Refusal = refusalToWire(customer.AsRefusal(err))
	}
	return stream.SendMsg(final)
}

// callRequest is a service call that is forwarded to another data centre.
type callRequest struct {
	ID       string           `cbor:"id"`
	Customer string           `cbor:"customer"`
	Service  string           `cbor:"service"`
	Method   string           `cbor:"method"`
	Path     string           `cbor:"path"`
	Headers  []service.Header `cbor:"headers,omitempty"`
	Body     []byte           `cbor:"body,omitempty"`
	Key      string           `cbor:"key,omitempty"`
	Strict   bool             `cbor:"strict,omitempty"`
	TimeLeft time.Duration    `cbor:"timeLeft"`
}

type callReply struct {
	Response *service.Response `cbor:"response,omitempty"`
	Refusal  *refusalWire      `cbor:"refusal,omitempty"`
}

// Call forwards a service call to an entry VM of another data centre. Errors are as in [Node.Complete].
func (n *Node) Call(ctx context.Context, dataCentre string, r *service.Request) (*service.Response, error) {
	req := &callRequest{
		ID: r.ID, Customer: r.Customer, Service: r.Service, Method: r.Method, Path: r.Path, Headers: r.Headers,
		Body: r.Body, Key: r.IdempotencyKey, Strict: r.NeverRetry, TimeLeft: time.Until(r.Deadline),
	}
	var res *service.Response
	err := n.forwardTo(ctx, dataCentre, func(ctx context.Context, c *grpc.ClientConn) error {
		rep := new(callReply)
		if err := c.Invoke(ctx, methodPath("call"), req, rep); err != nil {
			return err
		}
		if ref := rep.Refusal.refusal(); ref != nil {
			return ref
		}
		if rep.Response == nil {
			return errors.New("the answer contains no response")
		}
		res = rep.Response
		return nil
	})
	if err != nil {
		return nil, err
	}
	return res, nil
}

// handleCall makes a service call that another data centre forwarded. It reports errors in the reply, so that their
// verdicts are not lost.
func (n *Node) handleCall(ctx context.Context, req *callRequest) (*callReply, error) {
	if n.opts.forwardHandler == nil {
		return &callReply{Refusal: refusalToWire(customer.Refuse(customer.ReasonNotReady, "the VM does not serve forwarded requests"))}, nil
	}
	r := &service.Request{
		ID: req.ID, Customer: req.Customer, Service: req.Service, Method: req.Method, Path: req.Path, Headers: req.Headers,
		Body: req.Body, IdempotencyKey: req.Key, NeverRetry: req.Strict, Deadline: time.Now().Add(req.TimeLeft),
	}
	res, err := n.opts.forwardHandler.Call(context.WithValue(ctx, forwardedKey{}, true), r)
	if err != nil {
		return &callReply{Refusal: refusalToWire(customer.AsRefusal(err))}, nil
	}
	return &callReply{Response: res}, nil
}
