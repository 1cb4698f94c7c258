// Package invariant asserts what must always hold, inside the running program.
//
// A violation is always counted and logged. Where SetFatal(true) was called, as
// tests and randomised runs do, it panics as well.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
)

// Name identifies one invariant in metrics and logs.
type Name string

// The invariants of the program.
const (
	OrderEffectAtMostOnce Name = "order_effect_at_most_once"
	NotRunDidNotRun       Name = "not_run_did_not_run"
	AnswerMatchesRequest  Name = "answer_matches_request"
	OffsetsContiguous     Name = "offsets_contiguous"
	AcceptedFinishes      Name = "accepted_finishes"
	LeavingMarkGrows      Name = "leaving_mark_grows"
	IncarnationGrows      Name = "incarnation_grows"
	AdmittedWithinLimit   Name = "admitted_within_limit"
	QueuedEndsByDeadline  Name = "queued_ends_by_deadline"
	UnprovedShareBounded  Name = "unproved_share_bounded"
	MarkedVersionNoWork   Name = "marked_version_no_work"
	RevisionGrows         Name = "revision_grows"
	OneHolderPerEpoch     Name = "one_holder_per_epoch"
	UndoneStaysUndone     Name = "undone_stays_undone"
	NoPurchaseTwice       Name = "no_purchase_twice"
)

var (
	fatal  atomic.Bool
	counts sync.Map // Name → *atomic.Uint64
)

// SetFatal makes violations panic. It returns the previous setting.
func SetFatal(on bool) bool {
	return fatal.Swap(on)
}

// Check records a violation of name unless holds is true. The arguments are
// formatted only on a violation, but they are allocated always: where a check runs
// for each token, call Violated behind an if.
func Check(holds bool, name Name, format string, args ...any) {
	if !holds {
		Violated(name, format, args...)
	}
}

// Violated records a violation of name.
func Violated(name Name, format string, args ...any) {
	counter(name).Add(1)
	msg := fmt.Sprintf(format, args...)
	slog.Error("invariant: Violated.", "invariant", string(name), "detail", msg)
	if fatal.Load() {
		panic(fmt.Sprintf("invariant %s violated: %s", name, msg))
	}
}

// Violations returns how often name was violated.
func Violations(name Name) uint64 {
	return counter(name).Load()
}

// Counts returns the number of violations of every invariant violated so far.
func Counts() map[Name]uint64 {
	out := make(map[Name]uint64)
	counts.Range(func(k, v any) bool {
		out[k.(Name)] = v.(*atomic.Uint64).Load()
		return true
	})
	return out
}

func counter(name Name) *atomic.Uint64 {
	c, _ := counts.LoadOrStore(name, new(atomic.Uint64))
	return c.(*atomic.Uint64)
}
