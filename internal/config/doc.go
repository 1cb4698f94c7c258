// Package config merges an operator's folder of small files into one validated
// configuration with increasing revision numbers.
//
// Files are merged in the order of their names, object by object; the last
// declaration of an object wins. Invariants and how they are enforced:
//
//   - An accepted revision contains no error: a file with an error is refused, and its
//     last accepted content stays in force (Propose).
//   - The accepted object is never replaced by an older set of files: a round reads
//     the object before the files and writes it with a conditional update (Acceptor).
//   - A node never returns to a lower revision, whatever its source (Holder).
//   - A delta is applied only to its own base, and only if the result has the digest
//     that the sender computed (Config.Apply).
//
// The package does no I/O; subpackage syncer drives it.
package config
