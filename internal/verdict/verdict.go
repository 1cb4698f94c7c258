// Package verdict classifies failed requests by whether they may have run.
//
// A verdict is based on transport evidence only: NotRun requires proof that no byte of
// the request reached an endpoint, or an explicit refusal by the endpoint.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request may have had an effect.
type Verdict uint8

// The verdicts, from the weakest statement to the strongest. The zero value asserts nothing.
const (
	MayHaveRun Verdict = iota // no proof either way
	NotRun                    // proved not to have run; safe to retry
	Ran                       // proved to have run
)

// Header is the HTTP header with the verdict of a refused request, between processes and to
// callers.
const Header = "X-Verdict"

// String returns the form used in headers, logs and problem documents.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict with that name, or MayHaveRun for an unknown name.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Code classifies a failure for callers, metrics and logs.
type Code string

// The failure codes.
const (
	CodeBadRequest   Code = "bad-request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not-found"
	CodeTooLarge     Code = "too-large"
	CodeHeader       Code = "header-too-large"
	CodeConflict     Code = "conflict"
	CodeOverloaded   Code = "overloaded"
	CodeLimited      Code = "limited"
	CodeDeadline     Code = "deadline"
	CodeUnavailable  Code = "unavailable"
	CodeUpstream     Code = "upstream"
	CodeStopping     Code = "stopping"
	CodeStore        Code = "store-unavailable"
	CodeUnconfirmed  Code = "unconfirmed"
	// CodeNotSent is that of an attempt that was not sent, for a reason that is no evidence
	// about the health of its endpoint.
	CodeNotSent Code = "not-sent"
	// CodeNotRunning is that of a call about a request that its endpoint does not run, or does
	// not run any more.
	CodeNotRunning Code = "not-running"
	// CodeRelay is that of an attempt that failed between this node and the one that relayed
	// it, which is no evidence about its endpoint.
	CodeRelay Code = "relay"
	// CodeHeld is that of a request that is held back because requests like it crash
	// endpoints.
	CodeHeld Code = "held"
)

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	// RetryAfter is the time after which the caller may retry; zero where a retry is of
	// no use.
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error whose cause is made from a format string and its arguments.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Cause: errors.Newf(format, args...)}
}

// Wrap returns an Error around cause.
func Wrap(v Verdict, code Code, cause error) *Error {
	return &Error{Verdict: v, Code: code, Cause: cause}
}

// After returns a copy of e with RetryAfter set to d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code, the verdict and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Of returns the verdict of err, or MayHaveRun if err has none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns the *Error in the chain of err. An err without one is wrapped with verdict
// MayHaveRun and code CodeUpstream.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(MayHaveRun, CodeUpstream, err)
}
