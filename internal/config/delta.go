package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// ErrNeedFull is returned for a delta that does not apply to the revision in force. The
// receiver must request the full configuration.
var ErrNeedFull = errors.New("delta does not apply to the revision in force")

// Change is one object set or removed by a delta.
type Change struct {
	Section string `json:"s"`
	Name    string `json:"n"`
	// Value is the encoded object; absent if it was removed.
	Value json.RawMessage `json:"v,omitempty"`
}

// Delta is the difference between one revision and a later one.
type Delta struct {
	Base       ident.Revision `json:"base"`
	BaseDigest Digest         `json:"base_digest"`
	Revision   ident.Revision `json:"revision"`
	Digest     Digest         `json:"digest"` // of the result
	Changes    []Change       `json:"changes"`
}

func (d Delta) size() int {
	n := 64
	for _, c := range d.Changes {
		n += len(c.Section) + len(c.Name) + len(c.Value)
	}
	return n
}

// encodeObjects returns the encoded objects of a section by name.
func encodeObjects[K ~string, T any](section map[K]T) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(section))
	for name, o := range section {
		raw, err := json.Marshal(o)
		if err != nil {
			panic(errors.Wrapf(err, "encode %q", name)) // the types contain only values that JSON can encode
		}
		out[string(name)] = raw
	}
	return out
}

func (c *Config) sections() map[string]map[string]json.RawMessage {
	return map[string]map[string]json.RawMessage{
		sectionMoves:      encodeObjects(c.Moves),
		sectionRoutes:     encodeObjects(c.Routes),
		sectionServices:   encodeObjects(c.Services),
		sectionWorkspaces: encodeObjects(c.Workspaces),
	}
}

// digest returns the digest of the objects; the revision is not part of it.
func (c *Config) digest() Digest {
	var parts [][]byte
	all := c.sections()
	for _, section := range sectionNames {
		parts = append(parts, []byte(section))
		for _, name := range slices.Sorted(maps.Keys(all[section])) {
			parts = append(parts, []byte(name), all[section][name])
		}
	}
	return digestOf(parts...)
}

// Diff returns the delta from one configuration to a later one.
func Diff(from, to *Config) Delta {
	return diff(from, to, from.digest(), to.digest())
}

func diff(from, to *Config, fromDigest, toDigest Digest) Delta {
	d := Delta{Base: from.Revision, BaseDigest: fromDigest, Revision: to.Revision, Digest: toDigest}
	old, next := from.sections(), to.sections()
	for _, section := range sectionNames {
		for _, name := range slices.Sorted(maps.Keys(next[section])) {
			if value := next[section][name]; !bytes.Equal(old[section][name], value) {
				d.Changes = append(d.Changes, Change{Section: section, Name: name, Value: value})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(old[section])) {
			if _, kept := next[section][name]; !kept {
				d.Changes = append(d.Changes, Change{Section: section, Name: name})
			}
		}
	}
	return d
}

// Apply returns the configuration that results from a delta. It returns ErrNeedFull if
// c is not the base of the delta or if the digest of the result does not match.
func (c *Config) Apply(d Delta) (*Config, error) {
	if c.Revision != d.Base {
		return nil, errors.Wrapf(ErrNeedFull, "base is revision %d, revision in force is %d", d.Base, c.Revision)
	}
	if c.digest() != d.BaseDigest {
		return nil, errors.Wrapf(ErrNeedFull, "digest mismatch in base revision %d", d.Base)
	}
	next := &Config{
		Revision: d.Revision, Routes: maps.Clone(c.Routes), Services: maps.Clone(c.Services),
		Workspaces: maps.Clone(c.Workspaces), Moves: maps.Clone(c.Moves),
	}
	for _, ch := range d.Changes {
		if err := next.applyChange(ch); err != nil {
			return nil, errors.Wrapf(ErrNeedFull, "apply change of %s %q: %v", ch.Section, ch.Name, err)
		}
	}
	if next.digest() != d.Digest {
		return nil, errors.Wrapf(ErrNeedFull, "digest mismatch in resulting revision %d", d.Revision)
	}
	next.buildLookup()
	return next, nil
}

func (c *Config) applyChange(ch Change) error {
	switch ch.Section {
	case sectionRoutes:
		return setObject(c.Routes, ident.RouteName(ch.Name), ch.Value)
	case sectionServices:
		return setObject(c.Services, ident.Service(ch.Name), ch.Value)
	case sectionWorkspaces:
		return setObject(c.Workspaces, ident.Workspace(ch.Name), ch.Value)
	case sectionMoves:
		return setObject(c.Moves, ident.MoveName(ch.Name), ch.Value)
	default:
		return errors.Newf("unknown section %q", ch.Section)
	}
}

func setObject[K ~string, T any](section map[K]T, name K, raw json.RawMessage) error {
	if len(raw) == 0 {
		delete(section, name)
		return nil
	}
	if section == nil {
		return errors.New("section is nil")
	}
	var o T
	if err := json.Unmarshal(raw, &o); err != nil {
		return err
	}
	section[name] = o
	return nil
}
