package rendezvous

// Mix spreads the bits of x (the finaliser of SplitMix64, Steele et al. 2014). Members
// whose hashes are known are ranked by the mix of theirs and the key's.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
