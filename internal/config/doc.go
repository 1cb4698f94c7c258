// Package config turns an operator's folder of small files into one checked,
// revisioned configuration that never goes back.
//
// Files are merged in the order of their names, object by object; the last word
// wins. Invariants, and what they rest on:
//
//   - An accepted revision holds no error: a file with one is refused, and its last
//     accepted content stays (Propose).
//   - The accepted object never goes back to an older set of files: a round reads
//     the object before the files, and writes by conditional update (Acceptor).
//   - A node never goes back to a lower revision, whoever brings it (Holder).
//   - A delta takes effect on its own base only, and only with the result that its
//     sender had (Config.Apply).
//
// The package does no I/O; subpackage syncer drives it.
package config
