package serve

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Signature identifies a request and its repeats: a hash of what the caller asked for and of
// the caller's workspace. It is the same at all nodes.
type Signature uint64

// String returns the signature in hexadecimal, as in logs.
func (s Signature) String() string { return strconv.FormatUint(uint64(s), 16) }

// signatureOf returns the signature of a request of a workspace.
func signatureOf(r *Request, w ident.Workspace) Signature {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target, string(w)} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})  // no part contains it
	}
	_, _ = d.Write(r.Body)
	return Signature(d.Sum64())
}
