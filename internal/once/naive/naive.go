// Package naive implements the idempotency ledger with one object per key and one write per
// step. It is the reference for package once in differential tests and measurements.
package naive

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Ledger stores each key in its own object.
type Ledger struct {
	Store       platformapi.Store
	Node        ident.NodeID
	Incarnation ident.Incarnation
}

// record is the stored form of a key.
type record struct {
	Body        []byte            `json:"body"`
	Attempt     ident.AttemptID   `json:"attempt"`
	Node        ident.NodeID      `json:"node"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Ended       bool              `json:"ended"`
	Verdict     verdict.Verdict   `json:"verdict"`
	Answer      once.Answer       `json:"answer"`
}

func object(k once.Key) platformapi.Key {
	return platformapi.Key("naive/" + string(k.Workspace) + "/" + k.Name)
}

// Claim requests permission to dispatch a request. The answer is set for once.Replayed;
// the error is that of the store.
func (l *Ledger) Claim(ctx context.Context, c once.Claim) (once.ReplyKind, once.Answer, error) {
	r := record{Body: c.Body[:], Attempt: c.Attempt, Node: l.Node, Incarnation: l.Incarnation}
	err := l.put(ctx, c.Key, r, 0)
	if err == nil {
		return once.Granted, once.Answer{}, nil
	}
	if !errors.Is(err, platformapi.ErrConflict) && !errors.Is(err, platformapi.ErrUnknown) {
		return once.Unavailable, once.Answer{}, err
	}
	old, version, err := l.get(ctx, c.Key)
	if err != nil {
		return once.Unavailable, once.Answer{}, err
	}
	kind := l.replyKind(old, c)
	switch {
	case kind == once.Replayed:
		return kind, old.Answer, nil
	case kind == once.Unconfirmed && !old.Ended: // so that other nodes see it, too
		old.Ended, old.Verdict = true, verdict.MayHaveRun
		err = l.put(ctx, c.Key, old, version)
	}
	return kind, once.Answer{}, err
}

// replyKind returns the kind of the reply to a claim whose key is already recorded.
func (l *Ledger) replyKind(old record, c once.Claim) once.ReplyKind {
	switch {
	case old.Attempt == c.Attempt:
		return once.Granted
	case !bytes.Equal(old.Body, c.Body[:]):
		return once.Conflict
	case old.Ended && old.Verdict == verdict.Ran:
		return once.Replayed
	case old.Ended || (old.Node == l.Node && old.Incarnation < l.Incarnation):
		return once.Unconfirmed
	default:
		return once.Wait
	}
}

// Finish records an outcome; NotRun deletes the record of the key. It returns
// platformapi.ErrConflict if the claim belongs to another attempt.
func (l *Ledger) Finish(ctx context.Context, o once.Outcome) error {
	r, version, err := l.get(ctx, o.Key)
	if err != nil {
		return err
	}
	if r.Attempt != o.Attempt {
		return platformapi.ErrConflict
	}
	if o.Verdict == verdict.NotRun {
		return l.Store.Delete(ctx, object(o.Key), version)
	}
	r.Ended, r.Verdict, r.Answer = true, o.Verdict, o.Answer
	return l.put(ctx, o.Key, r, version)
}

func (l *Ledger) put(ctx context.Context, k once.Key, r record, expect platformapi.Version) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = l.Store.Put(ctx, object(k), value, expect)
	return err
}

func (l *Ledger) get(ctx context.Context, k once.Key) (record, platformapi.Version, error) {
	var r record
	o, err := l.Store.Get(ctx, object(k))
	if err != nil {
		return r, 0, err
	}
	return r, o.Version, json.Unmarshal(o.Value, &r)
}
