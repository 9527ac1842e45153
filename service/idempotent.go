package service

import "strings"

// Idempotent says whether the call r may be repeated at s after it may have run. GET, HEAD and OPTIONS may, other methods
// only where a rule "METHOD /path/prefix" of the configuration matches. A strict call may not. Spec.HonoursKey changes
// nothing here, because another instance need not know the key.
func Idempotent(s Spec, r *Request) bool {
	if r.Strict || overridesMethod(r) {
		return false
	}
	switch r.Method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	path, _, _ := strings.Cut(r.Path, "?")
	if !plain(path) {
		return false
	}
	for _, rule := range s.Idempotent {
		method, prefix, ok := strings.Cut(rule, " ")
		if ok && method == r.Method && within(path, prefix) {
			return true
		}
	}
	return false
}

// overridesMethod says whether the service may take the call for one of another method.
func overridesMethod(r *Request) bool {
	for _, h := range r.Headers {
		switch strings.ToLower(h.Name) {
		case "x-http-method-override", "x-http-method", "x-method-override":
			return true
		}
	}
	return false
}

// plain says whether every service reads the path in the same way. A dot segment, an empty one or an escaped character
// could lead a service to another path than the one that the rules see.
func plain(path string) bool {
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

// within says whether path is prefix or below it. A prefix ends at a path segment, so that /seats does not match /seatsale.
func within(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && strings.HasPrefix(prefix, "/") && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
