package oplog

import (
	"fmt"

	"github.com/pkg/errors"
)

var errClosed = errors.New("store is closed")

// UnknownError is the error of a write whose record may or may not be in the log.
type UnknownError struct{ err error }

// Error implements error.
func (e *UnknownError) Error() string { return "may or may not be in the log: " + e.err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.err }

// NewUnknownError wraps err in an UnknownError.
func NewUnknownError(err error) error { return &UnknownError{err: err} }

// ConflictError is the error of a publication whose base is not the document's current revision.
type ConflictError struct {
	Document string
	Base     uint64
	Current  uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: base revision %d is not the current revision %d", e.Document, e.Base, e.Current)
}

// UnavailableError is the error of an operation that needs the log while the log cannot be used.
type UnavailableError struct{ reason string }

// Error implements error.
func (e *UnavailableError) Error() string { return "the log is unavailable: " + e.reason }
