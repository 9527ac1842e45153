package entry

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	errStopped       = status.Error(codes.Unavailable, "the VM is stopping")
	errUnknownMember = status.Error(codes.NotFound, "no member has this address")
)

// serviceDesc describes the RPCs between VMs. It is written by hand, because there is no code generator for the CBOR
// messages.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{
		unary("probe", (*Node).handleProbe),
		unary("probeIndirect", (*Node).handleIndirect),
		unary("lend", (*Node).handleLease),
		unary("grant", (*Node).handleGrant),
		unary("renew", (*Node).handleRenew),
		unary("release", (*Node).handleRelease),
		unary("sync", (*Node).handleSync),
		unary("call", (*Node).handleCall),
		unary("quota", (*Node).handleQuota),
	},
	Streams: []grpc.StreamDesc{{StreamName: "forward", Handler: handleForward, ServerStreams: true}},
}
