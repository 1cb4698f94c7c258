// Package verdict tells, for a failed request, whether it may have run.
//
// A verdict rests on transport evidence only: NotRun needs proof that no byte of
// the request reached an endpoint, or the endpoint's own explicit refusal.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have had an effect.
type Verdict uint8

// The verdicts, from the weakest claim to the strongest.
const (
	MayHaveRun Verdict = iota // no proof either way; the zero value claims nothing
	NotRun                    // proved not to have run; safe to send again
	Ran                       // proved to have run
)

// Header carries the verdict of a refusal between processes and to callers.
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

// Parse returns the verdict of that name. An unknown name claims nothing.
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
)

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	// RetryAfter tells when to come back; zero where coming back is of no use.
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error with a formatted cause.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Cause: errors.Newf(format, args...)}
}

// Wrap returns an Error around cause.
func Wrap(v Verdict, code Code, cause error) *Error {
	return &Error{Verdict: v, Code: code, Cause: cause}
}

// After returns a copy of the error with the time to come back.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns code, verdict and cause in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Of returns the verdict of err. An error without one claims nothing.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns err as an *Error; an error without a verdict becomes MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(MayHaveRun, CodeUpstream, err)
}
