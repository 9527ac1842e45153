package service

import "strings"

// MayRetry reports whether the call r may be repeated after an attempt that may have run. Calls with the methods GET, HEAD
// and OPTIONS may be repeated, and other calls only if a configured rule "METHOD /path/prefix" matches. A strict call or one
// that overrides its method is never repeated.
// Spec.HonoursIdempotencyKey is not considered, because the call may be repeated on another instance, which may not know the key.
func MayRetry(s Spec, r *Request) bool {
	if r.NeverRetry || overridesMethod(r) {
		return false
	}
	switch r.Method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	path, _, _ := strings.Cut(r.Path, "?")
	if !isUnambiguous(path) {
		return false
	}
	for _, rule := range s.IdempotentRules {
		method, prefix, ok := strings.Cut(rule, " ")
		if ok && method == r.Method && matchesPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// overridesMethod reports whether r has a header that may make the service treat it as a call with another method.
func overridesMethod(r *Request) bool {
	for _, h := range r.Headers {
		switch strings.ToLower(h.Name) {
		case "x-http-method-override", "x-http-method", "x-method-override":
			return true
		}
	}
	return false
}

// isUnambiguous reports whether all services interpret the path in the same way. With dot segments, empty segments or escaped
// characters, a service might resolve the path to one that the rules do not cover.
func isUnambiguous(path string) bool {
	if strings.ContainsAny(path, "%\\;") {
		return false
	}
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if s == "." || s == ".." || s == "" && i > 0 && i < len(segments)-1 {
			return false
		}
	}
	return true
}

// matchesPrefix reports whether path is prefix or lies below it. A prefix matches only whole path segments, so /seats does not
// match /seatsale.
func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && strings.HasPrefix(prefix, "/") && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
