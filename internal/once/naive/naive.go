// Package naive is the ledger with one object a key and one write a step. It
// serves as the yardstick of package once in differential tests and measurements.
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

// Ledger keeps each key in an object of its own.
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

// Claim asks for the right to dispatch a request.
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
	kind := l.judge(old, c)
	switch {
	case kind == once.Replayed:
		return kind, old.Answer, nil
	case kind == once.Unconfirmed && !old.Ended: // so that others know it, too
		old.Ended, old.Verdict = true, verdict.MayHaveRun
		err = l.put(ctx, c.Key, old, version)
	}
	return kind, once.Answer{}, err
}

// judge answers a claim whose key is there already.
func (l *Ledger) judge(old record, c once.Claim) once.ReplyKind {
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

// Finish records an outcome; NotRun frees the key. It returns platformapi.ErrConflict
// where the claim is another's.
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
