package rendezvous

// Mix is the finaliser of SplitMix64 (Steele et al. 2014). Callers that have precomputed
// the hashes of members and keys rank members by Mix(memberHash ^ keyHash).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
