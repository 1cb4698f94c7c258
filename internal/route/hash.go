package route

import "github.com/cespare/xxhash/v2"

func hashString(s string) uint64 {
	return xxhash.Sum64String(s)
}

// mix spreads the bits of x (the finaliser of SplitMix64, Steele et al. 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
