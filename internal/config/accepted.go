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

// Store keys of the configuration.
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

// Digest is a hash of some content, in hexadecimal.
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

// Accepted is the store object with the configuration that was accepted last. Revision
// zero means that no configuration was accepted yet.
type Accepted struct {
	Revision ident.Revision `json:"revision"`
	Config   *Config        `json:"config"`
	// Files are the contents that the configuration was merged from, ordered by name.
	Files []AcceptedFile `json:"files"`
}

// AcceptedFile is a file whose content is part of the accepted configuration.
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

// FileState is the result of acceptance for a file.
type FileState string

// States of a file.
const (
	FileAccepted FileState = "accepted"
	FileRefused  FileState = "refused"
	// FileRemovalRefused means that the file was removed although others depend on it;
	// its last content stays in force.
	FileRemovalRefused FileState = "removal-refused"
)

// Override is an object of a file that another file overrides.
type Override struct {
	Object string `json:"object"` // for example "routes.chat"
	By     string `json:"by"`     // name of the overriding file
}

// FileStatus is the result of acceptance for one file, for the operator.
type FileStatus struct {
	Name   string    `json:"name"`
	Digest Digest    `json:"digest"` // of the evaluated content
	State  FileState `json:"state"`
	// Revision is the first one with the file's accepted content; zero if no content
	// of the file is accepted.
	Revision     ident.Revision `json:"revision,omitempty"`
	OverriddenBy []Override     `json:"overridden_by,omitempty"`
	// Diagnostics are the reasons for a refusal, and warnings.
	Diagnostics []Diagnostic `json:"diagnostics,omitempty"`
}

// Status is the result of acceptance for every file. It is derived from the files and
// the accepted object, so it can be rebuilt if it is lost.
type Status struct {
	Revision ident.Revision `json:"revision"`
	// FilesDigest is the digest of the evaluated files.
	FilesDigest Digest       `json:"files_digest"`
	Files       []FileStatus `json:"files"`
}

// File returns the status of one file and whether there is one.
func (s Status) File(name string) (FileStatus, bool) {
	i := slices.IndexFunc(s.Files, func(f FileStatus) bool { return f.Name == name })
	if i < 0 {
		return FileStatus{}, false
	}
	return s.Files[i], true
}

// Matches reports whether the status is the one of these files, ordered by name, at the
// accepted revision.
func (s Status) Matches(files []File, accepted ident.Revision) bool {
	if len(files) == 0 && s.FilesDigest == "" {
		return true
	}
	valid := slices.DeleteFunc(slices.Clone(files), func(f File) bool { return !ValidFileName(f.Name) })
	return s.Revision == accepted && s.FilesDigest == digestFiles(valid)
}

// UnmarshalJSON decodes a configuration and builds its indexes.
func (c *Config) UnmarshalJSON(b []byte) error {
	type plain Config
	if err := json.Unmarshal(b, (*plain)(c)); err != nil {
		return err
	}
	c.buildLookup()
	return nil
}

// Encode returns the compressed form that is written to the store.
func (a Accepted) Encode() ([]byte, error) { return encodeGzipJSON(a) }

// DecodeAccepted decodes an accepted object. An empty value gives revision zero.
func DecodeAccepted(b []byte) (Accepted, error) {
	var a Accepted
	if len(b) == 0 {
		return a, nil
	}
	if err := decodeGzipJSON(b, &a); err != nil {
		return a, errors.Wrapf(err, "decode object %q", KeyAccepted)
	}
	if a.Config == nil {
		return a, errors.Newf("object %q has no configuration", KeyAccepted)
	}
	a.Config.Revision = a.Revision
	return a, nil
}

// Encode returns the compressed form that is written to the store.
func (s Status) Encode() ([]byte, error) { return encodeGzipJSON(s) }

// DecodeStatus decodes a status object. An empty value gives the zero status.
func DecodeStatus(b []byte) (Status, error) {
	var s Status
	if len(b) == 0 {
		return s, nil
	}
	err := decodeGzipJSON(b, &s)
	return s, errors.Wrapf(err, "decode object %q", KeyStatus)
}

// maxDecompressedBytes is the maximum decompressed size of an object.
const maxDecompressedBytes = 64 << 20

func encodeGzipJSON(v any) ([]byte, error) {
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

func decodeGzipJSON(b []byte, v any) error {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(r, maxDecompressedBytes)).Decode(v)
}
