// Package result defines the numbered result codes of the system and the
// error type that carries one. The same code appears in the HTTP response, the
// log line and the metric of a request.
package result

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class is the zeebo/errs class of every error built by this package.
var Class = errs.Class("agate")

// Code is a numbered result code. The zero value means success.
type Code uint16

// Execution states whether the target executed the request, as far as is known.
type Execution uint8

const (
	// NotRun means that the target certainly did not execute the request.
	NotRun Execution = iota + 1
	// Ran means that the target executed the request, at least in part.
	Ran
	// Unknown means that the request may or may not have been executed.
	Unknown
	// NotARequest marks codes that do not concern a request, such as those of
	// configuration, settings and processes.
	NotARequest
)

// String returns the text that CODES.md uses.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	default:
		return "-"
	}
}

// Error is an error with a result code.
type Error struct {
	Code Code
	// Detail describes the cause in this case.
	Detail string
	// RetryAfter is the time after which the caller should retry, 0 if
	// unspecified.
	RetryAfter time.Duration
	cause      error
}

// Error returns the code, its name and the detail.
func (e *Error) Error() string {
	info := e.Code.Info()
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, info.Name)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, info.Name, e.Detail)
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error with a code and a detail.
func New(code Code, detail string) error {
	return Class.Wrap(&Error{Code: code, Detail: detail})
}

// Newf returns an error with a code and a formatted detail.
func Newf(code Code, format string, args ...any) error {
	return New(code, fmt.Sprintf(format, args...))
}

// Wrap returns an error with a code whose detail is the text of cause, nil if
// cause is nil.
func Wrap(code Code, cause error) error {
	if cause == nil {
		return nil
	}
	return Class.Wrap(&Error{Code: code, Detail: cause.Error(), cause: cause})
}

// Refuse returns an error with a code, a detail and the time after which the
// caller should retry.
func Refuse(code Code, retryAfter time.Duration, detail string) error {
	return Class.Wrap(&Error{Code: code, Detail: detail, RetryAfter: retryAfter})
}

// From returns the Error in the chain of err. For an error without a code it
// returns one with Internal, for nil it returns nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Detail: err.Error(), cause: err}
}

// CodeOf returns the code of err: OK for nil, Internal for an error without a
// code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
