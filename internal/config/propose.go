package config

import (
	"bytes"
	"cmp"
	"regexp"
	"slices"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Proposal is the result of Propose: the objects that acceptance would write.
type Proposal struct {
	Accepted Accepted
	// Changed reports whether Accepted differs from the previous one.
	Changed bool
	Status  Status
}

// proposer searches for the largest subset of the changed files that merges without
// errors.
type proposer struct {
	prev       Accepted
	files      map[string]File         // as stored by the operators
	candidates map[string]File         // as they would be accepted
	reasons    map[string][]Diagnostic // of refusals, by file
}

// Propose evaluates the operators' files against the last accepted revision.
//
// A file with an error is refused: its last accepted content stays in force, so that
// an invalid file neither takes effect nor blocks the others. If a change would break
// an unchanged file, the change is refused. The new revision is higher than both the
// accepted one and known, the highest revision known to be in force, so that
// revisions increase even if the accepted object was lost.
func Propose(prev Accepted, files []File, known ident.Revision) Proposal {
	p := &proposer{
		prev:       prev,
		files:      make(map[string]File),
		candidates: make(map[string]File),
		reasons:    make(map[string][]Diagnostic),
	}
	for _, f := range files {
		p.files[f.Name] = f
		p.candidates[f.Name] = f
	}
	cfg, diags := Merge(p.candidateFiles())
	for HasErrors(diags) {
		if !p.refuse(diags) {
			return p.unchanged(diags)
		}
		cfg, diags = Merge(p.candidateFiles())
	}
	return p.proposal(cfg, diags, max(prev.Revision, known)+1)
}

func (p *proposer) candidateFiles() []File {
	return sortedFiles(p.candidates)
}

func sortedFiles(m map[string]File) []File {
	out := make([]File, 0, len(m))
	for _, f := range m {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// refuse reverts changes that can be the cause of the errors. It returns false if
// there is no change left to revert.
func (p *proposer) refuse(diags []Diagnostic) bool {
	if p.refuseFiles(diags, func(d Diagnostic) bool { return d.local }) {
		return true
	}
	if p.refuseFiles(diags, func(Diagnostic) bool { return true }) {
		return true
	}
	if p.refuseRemovals(diags) {
		return true
	}
	return p.refuseOne(diags)
}

// refuseFiles reverts the changed files that have an error for which kind returns true.
func (p *proposer) refuseFiles(diags []Diagnostic, kind func(Diagnostic) bool) bool {
	reverted := false
	for _, name := range p.changed() {
		reasons := errorsOf(diags, func(d Diagnostic) bool { return d.File == name && kind(d) })
		if len(reasons) > 0 {
			p.revert(name, reasons)
			reverted = true
		}
	}
	return reverted
}

// refuseRemovals restores all removed files, as other files may depend on them.
func (p *proposer) refuseRemovals(diags []Diagnostic) bool {
	reverted := false
	for _, f := range p.prev.Files {
		if _, kept := p.candidates[f.Name]; !kept {
			p.revert(f.Name, errorsOf(diags, func(Diagnostic) bool { return true }))
			reverted = true
		}
	}
	return reverted
}

// refuseOne reverts the last changed file whose change alone causes the errors, or all
// changed files if there is no such file.
func (p *proposer) refuseOne(diags []Diagnostic) bool {
	all := errorsOf(diags, func(Diagnostic) bool { return true })
	changed := p.changed()
	for _, name := range slices.Backward(changed) {
		candidate := p.candidates[name]
		p.restore(name)
		if _, remaining := Merge(p.candidateFiles()); !HasErrors(remaining) {
			p.reasons[name] = append(p.reasons[name], all...)
			return true
		}
		p.candidates[name] = candidate
	}
	for _, name := range changed {
		p.revert(name, all)
	}
	return len(changed) > 0
}

// changed returns the names of the candidate files whose content is not the accepted
// one, in ascending order.
func (p *proposer) changed() []string {
	var names []string
	for _, f := range p.candidateFiles() {
		old, ok := p.prev.file(f.Name)
		if !ok || !bytes.Equal(old.Data, f.Data) {
			names = append(names, f.Name)
		}
	}
	return names
}

func (p *proposer) revert(name string, reasons []Diagnostic) {
	p.reasons[name] = append(p.reasons[name], reasons...)
	p.restore(name)
}

func (p *proposer) restore(name string) {
	if old, ok := p.prev.file(name); ok {
		p.candidates[name] = old.File
		return
	}
	delete(p.candidates, name)
}

func errorsOf(diags []Diagnostic, match func(Diagnostic) bool) []Diagnostic {
	var out []Diagnostic
	for _, d := range diags {
		if d.Severity == SeverityError && match(d) {
			out = append(out, d)
		}
	}
	return out
}

func (p *proposer) proposal(cfg *Config, diags []Diagnostic, revision ident.Revision) Proposal {
	next := Accepted{Revision: revision, Config: cfg}
	for _, f := range p.candidateFiles() {
		since := revision
		if old, ok := p.prev.file(f.Name); ok && bytes.Equal(old.Data, f.Data) {
			since = old.Since
		}
		next.Files = append(next.Files, AcceptedFile{File: f, Since: since})
	}
	cfg.Revision = revision
	if sameFiles(p.prev.Files, next.Files) {
		return Proposal{Accepted: p.prev, Status: p.status(p.prev, diags)}
	}
	return Proposal{Accepted: next, Changed: true, Status: p.status(next, diags)}
}

// unchanged returns the previous revision if not even its own files merge without
// errors, which happens if a newer program version validates more strictly.
func (p *proposer) unchanged(diags []Diagnostic) Proposal {
	for _, name := range p.changed() {
		p.reasons[name] = append(p.reasons[name], diags...)
	}
	return Proposal{Accepted: p.prev, Status: p.status(p.prev, diags)}
}

func sameFiles(a, b []AcceptedFile) bool {
	return slices.EqualFunc(a, b, func(x, y AcceptedFile) bool {
		return x.Name == y.Name && bytes.Equal(x.Data, y.Data)
	})
}

func (p *proposer) status(acc Accepted, diags []Diagnostic) Status {
	s := Status{Revision: acc.Revision, FilesDigest: digestFiles(sortedFiles(p.files))}
	names := make(map[string]File, len(p.files))
	for name, f := range p.files {
		names[name] = f
	}
	for _, f := range acc.Files {
		if _, ok := names[f.Name]; !ok {
			names[f.Name] = f.File
		}
	}
	for _, f := range sortedFiles(names) {
		s.Files = append(s.Files, p.fileStatus(f, acc, diags))
	}
	return s
}

func (p *proposer) fileStatus(f File, acc Accepted, diags []Diagnostic) FileStatus {
	st := FileStatus{Name: f.Name, Digest: f.Digest(), State: FileAccepted}
	if in, ok := acc.file(f.Name); ok {
		st.Revision = in.Since
	}
	if reasons := p.reasons[f.Name]; len(reasons) > 0 {
		st.State = FileRefused
		st.Diagnostics = reasons
		if _, dropped := p.files[f.Name]; !dropped {
			st.State = FileRemovalRefused
		}
	}
	for _, d := range diags {
		switch {
		case d.OtherFile == f.Name:
			st.OverriddenBy = append(st.OverriddenBy, Override{Object: d.Field, By: d.File})
		case d.File == f.Name && d.Severity == SeverityWarning:
			st.Diagnostics = append(st.Diagnostics, d)
		}
	}
	return st
}

// FileNameAllowed describes the allowed file names, for error messages.
const FileNameAllowed = "letters, digits, '.', '_' and '-', at most 100 of them, ending in .yaml"

// maxFileNameLen is the maximum length of a file name in bytes.
const maxFileNameLen = 100

var fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// ValidFileName reports whether a file of that name can be stored.
func ValidFileName(name string) bool {
	if !IsConfigFile(name) || len(name) > maxFileNameLen {
		return false
	}
	return fileNamePattern.MatchString(name)
}
