package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/endpoint"
)

// Call is one request of a caller.
type Call struct {
	ID           string // of the caller's attempt
	Host         string
	Path         string // without the query
	Target       string // path and query as they were received
	Method       string
	Header       http.Header // headers to pass on, without those that the gateway sets
	Body         []byte
	Key          string        // API key, "" where there is none
	Patience     time.Duration // how long the caller waits, 0 where it does not say
	PromptTokens int
	OutputTokens int    // at most
	LastEvent    string // ID of the event after which the caller wants the stream
	Arrived      time.Time
}

// Attempt is one send of a call.
type Attempt struct {
	Endpoint  endpoint.Target
	Customer  string // "" where the route is public
	Remaining time.Duration
	LastEvent string // ID of the event after which the stream goes on, "" from its beginning
	Helpers   []endpoint.Target
	Ticket    string // reservation at the helpers that store a part of the prompt
	Priority  int    // 0 is the most urgent, unset where below 0
}

// Head is the head of an answer to an attempt.
type Head struct {
	Status  int
	Header  http.Header // headers to pass on
	Own     bool        // it answers this attempt and no other
	NotRun  bool        // the endpoint states that it did not run the request
	Genuine bool        // it is an answer of the endpoint as the endpoint made it
	AtFault string      // address of another endpoint at fault, "" where none is named
}

// Codec translates between the forwarder and the wire.
type Codec interface {
	// DecodeCall reads the head of a caller's request. The error is a *BadCall.
	DecodeCall(r *http.Request) (*Call, error)
	// EncodeAttempt sets the headers of one send.
	EncodeAttempt(header http.Header, c *Call, a *Attempt)
	// DecodeHead reads the head of an endpoint's answer.
	DecodeHead(c *Call, resp *http.Response) Head
	// EncodeRefusal sets the headers of the gateway's own answer to the call, which is nil where it could not be read.
	EncodeRefusal(header http.Header, c *Call)
}

// Reserver orders engines to set memory aside.
type Reserver interface {
	// Reserve sets tokens of memory aside at an engine under an ID, or renews that, until hold after its arrival. The
	// error is ErrNoMemory where the engine has too little.
	Reserve(ctx context.Context, at endpoint.Target, id string, hold time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, at endpoint.Target, id string) error
}

// ErrNoMemory means that an engine cannot set the memory aside now.
var ErrNoMemory = errors.New("the engine has too little free memory")

// BadCall is a request that cannot be read.
type BadCall struct {
	Status  int // HTTP status
	Message string
}

// Error implements error.
func (e *BadCall) Error() string { return e.Message }
