package route

import "github.com/cespare/xxhash/v2"

func hashString(s string) uint64 {
	return xxhash.Sum64String(s)
}
