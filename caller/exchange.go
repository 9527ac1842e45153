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

// Header fields that this package reads or writes.
const (
	headerRequestID      = "X-Request-Id"
	headerAuthorization  = "Authorization"
	headerRetryAfter     = "Retry-After"
	headerDeadline       = "Goldcrest-Deadline" // milliseconds, shortens the contract's deadline
	headerStrict         = "Goldcrest-Strict"
	headerVerdict        = "Goldcrest-Verdict"
	headerReason         = "Goldcrest-Reason"
	headerIdempotencyKey = "Idempotency-Key"
)

const typeJSON = "application/json"

// requestIDPattern bounds the request IDs of callers, because they are passed on in headers and log lines.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// exchange is one request and its answer.
type exchange struct {
	server   *Server
	ctx      *fasthttp.RequestCtx
	id       string // as the caller sees it
	uniqueID string // as the engines see it
	log      log.Interface

	bodyEnded bool // nothing is left to read of the request's body
}

func (s *Server) newExchange(ctx *fasthttp.RequestCtx) *exchange {
	s.counts.requests.Inc(1)
	x := &exchange{server: s, ctx: ctx}
	x.id = x.header(headerRequestID)
	if requestIDPattern.MatchString(x.id) {
		// Callers may repeat an ID, and two customers may choose the same one, but engines keep streams by ID.
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

// setDate sets the Date field and removes all others. fasthttp's setters ignore Date, its parser does not.
func setDate(h *fasthttp.ResponseHeader, date string) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nDate: " + date + "\r\n\r\n"
	if err := h.Read(bufio.NewReaderSize(strings.NewReader(head), len(head))); err != nil {
		h.Reset()
	}
	h.SetStatusMessage(nil) // the parsed "OK" would stand beside every status
}

func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// header returns the first field of that name. Names are compared without case, since they are not normalised.
func (x *exchange) header(name string) string {
	for k, v := range x.ctx.Request.Header.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// splitURI returns the raw path and the raw query with its question mark.
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

func (x *exchange) allow(method string, handle func()) {
	got := string(x.ctx.Method())
	if got == method || (got == fasthttp.MethodHead && method == fasthttp.MethodGet) {
		handle()
		return
	}
	x.ctx.Response.Header.Set("Allow", method)
	x.refuseAs(fasthttp.StatusMethodNotAllowed, customer.Refuse(customer.ReasonBadRequest, "method "+got+" is not allowed here"))
}

// contract returns the contract of the request's API key.
func (x *exchange) contract() (*customer.Contract, *customer.Refusal) {
	const allowed = "the Authorization header has to be Bearer and an API key"
	scheme, key, ok := strings.Cut(x.header(headerAuthorization), " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, customer.Refuse(customer.ReasonBadKey, allowed)
	}
	c, ok := x.server.router.Contract(key)
	if ok {
		x.log = x.log.WithField("customer", c.Name())
		return c, nil
	}
	// Before the first configuration every key is unknown, which is no fault of the caller.
	if !x.server.router.Ready() {
		return nil, customer.Refuse(customer.ReasonNotReady, "the VM has no contract for the API key and is not ready")
	}
	return nil, customer.Refuse(customer.ReasonBadKey, "the API key is unknown")
}

// deadline returns the end of the time that the request has: the contract's, or a shorter one that the caller asks for.
func (x *exchange) deadline(now time.Time, contract time.Duration) (time.Time, *customer.Refusal) {
	text := x.header(headerDeadline)
	if text == "" {
		return now.Add(contract), nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return time.Time{}, customer.Refuse(customer.ReasonBadRequest,
			fmt.Sprintf("header %s = %q has to be a whole number of milliseconds above 0", headerDeadline, text))
	}
	if millis < contract.Milliseconds() {
		contract = time.Duration(millis) * time.Millisecond
	}
	return now.Add(contract), nil
}

// context returns the context of a request that is passed on. It ends at the deadline, when the caller closes its connection
// and when the VM stops; its cause is a *customer.Refusal. The function that is returned has to be called before the
// connection is used for the next request.
func (x *exchange) context(deadline time.Time) (context.Context, context.CancelCauseFunc, func()) {
	ctx, cancel := context.WithCancelCause(x.server.base)
	ctx, stopTimer := context.WithDeadlineCause(ctx, deadline,
		customer.Fail(customer.ReasonDeadline, "the deadline passed before the answer was complete"))
	stopWatch := watchCaller(x.ctx.Conn(), func() { cancel(errCallerGone) })
	return ctx, cancel, func() {
		stopWatch()
		stopTimer()
		cancel(nil)
	}
}

// asRefusal returns the refusal in err. An error without one becomes the context's cause where the context has ended.
func asRefusal(ctx context.Context, err error) *customer.Refusal {
	var r *customer.Refusal
	if cause := context.Cause(ctx); cause != nil && !errors.As(err, &r) {
		err = cause
	}
	return customer.AsRefusal(err)
}

// text answers with plain text.
func (x *exchange) text(status int, body string) {
	x.ctx.SetStatusCode(status)
	x.ctx.SetContentType("text/plain; charset=utf-8")
	x.ctx.SetBodyString(body)
}

// json answers with v.
func (x *exchange) json(status int, v any) {
	x.ctx.SetStatusCode(status)
	x.ctx.SetContentType(typeJSON)
	x.ctx.Response.SetBodyRaw(encodeJSON(v))
}

func encodeJSON(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		// Wire types hold strings, numbers and lists only.
		panic(err)
	}
	return b.Bytes()
}

// refuse answers with a refusal and the HTTP status of its reason.
func (x *exchange) refuse(r *customer.Refusal) { x.refuseAs(treatmentOf(r.Reason()).status, r) }

func (x *exchange) refuseAs(status int, r *customer.Refusal) {
	x.count(r)
	h := &x.ctx.Response.Header
	h.Set(headerVerdict, r.Verdict().String())
	h.Set(headerReason, string(r.Reason()))
	if wait := retryAfter(r); wait > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(wait))
	}
	x.json(status, newErrorBody(status, x.id, r))
}

// answered counts an answer that is whole.
func (x *exchange) answered(deadline time.Time) {
	x.server.counts.answer(time.Now(), deadline)
	x.log.Debug("caller: answered")
}

// count counts and logs a refusal.
func (x *exchange) count(r *customer.Refusal) {
	x.server.counts.refusal(r.Reason())
	entry := x.log.WithFields(log.Fields{"reason": string(r.Reason()), "verdict": r.Verdict().String()})
	if r.Reason() == customer.ReasonInternal {
		entry.Errorf("caller: request failed: %s", r.Message())
		return
	}
	entry.Infof("caller: request refused: %s", r.Message())
}

// retryAfter returns whole seconds, or 0 where waiting does not help.
func retryAfter(r *customer.Refusal) int {
	wait := r.RetryAfter()
	if wait <= 0 && r.Verdict() == customer.NotRun {
		wait = treatmentOf(r.Reason()).retryAfter
	}
	return int(math.Ceil(wait.Seconds()))
}
