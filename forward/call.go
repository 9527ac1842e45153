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
	ID            string // identifies the caller's attempt
	Host          string
	Path          string // without the query
	RequestTarget string // path and query as received
	Method        string
	Header        http.Header // headers to pass on, except those that the gateway sets
	Body          []byte
	APIKey        string        // "" if there is none
	TimeLeft      time.Duration // how long the caller still waits, 0 if unknown
	PromptTokens  int
	SharedParts   []endpoint.PromptPart // parts of the prompt that other prompts may share
	OutputTokens  int                   // upper bound
	LastEventID   string                // ID of the event after which the caller wants the stream to continue
	ArrivedAt     time.Time
}

// MaxSharedParts limits the parts of one prompt that are considered for a quarantine. A report of all of them fits into one datagram
// between VMs.
const MaxSharedParts = 128

// Attempt describes one send of a call to an endpoint.
type Attempt struct {
	Endpoint      endpoint.Target
	Customer      string // "" if the route is public
	TimeLeft      time.Duration
	LastEventID   string            // ID of the event after which the stream continues, "" to start at the beginning
	Helpers       []endpoint.Target // engines that prefill segments of the prompt
	ReservationID string            // ID of the reservation at the helpers that store remote KV
	Priority      int               // 0 is the most urgent, negative if unset
}

// AnswerHead is the head of an endpoint's answer to an attempt.
type AnswerHead struct {
	Status         int
	Header         http.Header // headers to pass on
	MatchesAttempt bool        // the answer names this attempt
	Anonymous      bool        // the answer names no attempt
	NotRun         bool        // the endpoint states that it did not run the request
	Authentic      bool        // the endpoint itself produced the answer, and nothing altered it
	Notice         endpoint.Notice
	FaultyEndpoint string // address of another endpoint that caused a failure, "" if none is named
}

// Codec translates between calls and HTTP messages.
type Codec interface {
	// DecodeCall decodes the head of a caller's request. The error is a *BadRequestError.
	DecodeCall(r *http.Request) (*Call, error)
	// EncodeAttempt sets the headers of one attempt.
	EncodeAttempt(header http.Header, c *Call, a *Attempt)
	// DecodeHead decodes the head of an endpoint's answer.
	DecodeHead(c *Call, resp *http.Response) AnswerHead
	// EncodeRefusal sets the headers of the gateway's own answer to the call. c is nil if the call could not be decoded.
	EncodeRefusal(header http.Header, c *Call)
}

// Reserver reserves memory of engines.
type Reserver interface {
	// Reserve reserves at.RemoteKVTokens tokens of memory at an engine under an ID, or renews the reservation. It ends when
	// holdTime has passed since the engine received the request. The error is ErrNoMemory if the engine has too little free memory.
	Reserve(ctx context.Context, at endpoint.Target, id string, holdTime time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, at endpoint.Target, id string) error
}

// ErrNoMemory is the error for a reservation for which an engine has too little free memory at the moment.
var ErrNoMemory = errors.New("the engine has too little free memory")

// BadRequestError is the error for an invalid request.
type BadRequestError struct {
	Status  int // HTTP status
	Message string
}

// Error implements error.
func (e *BadRequestError) Error() string { return e.Message }
