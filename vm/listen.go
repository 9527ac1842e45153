package vm

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"goldcrestpath/caller"
	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/entry"
	"goldcrestpath/service"
)

var (
	_ caller.Router        = (*VM)(nil)
	_ entry.ForwardHandler = forwardServer{}
)

// startCaller opens the callers' listener.
func (v *VM) startCaller() error {
	cfg, err := v.settings.CallerTLS()
	if err != nil {
		return err
	}
	ln, err := listen(v.settings.CallerListen(), cfg)
	if err != nil {
		return errors.Wrap(err, "start callers' listener")
	}
	v.callerListen = ln
	v.callers = caller.NewServer(v, caller.WithRegistry(v.registry), caller.WithLogger(v.logger), caller.WithBodyLimit(v.settings.BodyLimit()))
	v.wg.Add(1)
	go func() {
		defer v.wg.Done()
		if err := v.callers.Serve(ln); err != nil && v.ctx.Err() == nil {
			v.logger.WithError(err).Error("vm: callers' listener failed")
		}
	}()
	return nil
}

// listen opens a TCP listener, with TLS if cfg is not nil.
func listen(address string, cfg *tls.Config) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	return ln, nil
}

// CallerAddress returns the address of the callers' listener.
func (v *VM) CallerAddress() string { return v.callerListen.Addr().String() }

// OperatorAddress returns the address of the operators' API, or "" if it is disabled.
func (v *VM) OperatorAddress() string {
	if v.operatorListen == nil {
		return ""
	}
	return v.operatorListen.Addr().String()
}

// PeerAddress returns the address of the peer listener.
func (v *VM) PeerAddress() string { return v.node.Address() }

// Contract implements caller.Router.
func (v *VM) Contract(apiKey string) (*customer.Contract, bool) {
	return v.view().directory.ByKey(apiKey)
}

// Models implements caller.Router.
func (v *VM) Models(c *customer.Contract) []string { return v.view().modelNames(c) }

// EstimateTokens implements caller.Router.
func (v *VM) EstimateTokens(model string, bytes int) int { return v.estimator.Estimate(model, bytes) }

// forwardServer serves requests forwarded from another data centre. They were admitted there, so the customer's
// contract is not checked again, and they are not forwarded again.
type forwardServer struct{ v *VM }

// Complete implements engine.Completer.
func (s forwardServer) Complete(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
	w := s.v.view()
	if w.drained(s.v.dataCentre) || s.v.stopping.Load() {
		return customer.Refuse(customer.ReasonDrained, "data centre "+s.v.dataCentre+" takes no new work")
	}
	s.v.forwarded.Add(1)
	defer s.v.forwarded.Add(-1)
	if refusal := s.v.newDispatch(c, sink).tryLocal(ctx, w, true); refusal != nil {
		return refusal
	}
	return nil
}

// Call implements service.Caller.
func (s forwardServer) Call(ctx context.Context, r *service.Request) (*service.Response, error) {
	w := s.v.view()
	if w.drained(s.v.dataCentre) || s.v.stopping.Load() {
		return nil, customer.Refuse(customer.ReasonDrained, "data centre "+s.v.dataCentre+" takes no new work")
	}
	s.v.forwarded.Add(1)
	defer s.v.forwarded.Add(-1)
	return s.v.callLocal(ctx, w, r)
}
