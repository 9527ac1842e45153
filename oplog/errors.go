package oplog

import (
	"fmt"

	"github.com/pkg/errors"
)

var errClosed = errors.New("store is closed")

// UnknownError says that a record may or may not be in the log.
type UnknownError struct{ err error }

// Error implements error.
func (e *UnknownError) Error() string { return "may or may not be in the log: " + e.err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.err }

// Unknown returns err as the error of a record that may or may not be in the log.
func Unknown(err error) error { return &UnknownError{err: err} }

// ConflictError says that a document was published on an old base.
type ConflictError struct {
	Document string
	Base     uint64
	Current  uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: base revision %d is not the current revision %d", e.Document, e.Base, e.Current)
}

// UnavailableError says that the log cannot be used now.
type UnavailableError struct{ reason string }

// Error implements error.
func (e *UnavailableError) Error() string { return "the log is unavailable: " + e.reason }
