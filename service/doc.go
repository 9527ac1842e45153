// Package service speaks to plain services, which are routed to byte for byte.
//
// Every method but GET, HEAD and OPTIONS is non-idempotent unless the service's configuration says otherwise for a path.
package service
