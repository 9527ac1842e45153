package service

import "strings"

// Idempotent says whether the call r may be repeated at s after it may have run. GET, HEAD and OPTIONS may, other methods
// only where a rule "METHOD /path/prefix" of the configuration matches. A strict call may not.
func Idempotent(s Spec, r *Request) bool {
	if r.Strict {
		return false
	}
	switch r.Method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	path, _, _ := strings.Cut(r.Path, "?")
	for _, rule := range s.Idempotent {
		method, prefix, ok := strings.Cut(rule, " ")
		if ok && method == r.Method && within(path, prefix) {
			return true
		}
	}
	return false
}

// within says whether path is prefix or below it. A prefix ends at a path segment, so that /seats does not match /seatsale.
func within(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
