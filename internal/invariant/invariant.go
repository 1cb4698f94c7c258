// Package invariant checks invariants in the running program.
//
// A violation is always counted and logged. After SetFatal(true), which tests and
// randomised runs call, it also panics.
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

// Check records a violation of name unless ok is true. The arguments are formatted
// only on a violation but always allocated: in code that runs for each token, call
// Violated inside an if statement instead.
func Check(ok bool, name Name, format string, args ...any) {
	if !ok {
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

// Violations returns the number of violations of name.
func Violations(name Name) uint64 {
	return counter(name).Load()
}

// Counts returns the number of violations of each invariant that was violated.
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
