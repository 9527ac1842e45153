package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
)

// Names of the header fields that this package reads or writes.
const (
	headerRequestID      = "X-Request-Id"
	headerAuthorization  = "Authorization"
	headerRetryAfter     = "Retry-After"
	headerDeadline       = "Goldcrest-Deadline" // in milliseconds; can only shorten the contract's deadline
	headerStrict         = "Goldcrest-Strict"   // true if the call must never be repeated
	headerVerdict        = "Goldcrest-Verdict"
	headerReason         = "Goldcrest-Reason"
	headerIdempotencyKey = "Idempotency-Key"
)

const contentTypeJSON = "application/json"

// requestIDPattern restricts the request IDs that callers may choose, because they are passed on in headers and log
// lines.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// exchange is one HTTP request and its response.
type exchange struct {
	server   *Server
	ctx      *fasthttp.RequestCtx
	id       string // as returned to the caller
	uniqueID string // as passed to engines and plain services
	log      log.Interface

	bodyConsumed bool // nothing is left to read of the request body
}

// newExchange counts the request, assigns its IDs, and sets the request ID and the date of the response.
func (s *Server) newExchange(ctx *fasthttp.RequestCtx) *exchange {
	s.metrics.requests.Inc(1)
	x := &exchange{server: s, ctx: ctx}
	x.id = x.header(headerRequestID)
	if requestIDPattern.MatchString(x.id) {
		// Callers may repeat an ID, and two customers may choose the same one, but engines identify streams by ID.
		x.uniqueID = x.id + "-" + randomHex(8)
	} else {
		x.id = randomHex(16)
		x.uniqueID = x.id
	}
	x.log = s.log.WithField("requestID", x.id)
	setDate(&ctx.Response.Header, time.Now().UTC().Format(http.TimeFormat))
	ctx.Response.Header.Set(headerRequestID, x.id)
	return x
}

// setDate sets the Date field and removes all other fields. It lets fasthttp parse a header, because fasthttp's
// parser accepts Date and its setters ignore it.
func setDate(h *fasthttp.ResponseHeader, date string) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nDate: " + date + "\r\n\r\n"
	if err := h.Read(bufio.NewReaderSize(strings.NewReader(head), len(head))); err != nil {
		h.Reset()
	}
	h.SetStatusMessage(nil) // the parsed "OK" would otherwise be sent with every status
}

// randomHex returns n random bytes in hexadecimal.
func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// header returns the value of the first header field with that name, or an empty string. It compares names without
// regard to case, since the server does not normalise them.
func (x *exchange) header(name string) string {
	for k, v := range x.ctx.Request.Header.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// splitURI returns the raw path, and the raw query including its question mark.
func (x *exchange) splitURI() (path, query string) {
	uri := string(x.ctx.Request.Header.RequestURI())
	if _, rest, ok := strings.Cut(uri, "://"); ok && !strings.HasPrefix(uri, "/") {
		// Absolute form: scheme://host/path.
		slash := strings.IndexByte(rest, '/')
		if slash < 0 {
			return "/", ""
		}
		uri = rest[slash:]
	}
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		return uri[:i], uri[i:]
	}
	return uri, ""
}

// allowMethod calls handle if the request has the given method and refuses it otherwise. Where GET is allowed, HEAD
// is too.
func (x *exchange) allowMethod(method string, handle func()) {
	got := string(x.ctx.Method())
	if got == method || (got == fasthttp.MethodHead && method == fasthttp.MethodGet) {
		handle()
		return
	}
	x.ctx.Response.Header.Set("Allow", method)
	x.refuseWithStatus(fasthttp.StatusMethodNotAllowed, customer.Refuse(customer.ReasonBadRequest, "method "+got+" is not allowed here"))
}

// contract returns the contract that the request's API key belongs to.
func (x *exchange) contract() (*customer.Contract, *customer.Refusal) {
	const badAuthorization = "the Authorization header must be \"Bearer\" followed by an API key"
	scheme, key, ok := strings.Cut(x.header(headerAuthorization), " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, customer.Refuse(customer.ReasonBadKey, badAuthorization)
	}
	c, ok := x.server.router.Contract(key)
	if ok {
		x.log = x.log.WithField("customer", c.Name())
		return c, nil
	}
	// Before the first configuration is loaded every key is unknown, which is not the caller's fault.
	if !x.server.router.Ready() {
		return nil, customer.Refuse(customer.ReasonNotReady, "the VM is not ready and does not know the API key")
	}
	return nil, customer.Refuse(customer.ReasonBadKey, "the API key is unknown")
}

// deadline returns the time by which the answer must be complete. It is now plus limit, which comes from the contract,
// or earlier if the caller sets a shorter time in Goldcrest-Deadline.
func (x *exchange) deadline(now time.Time, limit time.Duration) (time.Time, *customer.Refusal) {
	text := x.header(headerDeadline)
	if text == "" {
		return now.Add(limit), nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return time.Time{}, customer.Refuse(customer.ReasonBadRequest,
			fmt.Sprintf("header %s = %q has to be a whole number of milliseconds above 0", headerDeadline, text))
	}
	if millis < limit.Milliseconds() {
		limit = time.Duration(millis) * time.Millisecond
	}
	return now.Add(limit), nil
}

// requestContext returns the context with which a request is passed to the router. It ends at the deadline, when the
// caller closes its connection, and when the VM stops; its cause is then a *customer.Refusal. The returned function
// releases the context's resources and must be called before the connection is used for the next request.
func (x *exchange) requestContext(deadline time.Time) (context.Context, context.CancelCauseFunc, func()) {
	ctx, cancel := context.WithCancelCause(x.server.baseContext)
	ctx, stopTimer := context.WithDeadlineCause(ctx, deadline,
		customer.Fail(customer.ReasonDeadline, "the deadline passed before the answer was complete"))
	stopWatching := watchDisconnect(x.ctx.Conn(), func() { cancel(errCallerDisconnected) })
	return ctx, cancel, func() {
		stopWatching()
		stopTimer()
		cancel(nil)
	}
}

// asRefusal converts err to a refusal. If err contains no refusal and ctx has ended, it converts the cause of ctx
// instead.
func asRefusal(ctx context.Context, err error) *customer.Refusal {
	var r *customer.Refusal
	if cause := context.Cause(ctx); cause != nil && !errors.As(err, &r) {
		err = cause
	}
	return customer.AsRefusal(err)
}

// writeText answers with plain text.
func (x *exchange) writeText(status int, body string) {
	x.ctx.SetStatusCode(status)
	x.ctx.SetContentType("text/plain; charset=utf-8")
	x.ctx.SetBodyString(body)
}

// writeJSON answers with v as JSON.
func (x *exchange) writeJSON(status int, v any) {
	x.ctx.SetStatusCode(status)
	x.ctx.SetContentType(contentTypeJSON)
	x.ctx.Response.SetBodyRaw(encodeJSON(v))
}

func encodeJSON(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		// The encoded types contain only strings, numbers and lists, so encoding cannot fail.
		panic(err)
	}
	return b.Bytes()
}

// refuse answers with r and the HTTP status of its reason.
func (x *exchange) refuse(r *customer.Refusal) {
	x.refuseWithStatus(refusalPolicyOf(r.Reason()).status, r)
}

// refuseWithStatus answers with r and the given HTTP status.
func (x *exchange) refuseWithStatus(status int, r *customer.Refusal) {
	x.recordRefusal(r)
	h := &x.ctx.Response.Header
	h.Set(headerVerdict, r.Verdict().String())
	h.Set(headerReason, string(r.Reason()))
	if wait := retryAfterSeconds(r); wait > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(wait))
	}
	x.writeJSON(status, newErrorBody(status, x.id, r))
}

// recordAnswer counts and logs a complete answer.
func (x *exchange) recordAnswer(deadline time.Time) {
	x.server.metrics.countAnswer(time.Now(), deadline)
	x.log.Debug("caller: answered")
}

// recordRefusal counts and logs a refusal.
func (x *exchange) recordRefusal(r *customer.Refusal) {
	x.server.metrics.countRefusal(r.Reason())
	entry := x.log.WithFields(log.Fields{"reason": string(r.Reason()), "verdict": r.Verdict().String()})
	if r.Reason() == customer.ReasonInternal {
		entry.Errorf("caller: request failed: %s", r.Message())
		return
	}
	entry.Infof("caller: request refused: %s", r.Message())
}

// retryAfterSeconds returns the value of Retry-After in seconds, rounded up, or 0 if the field is to be omitted.
func retryAfterSeconds(r *customer.Refusal) int {
	wait := r.RetryAfter()
	if wait <= 0 && r.Verdict() == customer.NotRun {
		wait = refusalPolicyOf(r.Reason()).retryAfter
	}
	return int(math.Ceil(wait.Seconds()))
}
