package config

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"io"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Keys of the configuration in the store.
const (
	KeyPrefix      platformapi.Key = "config/"
	KeyFilesPrefix platformapi.Key = "config/files/"
	KeyAccepted    platformapi.Key = "config/accepted"
	KeyStatus      platformapi.Key = "config/status"
)

// FileKey returns the store key of a file.
func FileKey(name string) platformapi.Key {
	return KeyFilesPrefix + platformapi.Key(name)
}

// Digest identifies a content.
type Digest string

func digestOf(parts ...[]byte) Digest {
	h := xxhash.New()
	var size [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(p)
	}
	return Digest(strconv.FormatUint(h.Sum64(), 16))
}

// Digest returns the digest of the file's content.
func (f File) Digest() Digest { return digestOf(f.Data) }

// digestFiles returns the digest of a set of files ordered by name.
func digestFiles(files []File) Digest {
	parts := make([][]byte, 0, 2*len(files))
	for _, f := range files {
		parts = append(parts, []byte(f.Name), f.Data)
	}
	return digestOf(parts...)
}

// Accepted is the one object that says what is in force. Revision zero means
// that nothing was accepted yet.
type Accepted struct {
	Revision ident.Revision `json:"revision"`
	Config   *Config        `json:"config"`
	// Files are the contents that the configuration was merged from, ordered by name.
	Files []AcceptedFile `json:"files"`
}

// AcceptedFile is a file whose content took part in the merge.
type AcceptedFile struct {
	File
	// Since is the first revision with this content.
	Since ident.Revision `json:"since"`
}

func (a Accepted) file(name string) (AcceptedFile, bool) {
	i := slices.IndexFunc(a.Files, func(f AcceptedFile) bool { return f.Name == name })
	if i < 0 {
		return AcceptedFile{}, false
	}
	return a.Files[i], true
}

// FileState tells what became of a file.
type FileState string

// The states of a file.
const (
	FileAccepted FileState = "accepted"
	FileRefused  FileState = "refused"
	// FileRemovalRefused marks a file that was removed while others need it; its
	// last content stays in force.
	FileRemovalRefused FileState = "removal-refused"
)

// Override names an object of a file that another file overrides.
type Override struct {
	Object string `json:"object"` // for example "routes.chat"
	By     string `json:"by"`     // file
}

// FileStatus tells the operator what became of one file.
type FileStatus struct {
	Name   string    `json:"name"`
	Digest Digest    `json:"digest"` // of the content judged
	State  FileState `json:"state"`
	// Revision is the one that first had the content in force; zero where no
	// content of the file is in force.
	Revision     ident.Revision `json:"revision,omitempty"`
	OverriddenBy []Override     `json:"overridden_by,omitempty"`
	// Diagnostics are the reasons of a refusal, and warnings.
	Diagnostics []Diagnostic `json:"diagnostics,omitempty"`
}

// Status tells what became of every file. It is derived from the files and the
// accepted object, so that its loss harms nothing.
type Status struct {
	Revision ident.Revision `json:"revision"`
	// FilesDigest is the digest of the files judged.
	FilesDigest Digest       `json:"files_digest"`
	Files       []FileStatus `json:"files"`
}

// File returns the status of one file.
func (s Status) File(name string) (FileStatus, bool) {
	i := slices.IndexFunc(s.Files, func(f FileStatus) bool { return f.Name == name })
	if i < 0 {
		return FileStatus{}, false
	}
	return s.Files[i], true
}

// Judges tells whether the status is that of these files, ordered by name, at
// the accepted revision.
func (s Status) Judges(files []File, accepted ident.Revision) bool {
	if len(files) == 0 && s.FilesDigest == "" {
		return true
	}
	valid := slices.DeleteFunc(slices.Clone(files), func(f File) bool { return !ValidFileName(f.Name) })
	return s.Revision == accepted && s.FilesDigest == digestFiles(valid)
}

// UnmarshalJSON decodes a configuration and builds its look-up tables.
func (c *Config) UnmarshalJSON(b []byte) error {
	type plain Config
	if err := json.Unmarshal(b, (*plain)(c)); err != nil {
		return err
	}
	c.index()
	return nil
}

// Encode returns the compressed form kept in the store.
func (a Accepted) Encode() ([]byte, error) { return pack(a) }

// DecodeAccepted decodes an accepted object. An empty value is revision zero.
func DecodeAccepted(b []byte) (Accepted, error) {
	var a Accepted
	if len(b) == 0 {
		return a, nil
	}
	if err := unpack(b, &a); err != nil {
		return a, errors.Wrapf(err, "decode object %q", KeyAccepted)
	}
	if a.Config == nil {
		return a, errors.Newf("object %q has no configuration", KeyAccepted)
	}
	a.Config.Revision = a.Revision
	return a, nil
}

// Encode returns the compressed form kept in the store.
func (s Status) Encode() ([]byte, error) { return pack(s) }

// DecodeStatus decodes a status object. An empty value is the zero status.
func DecodeStatus(b []byte) (Status, error) {
	var s Status
	if len(b) == 0 {
		return s, nil
	}
	err := unpack(b, &s)
	return s, errors.Wrapf(err, "decode object %q", KeyStatus)
}

// maxUnpackedBytes bounds what a compressed object may grow to.
const maxUnpackedBytes = 64 << 20

func pack(v any) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func unpack(b []byte, v any) error {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(v)
}
