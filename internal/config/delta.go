package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// ErrNeedFull is returned for a delta that does not fit the revision in force;
// the receiver asks for the full configuration.
var ErrNeedFull = errors.New("delta does not follow the revision in force")

// Change is one object set or removed by a delta.
type Change struct {
	Section string `json:"s"`
	Name    string `json:"n"`
	// Value is the object; absent where it was removed.
	Value json.RawMessage `json:"v,omitempty"`
}

// Delta leads from one revision to a later one.
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

// objects returns the encoded objects of a section by name.
func objects[K ~string, T any](section map[K]T) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(section))
	for name, o := range section {
		raw, err := json.Marshal(o)
		if err != nil {
			panic(errors.Wrapf(err, "encode %q", name)) // the types hold nothing that JSON does not
		}
		out[string(name)] = raw
	}
	return out
}

func (c *Config) sections() map[string]map[string]json.RawMessage {
	return map[string]map[string]json.RawMessage{
		sectionMoves:      objects(c.Moves),
		sectionRoutes:     objects(c.Routes),
		sectionServices:   objects(c.Services),
		sectionWorkspaces: objects(c.Workspaces),
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

// Apply returns the configuration that a delta leads to. It returns ErrNeedFull
// where the delta has another base or the result another digest.
func (c *Config) Apply(d Delta) (*Config, error) {
	if c.Revision != d.Base {
		return nil, errors.Wrapf(ErrNeedFull, "base is revision %d, in force is %d", d.Base, c.Revision)
	}
	if c.digest() != d.BaseDigest {
		return nil, errors.Wrapf(ErrNeedFull, "revision %d has another digest", d.Base)
	}
	next := &Config{
		Revision: d.Revision, Routes: maps.Clone(c.Routes), Services: maps.Clone(c.Services),
		Workspaces: maps.Clone(c.Workspaces), Moves: maps.Clone(c.Moves),
	}
	for _, ch := range d.Changes {
		if err := next.change(ch); err != nil {
			return nil, errors.Wrapf(ErrNeedFull, "change of %s %q: %v", ch.Section, ch.Name, err)
		}
	}
	if next.digest() != d.Digest {
		return nil, errors.Wrapf(ErrNeedFull, "revision %d came out with another digest", d.Revision)
	}
	next.index()
	return next, nil
}

func (c *Config) change(ch Change) error {
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
		return errors.Newf("section %q is unknown", ch.Section)
	}
}

func setObject[K ~string, T any](section map[K]T, name K, raw json.RawMessage) error {
	if len(raw) == 0 {
		delete(section, name)
		return nil
	}
	if section == nil {
		return errors.New("section is absent")
	}
	var o T
	if err := json.Unmarshal(raw, &o); err != nil {
		return err
	}
	section[name] = o
	return nil
}
