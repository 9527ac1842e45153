// Package service speaks to plain services, which are routed to byte for byte.
//
// Every method but GET, HEAD and OPTIONS is non-idempotent unless the service's configuration says otherwise for a path, see
// [Idempotent]. A [Client] sends each call at most once and says with its error whether the call may have run. A [Picker]
// selects the instance for a call.
package service
