// Package oncepb holds the stored form of a ledger bucket. Its code is generated
// from bucket.proto by buf with protoc-gen-go (paths=source_relative).
package oncepb
