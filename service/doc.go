// Package service implements calls to plain services. It passes requests and responses on unchanged, except for hop-by-hop
// headers.
//
// All methods except GET, HEAD and OPTIONS count as non-idempotent unless the service's configuration says otherwise for a
// path; see [MayRetry]. A [Client] sends each call at most once, and its errors state whether the call may have run. A
// [Selector] selects the instance for a call.
package service
